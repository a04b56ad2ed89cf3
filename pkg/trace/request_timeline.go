package trace

import (
	"slices"
	"strings"
	"time"
)

// beliefWindow is how long before a request's first line the beliefs of its nodes are told.
const beliefWindow = 3 * time.Second

// Timeline returns the lines about a request and its calls, in order of time, and those by which the same
// nodes changed what they believed from a little before it until its end.
func Timeline(lines []Line, id string) []Line {
	var about []Line
	nodes := map[string]bool{}
	for _, l := range lines {
		if r := text(l.Fields["request"]); r == id || strings.HasPrefix(r, id+".") {
			about = append(about, l)
			nodes[l.Source] = true
		}
	}
	if len(about) == 0 {
		return nil
	}
	byTime(about)
	from, to := about[0].Time.Add(-beliefWindow), about[len(about)-1].Time
	for _, l := range lines {
		belief := strings.HasPrefix(l.Msg, "control: ")
		if belief && nodes[l.Source] && !l.Time.Before(from) && !l.Time.After(to) {
			about = append(about, l)
		}
	}
	byTime(about)
	return about
}

func byTime(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
}
