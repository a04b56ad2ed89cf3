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
		all = append(all, *s)
	}
	return all
}

// add adds one node's report.
func (s *ServiceSum) add(r *Report) {
	s.Nodes++
	s.Load.UsableSlots += r.UsableSlots
	for route, e := range r.Entries {
		s.Load.Entries[route] = s.Load.Entries[route].with(e)
	}
	for route, x := range r.Runs {
		s.Load.Runs[route] = s.Load.Runs[route].with(x)
	}
}

// with returns the sum of both, with hold times and calls averaged by the runs of each.
func (r RunStats) with(o RunStats) RunStats {
	sum := RunStats{Rate: r.Rate + o.Rate, CallsPerRun: callgraph.Rates{}}
	if sum.Rate <= 0 {
		return sum
	}
	sum.HoldSeconds = (r.Rate*r.HoldSeconds + o.Rate*o.HoldSeconds) / sum.Rate
	for _, part := range []RunStats{r, o} {
		for called, k := range part.CallsPerRun {
			sum.CallsPerRun[called] += k * part.Rate / sum.Rate
		}
	}
	return sum
}
