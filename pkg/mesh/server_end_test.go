package mesh

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// 'Not run' is said only of what was sent when the server had ended and nobody listened yet. The next life may come under the same name: what was sent to it
// and broke off may have run.
func TestWhatWasSentToAServerThatHadEnded(t *testing.T) {
	c := qt.New(t)
	from := time.Unix(1000, 0)
	e := endedLife{life: "a/1", from: from, judged: from.Add(20 * time.Millisecond)}
	for _, x := range []struct {
		life  string
		begun time.Duration
		want  endRelation
	}{
		{"a/1", -time.Millisecond, beforeEnd},
		{"a/1", 0, afterEnd},
		{"a/1", 20 * time.Millisecond, afterEnd},
		{"a/1", 21 * time.Millisecond, noEnd},
		{"a/2", -time.Millisecond, noEnd},
	} {
		c.Check(e.under(&serverRun{life: x.life, begun: from.Add(x.begun)}), qt.Equals, x.want, qt.Commentf("%+v", x))
	}
	c.Check(endedLife{}.under(&serverRun{begun: from}), qt.Equals, noEnd)
}
