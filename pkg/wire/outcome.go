package wire

// Outcome tells a caller what became of its request.
type Outcome string

// The three outcomes; a daemon that is in doubt says Unknown.
const (
	// Ran means that a backend server gave this answer.
	Ran Outcome = "ran"
	// NotRun means that no backend server ran the request, and none will.
	NotRun Outcome = "not-run"
	// Unknown means that the request may have run.
	Unknown Outcome = "unknown"
)

// Reason says why a request was refused or lost.
type Reason string

// The reasons that daemons give.
const (
	ReasonNone          Reason = ""
	ReasonBelowLevel    Reason = "level"          // below the admission level
	ReasonQueue         Reason = "queue"          // waited too long, or evicted by a higher priority
	ReasonDeadline      Reason = "deadline"       // too little time left
	ReasonLeaving       Reason = "leaving"        // the backend server is leaving
	ReasonNoServer      Reason = "no-server"      // no backend server matches the policy
	ReasonServerRefused Reason = "server-refused" // the backend server itself refused
	ReasonNotOwner      Reason = "not-owner"      // this node isn't the home of the key
	ReasonHistoryLost   Reason = "quiet-window"   // the key's history was lost, and it may have run
	ReasonKeyClosed     Reason = "closed"         // refused before, and still within an attempt's time
	ReasonKeyMemoryFull Reason = "memory"         // no room to remember another key
	ReasonAnswerLost    Reason = "lost"           // the answer was lost on the way
	ReasonRetryBudget   Reason = "retries"        // the retry budget is spent
	ReasonInProgress    Reason = "running"        // an earlier attempt hasn't ended
	ReasonKeyMismatch   Reason = "key-mismatch"   // the key came with another request before
	ReasonBadRequest    Reason = "bad-request"    // the request can't be taken
	ReasonQuarantined   Reason = "held-back"      // servers ended under the same request
	ReasonSuspect       Reason = "suspect"        // a server ended under the same request, which is tried by itself
	ReasonNoRoute       Reason = "no-route"       // no route matches the request
	ReasonNoTeamKey     Reason = "no-key"         // the request has no key of a team
	ReasonStaleState    Reason = "old-state"      // the desired state may be too old to let a key pass
	ReasonQuota         Reason = "quota"          // the team is over its quota
	ReasonNoOwner       Reason = "no-owner"       // nobody who knows the team's quota can be reached
)

// OtherServerMayAccept tells whether the refusal speaks of one backend server only, so that another may be tried.
func (r Reason) OtherServerMayAccept() bool {
	switch r {
	case ReasonLeaving, ReasonQueue, ReasonServerRefused, ReasonBelowLevel, ReasonNotOwner:
		return true
	default:
		return false
	}
}
