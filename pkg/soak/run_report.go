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
	Findings   []Finding
}

// Text is the report in a few lines.
func (r Report) Text() string {
	text := fmt.Sprintf("seed %d: %d of %d requests served, faults %v\n", r.Seed, r.Served, r.Requests, r.Faults)
	shown := map[string]int{}
	for _, f := range r.Findings {
		if shown[f.Promise]++; shown[f.Promise] <= mostShown {
			text += fmt.Sprintf("  broken: %s: %s\n", f.Promise, f.Detail)
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
	r := Report{Seed: s.opts.Seed, Requests: len(h.attempts), Faults: map[string]int{}, Findings: slices.Clone(h.broken)}
	for _, a := range h.attempts {
		if a.Own {
			r.Served++
		}
	}
	for _, d := range h.disturbances {
		r.Faults[d.Kind]++
	}
	for _, c := range checks {
		r.Findings = append(r.Findings, c(h, calmFrom)...)
	}
	return r
}
