package mesh

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A run is reported as not run only if it was sent after the server had crashed and before the next lifetime was
// listening. The next lifetime may have the same name, and what was sent to it before its connection broke may have
// run.
func TestRunsSentAfterACrashAreNotRunUntilNextLifetime(t *testing.T) {
	c := qt.New(t)
	firstBroken := time.Unix(1000, 0)
	e := crashedLifetime{lifetime: "a/1", firstBroken: firstBroken, confirmed: firstBroken.Add(20 * time.Millisecond)}
	for _, x := range []struct {
		lifetime string
		started  time.Duration
		want     crashRelation
	}{
		{"a/1", -time.Millisecond, startedBeforeCrash},
		{"a/1", 0, startedAfterCrash},
		{"a/1", 20 * time.Millisecond, startedAfterCrash},
		{"a/1", 21 * time.Millisecond, noCrash},
		{"a/2", -time.Millisecond, noCrash},
	} {
		c.Check(e.relationTo(&serverRun{lifetime: x.lifetime, started: firstBroken.Add(x.started)}), qt.Equals, x.want, qt.Commentf("%+v", x))
	}
	c.Check(crashedLifetime{}.relationTo(&serverRun{started: firstBroken}), qt.Equals, noCrash)
}
