package gate

import (
	"time"

	"github.com/rockspoke/rockspoke/pkg/pace"
)

// SetPace records the pace that the server tells: how long work takes now, as a multiple of the usual time.
func (g *Gate) SetPace(now time.Time, p float64) {
	g.latest = now
	g.told.Set(now, p)
}

// expectedHold returns the expected slot hold time of the ticket's request: by its kind, since one server may run kinds of
// which one takes many times as long as another, and by the pace that the server tells, if it does.
func (g *Gate) expectedHold(t *Ticket) time.Duration {
	switch {
	case t.TypicalHold == 0:
		return g.holdTime
	case g.told.Known():
		return pace.Hold(t.TypicalHold, g.speed.Slowdown(), pace.Factor(g.told.At(g.latest), t.CallShare))
	default:
		return time.Duration(float64(t.TypicalHold) * g.slowdown)
	}
}
