package trace

import (
	"slices"
	"strings"
	"time"
)

// stateChangeWindow is how long before a request's first line Timeline includes the state changes of its nodes.
const stateChangeWindow = 3 * time.Second

// Timeline returns the lines about the request id and its calls, in order of time, and the "control: " lines in which
// the same nodes report state changes, from stateChangeWindow before the request's first line to its last.
func Timeline(lines []Line, id string) []Line {
	var timeline []Line
	nodes := map[string]bool{}
	for _, l := range lines {
		if r := stringOrEmpty(l.Fields["request"]); r == id || strings.HasPrefix(r, id+".") {
			timeline = append(timeline, l)
			nodes[l.Source] = true
		}
	}
	if len(timeline) == 0 {
		return nil
	}
	sortByTime(timeline)
	from, to := timeline[0].Time.Add(-stateChangeWindow), timeline[len(timeline)-1].Time
	for _, l := range lines {
		stateChange := strings.HasPrefix(l.Msg, "control: ")
		if stateChange && nodes[l.Source] && !l.Time.Before(from) && !l.Time.After(to) {
			timeline = append(timeline, l)
		}
	}
	sortByTime(timeline)
	return timeline
}

// sortByTime sorts the lines in place and keeps the order of lines with equal times.
func sortByTime(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
}
