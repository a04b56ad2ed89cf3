package trace

import (
	"cmp"
	"slices"
)

// Cause groups the log lines with the same message, route, outcome and reason.
type Cause struct {
	Msg, Route, Outcome, Reason string
	Lines                       int     // number of lines in the group
	LeftOut                     float64 // number of lines that the log's rate limit suppressed
	First                       Line    // earliest line of the group
}

// Causes groups the lines that name a request and a reason, the most frequent group first.
func Causes(lines []Line) []Cause {
	groups := map[[4]string]*Cause{}
	for _, l := range lines {
		if stringOrEmpty(l.Fields["request"]) == "" || stringOrEmpty(l.Fields["reason"]) == "" {
			continue
		}
		key := [4]string{l.Msg, stringOrEmpty(l.Fields["route"]), stringOrEmpty(l.Fields["outcome"]), stringOrEmpty(l.Fields["reason"])}
		c := groups[key]
		if c == nil {
			c = &Cause{Msg: key[0], Route: key[1], Outcome: key[2], Reason: key[3], First: l}
			groups[key] = c
		}
		c.add(l)
	}
	return sortedByFrequency(groups)
}

// add counts a line, and the suppressed lines that it reports.
func (c *Cause) add(l Line) {
	c.Lines++
	suppressed, _ := l.Fields["repeated"].(float64)
	c.LeftOut += suppressed
	if l.Time.Before(c.First.Time) {
		c.First = l
	}
}

// sortedByFrequency returns the groups, those with the most lines first.
func sortedByFrequency(groups map[[4]string]*Cause) []Cause {
	out := make([]Cause, 0, len(groups))
	for _, c := range groups {
		out = append(out, *c)
	}
	slices.SortFunc(out, func(a, b Cause) int {
		return cmp.Or(cmp.Compare(b.Lines, a.Lines), cmp.Compare(a.Msg+a.Route+a.Reason, b.Msg+b.Route+b.Reason))
	})
	return out
}
