package poison

import (
	"slices"
	"time"
)

// Lifetime identifies one lifetime of a backend server, from its start to its exit or crash.
type Lifetime struct {
	Host     string `json:"host"`     // IP address of its VM
	Instance string `json:"instance"` // distinguishes this lifetime from others on the same VM
}

// Stages holds the stage of a request's case for each fingerprint scope; 0 means no case.
type Stages [ScopeCount]int

// Suspected reports whether the request is a suspect in any scope.
func (s Stages) Suspected() bool { return s != Stages{} }

// Max returns the higher stage for each scope.
func (s Stages) Max(o Stages) Stages {
	for i := range s {
		s[i] = max(s[i], o[i])
	}
	return s
}

// WithoutSuccessful returns the stages, with 0 for each scope in which a run succeeded recently.
func (s Stages) WithoutSuccessful(sound RecentSuccess) Stages {
	for i := range s {
		if sound[i] {
			s[i] = 0
		}
	}
	return s
}

// Treatment returns the treatment that the stages alone imply. The node that sends a request passes its stages on, since it may know of a
// crash that the next server's node hasn't received yet. Quarantined depends on the time of the last crash, which only a Table knows.
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

// Run is a request that was running in a server when it crashed.
type Run struct {
	Identity      Identity
	Stages        Stages        // of its cases when the run began
	Route         string        // for operators
	Request       string        // id of the attempt
	RecentSuccess RecentSuccess // scopes in which a run had succeeded recently at that server
}

// Crash is the unannounced exit of a server, with the requests that were running in it.
type Crash struct {
	Lifetime Lifetime
	Service  string
	Age      time.Duration // since it was detected, when this was written
	Runs     []Run
}
