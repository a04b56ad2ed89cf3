package trace

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// beliefWindow is how long before a request's first line the beliefs of its nodes are told.
const beliefWindow = 3 * time.Second

// Story returns the lines about a request and its calls, in order of time, and those by which the same
// nodes changed what they believed from a little before it until its end.
func Story(lines []Line, id string) []Line {
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

// Cause is a group of requests that ended in the same way.
type Cause struct {
	Msg, Route, Outcome, Reason string
	Lines                       int     // that say so
	LeftOut                     float64 // that a bound on lines left out
	First                       Line
}

// Causes groups the lines about requests that weren't served, the most frequent first.
func Causes(lines []Line) []Cause {
	groups := map[[4]string]*Cause{}
	for _, l := range lines {
		if text(l.Fields["request"]) == "" || text(l.Fields["reason"]) == "" {
			continue
		}
		key := [4]string{l.Msg, text(l.Fields["route"]), text(l.Fields["outcome"]), text(l.Fields["reason"])}
		c := groups[key]
		if c == nil {
			c = &Cause{Msg: key[0], Route: key[1], Outcome: key[2], Reason: key[3], First: l}
			groups[key] = c
		}
		c.Lines++
		left, _ := l.Fields["repeated"].(float64)
		c.LeftOut += left
		if l.Time.Before(c.First.Time) {
			c.First = l
		}
	}
	out := make([]Cause, 0, len(groups))
	for _, c := range groups {
		out = append(out, *c)
	}
	slices.SortFunc(out, func(a, b Cause) int {
		return cmp.Or(cmp.Compare(b.Lines, a.Lines), cmp.Compare(a.Msg+a.Route+a.Reason, b.Msg+b.Route+b.Reason))
	})
	return out
}
