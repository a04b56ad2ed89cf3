package poison

import (
	"slices"
	"time"
)

// maxLifetimesPerList bounds each list of lifetimes in a case; the newest are retained, since older ones add no evidence.
const maxLifetimesPerList = 8

// Case holds the crashes during which requests with one fingerprint were running.
type Case struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	Service     string      `json:"service"`
	Route       string      `json:"route"`
	Request     string      `json:"request"` // id of the last attempt that was running when a server crashed
	// Stage counts crashes in sequence: a crash of a run that began in stage n leads to stage n+1. Servers that crash together,
	// under copies of a request that many clients send, so count as one stage. See severity for crashes that were cleared since.
	Stage int `json:"stage"`
	// Crashed lists the servers that crashed under it since it was last cleared, Cleared those that it was cleared of.
	Crashed            []Lifetime    `json:"ends"`
	Cleared            []Lifetime    `json:"cleared,omitempty"`
	Age                time.Duration `json:"age_ns"`          // since the last crash, when this was written
	RecentlySuccessful bool          `json:"sound,omitempty"` // a run had succeeded shortly before one of the crashes
}

// severity returns the stage, limited to the number of crashes that weren't cleared. A crash report may arrive after the report of a
// successful run; its stage then still counts the crashes that were known when the run began, cleared or not.
func (c *Case) severity() int { return min(c.Stage, len(c.Crashed)) }

// isSuspect reports whether any crash counts against the request.
func (c *Case) isSuspect() bool { return len(c.Crashed) > 0 }

// mergeLifetimes appends the lifetimes that aren't in the list yet and drops the oldest beyond the limit; it reports whether any was new.
func mergeLifetimes(list *[]Lifetime, more []Lifetime) bool {
	added := false
	for _, l := range more {
		if !slices.Contains(*list, l) {
			*list = append(*list, l)
			added = true
		}
	}
	if over := len(*list) - maxLifetimesPerList; over > 0 {
		*list = slices.Delete(*list, 0, over)
	}
	return added
}

// subtract returns the lifetimes of list that aren't in other.
func subtract(list, other []Lifetime) []Lifetime {
	var kept []Lifetime
	for _, l := range list {
		if !slices.Contains(other, l) {
			kept = append(kept, l)
		}
	}
	return kept
}
