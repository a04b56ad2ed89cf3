package trace

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

const logText = `{"time":"2026-01-01T00:00:01Z","level":"INFO","msg":"control: admission","shares":{"r":0.5}}
   4.6012 node-1 {"time":"2026-01-01T00:00:02Z","level":"INFO","msg":"call: not served","request":"abc","route":"r","outcome":"not-run","reason":"queue","repeated":4}
not a line at all
{"time":"2026-01-01T00:00:02Z","msg":"cut
{"time":"2026-01-01T00:00:01.5Z","level":"INFO","msg":"call: request retried","request":"abc.1","route":"s","outcome":"unknown","reason":"lost"}
{"time":"2026-01-01T00:00:09Z","level":"INFO","msg":"call: not served","request":"abcd","route":"r","outcome":"not-run","reason":"queue"}
{"some":"other program"}
`

func TestReadSkipsUnparsableLines(t *testing.T) {
	c := qt.New(t)
	lines, skipped, err := Read("f", strings.NewReader(logText))
	c.Assert(err, qt.IsNil)
	c.Assert(lines, qt.HasLen, 4)
	c.Assert(skipped, qt.DeepEquals, []Skipped{{"f", 3, "no JSON object"}, {"f", 4, "cut or not JSON"}, {"f", 7, "not a line of this log"}})
	c.Assert(lines[1].Source, qt.Equals, "f 4.6012 node-1")
}

func TestTimelineIsOrderedAndHasStateChanges(t *testing.T) {
	c := qt.New(t)
	lines, _, _ := Read("f", strings.NewReader(logText))
	var got []string
	for _, l := range Timeline(lines, "abc") {
		got = append(got, l.Msg)
	}
	c.Assert(got, qt.DeepEquals, []string{"control: admission", "call: request retried", "call: not served"})
	c.Assert(Timeline(lines, "nobody"), qt.HasLen, 0)
}

func TestCausesCountLoggedAndSuppressedLines(t *testing.T) {
	c := qt.New(t)
	lines, _, _ := Read("f", strings.NewReader(logText))
	causes := Causes(lines)
	c.Assert(causes, qt.HasLen, 2)
	c.Assert(causes[0].Reason, qt.Equals, "queue")
	c.Assert(causes[0].Lines, qt.Equals, 2)
	c.Assert(causes[0].LeftOut, qt.Equals, 4.0)
}

func FuzzRead(f *testing.F) {
	f.Add(logText)
	f.Fuzz(func(t *testing.T, s string) {
		lines, _, err := Read("f", strings.NewReader(s))
		if err != nil && len(s) < maxLineBytes {
			t.Fatal(err)
		}
		Causes(lines)
		Timeline(lines, "abc")
	})
}
