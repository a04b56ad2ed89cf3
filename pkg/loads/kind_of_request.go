package loads

import (
	"strconv"
	"strings"
)

// kindSeparator occurs in no name.
const kindSeparator = "\x1f"

// Kind names the requests of one route by teams of one priority, in reports and in the plan. The kind of the most urgent
// teams, and of requests that no team sends, is the route's name alone. Kinds go by priority and not by team to keep
// reports small, as they cross availability zones.
func Kind(route string, teamPriority int) string {
	if teamPriority == 0 {
		return route
	}
	return route + kindSeparator + strconv.Itoa(teamPriority)
}

// SplitKind returns the route and the team priority of a kind.
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

// KindLabel returns the label of a kind in logs and metrics.
func KindLabel(kind string) string { return strings.Replace(kind, kindSeparator, " team-priority ", 1) }
