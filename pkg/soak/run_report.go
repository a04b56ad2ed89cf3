package soak

import (
	"fmt"
	"slices"
	"time"
)

// Report is the result of one run.
type Report struct {
	Seed     uint64
	Requests int
	Served   int
	Faults   map[string]int // by kind
	Findings []Finding
}

// Text formats the report, with at most maxExamples findings per promise.
func (r Report) Text() string {
	text := fmt.Sprintf("seed %d: %d of %d requests served, faults %v\n", r.Seed, r.Served, r.Requests, r.Faults)
	shown := map[string]int{}
	for _, f := range r.Findings {
		if shown[f.Promise]++; shown[f.Promise] <= maxExamples {
			text += fmt.Sprintf("  broken: %s: %s\n", f.Promise, f.Detail)
		}
	}
	for promise, n := range shown {
		if n > maxExamples {
			text += fmt.Sprintf("  broken: %s: %d more\n", promise, n-maxExamples)
		}
	}
	return text
}

// report runs all checks over the history; calmFrom is when the last fault ended.
func (s *site) report(calmFrom time.Time) Report {
	h := &s.history
	h.mu.Lock()
	defer h.mu.Unlock()
	r := Report{Seed: s.opts.Seed, Requests: len(h.attempts), Faults: map[string]int{}, Findings: slices.Clone(h.findings)}
	for _, a := range h.attempts {
		if a.OwnAnswer {
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
