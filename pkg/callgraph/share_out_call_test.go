package callgraph

import (
	"testing"
	"time"
)

func BenchmarkCallAmongHundredRuns(b *testing.B) {
	var l Learner
	for i := range 100 {
		l.Begin(start.Add(time.Duration(i)*time.Millisecond), string(rune('a'+i%8)), start.Add(second))
	}
	b.ReportAllocs()
	for b.Loop() {
		l.Call(start.Add(second/2), "x", start.Add(second/2))
	}
}
