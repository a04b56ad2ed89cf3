package trace

import (
	"cmp"
	"slices"
)

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
		c.add(l)
	}
	return byFrequency(groups)
}

// add counts a line of the group.
func (c *Cause) add(l Line) {
	c.Lines++
	left, _ := l.Fields["repeated"].(float64)
	c.LeftOut += left
	if l.Time.Before(c.First.Time) {
		c.First = l
	}
}

// byFrequency returns the groups, the most frequent first.
func byFrequency(groups map[[4]string]*Cause) []Cause {
	out := make([]Cause, 0, len(groups))
	for _, c := range groups {
		out = append(out, *c)
	}
	slices.SortFunc(out, func(a, b Cause) int {
		return cmp.Or(cmp.Compare(b.Lines, a.Lines), cmp.Compare(a.Msg+a.Route+a.Reason, b.Msg+b.Route+b.Reason))
	})
	return out
}
