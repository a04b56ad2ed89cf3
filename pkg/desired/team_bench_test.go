package desired

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

// BenchmarkIndexKeys measures the time to index a decoded state before it is applied.
func BenchmarkIndexKeys(b *testing.B) {
	for _, keys := range []int{1000, 100_000} {
		b.Run(fmt.Sprint(keys, " keys"), func(b *testing.B) {
			teams := make([]Team, keys)
			for i := range teams {
				teams[i] = Team{Name: fmt.Sprint("team-", i), Keys: []Key{Key(fmt.Sprint("key-of-", i))}}
			}
			for range b.N {
				_, err := New(State{Version: 1, Teams: teams})
				qt.Assert(b, err, qt.IsNil)
			}
		})
	}
}
