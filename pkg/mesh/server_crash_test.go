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
	e := crashedLifetime{lifetime: "a/1", firstBroken: from, confirmed: from.Add(20 * time.Millisecond)}
	for _, x := range []struct {
		life  string
		begun time.Duration
		want  crashRelation
	}{
		{"a/1", -time.Millisecond, startedBeforeCrash},
		{"a/1", 0, startedAfterCrash},
		{"a/1", 20 * time.Millisecond, startedAfterCrash},
		{"a/1", 21 * time.Millisecond, noCrash},
		{"a/2", -time.Millisecond, noCrash},
	} {
		c.Check(e.relationTo(&serverRun{lifetime: x.life, begun: from.Add(x.begun)}), qt.Equals, x.want, qt.Commentf("%+v", x))
	}
	c.Check(crashedLifetime{}.relationTo(&serverRun{begun: from}), qt.Equals, noCrash)
}
