package poison

import (
	"slices"
	"time"
)

// maxLifetimes bounds the servers that a case names: more say nothing new, and the newest are kept.
const maxLifetimes = 8

// Case is what is known of one request that ran in servers when they ended.
type Case struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	Service     string      `json:"service"`
	Route       string      `json:"route"`
	Request     string      `json:"request"` // id of the last attempt under which a server ended
	// Stage counts the ends one after the other: that of a run that began in stage n makes stage n+1, so servers that end
	// together, under copies of a request that many send, make one stage. See severity for the ends of which it was cleared meanwhile.
	Stage int `json:"stage"`
	// Crashed are the servers that ended under it since it was last cleared, Cleared those before.
	Crashed            []Lifetime    `json:"ends"`
	Cleared            []Lifetime    `json:"cleared,omitempty"`
	Age                time.Duration `json:"age_ns"`          // since the last end, when this was written
	RecentlySuccessful bool          `json:"sound,omitempty"` // runs of it had ended well shortly before one of the ends
}

// severity is the stage that the ends bear out which it wasn't cleared of: news of an end may come after that of a run that ended well, and says then
// how many ends there were when the run began, whether they count any more or not.
func (c *Case) severity() int { return min(c.Stage, len(c.Crashed)) }

// live tells whether the request is under suspicion.
func (c *Case) live() bool { return len(c.Crashed) > 0 }

// add adds lifetimes that aren't in the list, and forgets the first ones of a list that is too long; it reports whether any was news.
func add(list *[]Lifetime, more []Lifetime) bool {
	news := false
	for _, l := range more {
		if !slices.Contains(*list, l) {
			*list = append(*list, l)
			news = true
		}
	}
	if over := len(*list) - maxLifetimes; over > 0 {
		*list = slices.Delete(*list, 0, over)
	}
	return news
}

// without returns the lifetimes that aren't in the other list.
func without(list, other []Lifetime) []Lifetime {
	var kept []Lifetime
	for _, l := range list {
		if !slices.Contains(other, l) {
			kept = append(kept, l)
		}
	}
	return kept
}
