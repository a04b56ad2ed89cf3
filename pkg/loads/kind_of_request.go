package loads

import (
	"strconv"
	"strings"
)

// kindSeparator stands in no name.
const kindSeparator = "\x1f"

// Kind names the requests of one route whose teams have one priority, in reports and in the plan. That of teams of the most urgent priority,
// and of requests that no team sends, is the route's name alone. There are as many kinds as routes and priorities, and not as teams:
// reports cross availability zones.
func Kind(route string, teamPriority int) string {
	if teamPriority == 0 {
		return route
	}
	return route + kindSeparator + strconv.Itoa(teamPriority)
}

// SplitKind returns what a kind is made of.
func SplitKind(kind string) (route string, teamPriority int) {
	route, text, found := strings.Cut(kind, kindSeparator)
	if !found {
		return kind, 0
	}
	p, err := strconv.Atoi(text)
	if err != nil || p < 0 {
		return kind, 0
	}
	return route, p
}

// KindLabel returns the name of a kind for logs and metrics.
func KindLabel(kind string) string { return strings.Replace(kind, kindSeparator, " team-priority ", 1) }
