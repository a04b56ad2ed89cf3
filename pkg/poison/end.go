package poison

import "time"

// Lifetime is one life of a backend server, from its start to its end.
type Lifetime struct {
	Host     string `json:"host"`     // IP number of its VM
	Instance string `json:"instance"` // and what tells this life from others under the same one
}

// Stages are those of a request's cases, by likeness.
type Stages [Likenesses]int

// Any tells whether there is a case.
func (s Stages) Any() bool { return s != Stages{} }

// Max returns the later stage of each likeness.
func (s Stages) Max(o Stages) Stages {
	for i := range s {
		s[i] = max(s[i], o[i])
	}
	return s
}

// Run is a request that ran in a server when that ended.
type Run struct {
	Identity Identity
	Stages   Stages // of its cases when the run began
	Route    string // for who reads about it
	Request  string // id of the attempt, as above
}

// End is the end of a server that nobody had announced.
type End struct {
	Lifetime Lifetime
	Service  string
	Age      time.Duration // since it was noticed, when this was written
	Runs     []Run
}
