package loads

import (
	"github.com/rockspoke/rockspoke/pkg/callgraph"
)

// ServiceSum is the sum of the reports from the nodes beside one service's servers.
type ServiceSum struct {
	Nodes int    `json:"n"` // number of nodes that reported
	Load  Report `json:"l"` // without host, epoch and sequence
}

// SumByService returns the sums of the reports by service.
func SumByService(reports []*Report) []ServiceSum {
	by := map[string]*ServiceSum{}
	for _, r := range reports {
		s := by[r.Service]
		if s == nil {
			s = &ServiceSum{Load: Report{Service: r.Service, Entries: map[string]Entry{}, Runs: map[string]RunStats{}}}
			by[r.Service] = s
		}
		s.add(r)
	}
	all := make([]ServiceSum, 0, len(by))
	for _, s := range by {
		for route, x := range s.Load.Runs {
			s.Load.Runs[route] = x.averaged()
		}
		all = append(all, *s)
	}
	return all
}

// Loads returns the sums as reports.
func Loads(sums []ServiceSum) []*Report {
	all := make([]*Report, 0, len(sums))
	for i := range sums {
		all = append(all, &sums[i].Load)
	}
	return all
}

// add adds one node's report; hold times and calls are added up weighted by the runs until they are averaged.
func (s *ServiceSum) add(r *Report) {
	s.Nodes++
	s.Load.UsableSlots += r.UsableSlots
	for route, e := range r.Entries {
		s.Load.Entries[route] = s.Load.Entries[route].with(e)
	}
	for route, x := range r.Runs {
		s.Load.Runs[route] = s.Load.Runs[route].withWeighted(x)
	}
}

// withWeighted returns the sums with x added, weighted by its runs; it changes the calls of r.
func (r RunStats) withWeighted(x RunStats) RunStats {
	if r.CallsPerRun == nil {
		r.CallsPerRun = make(callgraph.Rates, len(x.CallsPerRun))
	}
	r.Rate += x.Rate
	r.HoldSeconds += x.Rate * x.HoldSeconds
	for called, k := range x.CallsPerRun {
		r.CallsPerRun[called] += x.Rate * k
	}
	return r
}

// averaged returns the averages of what withWeighted added up.
func (r RunStats) averaged() RunStats {
	if r.Rate <= 0 {
		return RunStats{Rate: r.Rate, CallsPerRun: callgraph.Rates{}}
	}
	r.HoldSeconds /= r.Rate
	for called := range r.CallsPerRun {
		r.CallsPerRun[called] /= r.Rate
	}
	return r
}
