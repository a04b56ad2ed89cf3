package soak

import (
	"fmt"
	"slices"
	"time"
)

// Report is what a run showed.
type Report struct {
	Seed     uint64
	Requests int
	Served   int
	Faults   map[string]int // by kind
	Broken   []Finding
}

// Text is the report in a few lines.
func (r Report) Text() string {
	text := fmt.Sprintf("seed %d: %d of %d requests served, faults %v\n", r.Seed, r.Served, r.Requests, r.Faults)
	shown := map[string]int{}
	for _, f := range r.Broken {
		if shown[f.Promise]++; shown[f.Promise] <= mostShown {
			text += fmt.Sprintf("  broken: %s: %s\n", f.Promise, f.What)
		}
	}
	for promise, n := range shown {
		if n > mostShown {
			text += fmt.Sprintf("  broken: %s: %d more\n", promise, n-mostShown)
		}
	}
	return text
}

// report judges the run.
func (s *site) report(calmFrom time.Time) Report {
	h := &s.history
	h.mu.Lock()
	defer h.mu.Unlock()
	r := Report{Seed: s.opts.Seed, Requests: len(h.attempts), Faults: map[string]int{}, Broken: slices.Clone(h.broken)}
	for _, a := range h.attempts {
		if a.Own {
			r.Served++
		}
	}
	for _, d := range h.disturbances {
		r.Faults[d.Kind]++
	}
	for _, c := range checks {
		r.Broken = append(r.Broken, c(h, calmFrom)...)
	}
	return r
}
