package lab

import (
	"time"
)

// Report is one system's figures in one run of an experiment; a figure that wasn't measured is nil.
type Report struct {
	Experiment   string             `json:"experiment"`
	System       string             `json:"system"`
	Seed         uint64             `json:"seed"`
	Valid        bool               `json:"valid"` // the machine's processors stayed under half busy
	BusyShare    *float64           `json:"busy_share"`
	OfferedRPS   *float64           `json:"offered_rps"`
	CapacityRPS  *float64           `json:"capacity_rps"`
	GoodputRPS   *float64           `json:"goodput_rps"`
	GoodputRatio *float64           `json:"goodput_ratio"`
	ByClass      map[string]float64 `json:"goodput_by_class"` // share of each class's requests that were served whole
	RecoveryS    *float64           `json:"recovery_s"`
	Recovered    *bool              `json:"recovered"` // false: not by the end of the run, and recovery_s is a lower bound

	AddedP50MS *float64 `json:"added_p50_ms"`
	AddedP99MS *float64 `json:"added_p99_ms"`

	MaxRetries *int `json:"max_retries_per_request"`
	Doubles    *int `json:"doubles"`
	FalseNot   *int `json:"false_not_run"`
	Wrong      *int `json:"wrong_answers"`
	Inversions *int `json:"inversions"`
	Cut        *int `json:"cut_requests"`

	NewWorkAfterLeaveS *float64           `json:"new_work_after_leave_s"`
	ConfigInForceS     *float64           `json:"config_in_force_s"`
	ConfigReverts      *int               `json:"config_reverts"`
	ControlBytesPerS   *float64           `json:"control_bytes_per_s"`
	Extra              map[string]float64 `json:"extra,omitempty"`      // figures of one experiment alone
	Series             []float64          `json:"series,omitempty"`     // served share of the requests of each 250 ms
	Unserved           map[string]int     `json:"unserved,omitempty"`   // attempts that weren't served, by outcome and reason
	Violations         []string           `json:"violations,omitempty"` // some of the cases where a promise was broken
}

func ptr[T any](v T) *T { return &v }

// window is a stretch of time in which goodput is counted, by the arrival of requests.
type window struct{ from, to time.Time }

func (w window) has(t time.Time) bool { return !t.Before(w.from) && t.Before(w.to) }

// goodput fills in the figures of a window.
func (r *Report) goodput(g *Graph, demands []Demand, w window) {
	offered, served := 0, 0
	by := map[string][2]int{}
	for _, d := range demands {
		if !w.has(d.At) {
			continue
		}
		offered++
		x := by[d.Class]
		x[0]++
		if d.Served {
			served++
			x[1]++
		}
		by[d.Class] = x
	}
	span := w.to.Sub(w.from).Seconds()
	r.OfferedRPS = ptr(float64(offered) / span)
	r.CapacityRPS = ptr(g.Capacity())
	r.Series = series(demands)
	r.GoodputRPS = ptr(float64(served) / span)
	r.GoodputRatio = ptr(*r.GoodputRPS / min(*r.CapacityRPS, max(*r.OfferedRPS, 1e-9)))
	r.ByClass = map[string]float64{}
	for name, x := range by {
		r.ByClass[name] = float64(x[1]) / float64(x[0])
	}
}
