package lab

import (
	"math"
	"time"
)

// The recovery rule: goodput is looked at in steps, and is back when it stays at the share for some steps.
const (
	recoveryStep  = 250 * time.Millisecond
	recoverySteps = 4
	recoveryShare = 0.9
)

// recovery fills in the time from the end of the cause until requests are served as before it.
func (r *Report) recovery(demands []Demand, before window, causeEnd, runEnd time.Time) {
	base := servedShare(demands, before)
	good := 0
	for from := causeEnd; from.Add(recoveryStep).Before(runEnd); from = from.Add(recoveryStep) {
		if servedShare(demands, window{from, from.Add(recoveryStep)}) >= recoveryShare*base {
			good++
		} else {
			good = 0
		}
		if good == recoverySteps {
			back := from.Add(-(recoverySteps - 1) * recoveryStep)
			r.RecoveryS = ptr(back.Sub(causeEnd).Seconds())
			r.Recovered = ptr(true)
			return
		}
	}
	r.RecoveryS = ptr(runEnd.Sub(causeEnd).Seconds())
	r.Recovered = ptr(false)
}

// series returns the served share over the whole run, step by step.
func series(demands []Demand) []float64 {
	if len(demands) == 0 {
		return nil
	}
	first, last := demands[0].At, demands[0].At
	for _, d := range demands {
		if d.At.Before(first) {
			first = d.At
		}
		if d.At.After(last) {
			last = d.At
		}
	}
	var out []float64
	for from := first; from.Before(last); from = from.Add(recoveryStep) {
		out = append(out, math.Round(100*servedShare(demands, window{from, from.Add(recoveryStep)}))/100)
	}
	return out
}

func servedShare(demands []Demand, w window) float64 {
	n, ok := 0, 0
	for _, d := range demands {
		if !w.has(d.At) {
			continue
		}
		n++
		if d.Served {
			ok++
		}
	}
	if n == 0 {
		return 1
	}
	return float64(ok) / float64(n)
}
