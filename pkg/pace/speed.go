package pace

import "time"

const (
	// speedWeight is the weight of one run in the lasting slowdown: at 30 runs a second it follows within 2 s.
	speedWeight = 0.02
	// maxRise bounds one run relative to the estimate. One item in 33 takes seven times as long; without the bound the estimate
	// would vary by a tenth between servers of the same speed. A server that turns slow is still followed: the
	// estimate grows by 1 + 2 * speedWeight with each run.
	maxRise = 3.0
	// minSlowdown and maxSlowdown bound the lasting slowdown.
	minSlowdown, maxSlowdown = 0.05, 20.0
	// factorWeight is the weight of one run in the mean factor of the told pace. It is that of package gate's mean slowdown,
	// from which the mean factor is divided out.
	factorWeight = 0.03
)

// Speed is the lasting speed of a server, learned from its runs. The zero value is usual.
type Speed struct {
	excess       float64 // lasting slowdown less 1
	factorExcess float64 // mean factor of the told pace in recent runs, less 1
	callShare    float64 // mean call share of recent runs
}

// Observe records a run that held its slot for held, of a kind that typically holds it for typical and waits for its own
// calls for callShare of that. pace is the mean pace that the server told meanwhile.
func (s *Speed) Observe(held, typical time.Duration, pace, callShare float64) {
	if typical <= 0 {
		return
	}
	factor := Factor(pace, callShare)
	last := s.Slowdown()
	ratio := min(float64(held)/float64(typical)/factor, maxRise*last)
	s.excess = min(max(last+speedWeight*(ratio-last), minSlowdown), maxSlowdown) - 1
	s.factorExcess += factorWeight * (factor - 1 - s.factorExcess)
	s.callShare += factorWeight * (callShare - s.callShare)
}

// Slowdown returns the lasting slowdown: slot hold times at the usual pace, relative to those of the same kinds at all servers.
func (s *Speed) Slowdown() float64 { return 1 + s.excess }

// MeanFactor returns the mean factor by which the told pace lengthened recent runs.
func (s *Speed) MeanFactor() float64 { return 1 + s.factorExcess }

// Factor returns the factor of a pace on runs like the recent ones.
func (s *Speed) Factor(pace float64) float64 { return Factor(pace, s.callShare) }
