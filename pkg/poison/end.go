package poison

import (
	"slices"
	"time"
)

// Lifetime is one life of a backend server, from its start to its end.
type Lifetime struct {
	Host     string `json:"host"`     // IP number of its VM
	Instance string `json:"instance"` // and what tells this life from others under the same one
}

// Stages are those of a request's cases, by likeness.
type Stages [ScopeCount]int

// Suspected tells whether there is a case.
func (s Stages) Suspected() bool { return s != Stages{} }

// Max returns the later stage of each likeness.
func (s Stages) Max(o Stages) Stages {
	for i := range s {
		s[i] = max(s[i], o[i])
	}
	return s
}

// WithoutSuccessful returns the stages but for those of likenesses whose runs have ended well.
func (s Stages) WithoutSuccessful(sound RecentSuccess) Stages {
	for i := range s {
		if sound[i] {
			s[i] = 0
		}
	}
	return s
}

// Treatment returns what may be done, by the stages alone, with a request of which a node that sends it knows them: it may have heard of an end that is news to
// the node beside the next server. How long ago that was, and so whether it is held back, only a Table tells.
func (s Stages) Treatment() Treatment {
	switch most := slices.Max(s[:]); {
	case most >= aloneStage:
		return Alone
	case most > 0:
		return Confined
	default:
		return Free
	}
}

// Run is a request that ran in a server when that ended.
type Run struct {
	Identity      Identity
	Stages        Stages        // of its cases when the run began
	Route         string        // for who reads about it
	Request       string        // id of the attempt, as above
	RecentSuccess RecentSuccess // whether runs of it had ended well there of late
}

// Crash is the end of a server that nobody had announced.
type Crash struct {
	Lifetime Lifetime
	Service  string
	Age      time.Duration // since it was noticed, when this was written
	Runs     []Run
}
