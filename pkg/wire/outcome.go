package wire

// Outcome says whether a backend server ran the request.
type Outcome string

// The three outcomes; a node that can't decide answers Unknown.
const (
	// Ran means that a backend server ran the request and gave this answer.
	Ran Outcome = "ran"
	// NotRun means that no backend server ran the request, and none will.
	NotRun Outcome = "not-run"
	// Unknown means that the request may have run.
	Unknown Outcome = "unknown"
)

// Reason says why a request was refused or lost.
type Reason string

// The reasons in nodes' answers.
const (
	ReasonNone          Reason = ""
	ReasonBelowLevel    Reason = "level"          // below the admission level
	ReasonQueue         Reason = "queue"          // waited too long in the queue, or evicted by a higher priority
	ReasonRateLimit     Reason = "rate-limit"     // the backend server accepts no more requests a second for now
	ReasonDeadline      Reason = "deadline"       // too little time left
	ReasonLeaving       Reason = "leaving"        // the backend server is leaving
	ReasonNoServer      Reason = "no-server"      // no backend server matches the policy
	ReasonStarting      Reason = "starting"       // the node beside the backend server has just started and knows no servers yet
	ReasonServerRefused Reason = "server-refused" // the backend server itself refused the request
	ReasonNotOwner      Reason = "not-owner"      // this node isn't the home node of the key
	ReasonHistoryLost   Reason = "quiet-window"   // the key's history was lost, and it may have run
	ReasonKeyClosed     Reason = "closed"         // the key was refused before, and an earlier attempt may still be in flight
	ReasonKeyMemoryFull Reason = "memory"         // the memory of keys is full
	ReasonAnswerLost    Reason = "lost"           // the answer was lost in transit
	ReasonRetryBudget   Reason = "retries"        // the retry budget is spent
	ReasonInProgress    Reason = "running"        // an earlier attempt is still in progress
	ReasonKeyMismatch   Reason = "key-mismatch"   // the key was used with another request before
	ReasonBadRequest    Reason = "bad-request"    // the request is invalid
	ReasonQuarantined   Reason = "held-back"      // quarantined: the same request has crashed several servers
	ReasonSuspect       Reason = "suspect"        // a server crashed while running the same request, which is being tested in isolation
	ReasonNoRoute       Reason = "no-route"       // no route matches the request
	ReasonInvalidEntry  Reason = "invalid-entry"  // the entry of the route or team in the desired state is invalid
	ReasonBodyLost      Reason = "body-lost"      // the request's body stalled or broke off
	ReasonBodyBytes     Reason = "body-bytes"     // the node holds too many bytes of request bodies
	ReasonNoTeamKey     Reason = "no-key"         // the request carries no key of a team
	ReasonStaleState    Reason = "old-state"      // the desired state may be too old to accept a key
	ReasonQuota         Reason = "quota"          // the team is over its quota
	ReasonNoOwner       Reason = "no-owner"       // no node that knows the team's quota can be reached
)

// OtherServerMayAccept reports whether the refusal concerns a single backend server, so that another may be tried.
func (r Reason) OtherServerMayAccept() bool {
	switch r {
	case ReasonLeaving, ReasonStarting, ReasonQueue, ReasonRateLimit, ReasonServerRefused, ReasonBelowLevel, ReasonNotOwner:
		return true
	default:
		return false
	}
}
