package poison

import "time"

// Lifetime is one life of a backend server, from its start to its end.
type Lifetime struct {
	Host     string `json:"host"` // IP number of its VM
	Instance string `json:"instance"`
}

// Run is a request that ran in a server when that ended.
type Run struct {
	Fingerprint Fingerprint
	Stage       int    // of its case when the run began
	Route       string // for who reads about it
	Request     string // id of the attempt, as above
}

// End is the end of a server that nobody had announced.
type End struct {
	Lifetime Lifetime
	Service  string
	Age      time.Duration // since it was noticed, when this was written
	Runs     []Run
}
