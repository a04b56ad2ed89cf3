package poison

import "time"

// Treatment is the restriction under which a request may run.
type Treatment uint8

// The treatments, from the least restrictive.
const (
	// Free requests may go to any server.
	Free Treatment = iota
	// Confined requests go to one server only, the same for all their copies. Of the tens of requests that ran in a server when it crashed
	// one is the cause. The others, and all copies of a popular one, are still served, while the cause can crash one more server, not several.
	Confined
	// Alone requests go to that server one at a time, so that the next crash identifies the cause.
	Alone
	// Quarantined requests aren't sent to any server.
	Quarantined
)

// String returns the treatment's name in logs and operators' tools.
func (t Treatment) String() string { return [...]string{"free", "confined", "alone", "held back"}[t&3] }

// The thresholds and times of Policy.decide.
const (
	// aloneStage is the stage from which copies run one at a time.
	aloneStage = 2
	// quarantineStage is the stage from which a request is quarantined: a third crash in a row, each of a run that began when the
	// previous crash was known, without a successful run in between. An innocent request is one of tens in each crashed server. It gets
	// there only if it runs beside the cause three times; the second and third time it runs on the server selected for it, where the cause
	// is only one of the few other suspects that may be selected for the same server.
	quarantineStage = 3
	// manyCrashes crashed servers lead to Alone, and in aloneStage to quarantine: a request that many clients sent at once
	// crashes several servers in its first stage.
	manyCrashes = 3
	// successStageAllowance is how many more stages a recently successful request needs. Other requests most likely crash the servers, and
	// a popular request that runs one at a time would mostly be refused. If it did become a poison request, it crashes this many more servers.
	successStageAllowance = 3
	// lastServerProtection is how long after a crash a suspect isn't sent to the last available server of its service. Crashed servers are back
	// after some seconds, and the other requests need the last one. Then the suspect may run even there, since a service may have only one server.
	lastServerProtection = 4 * time.Second
	// postQuarantineRetention is how long a case is retained after its quarantine: long enough for clients that retry every few minutes.
	postQuarantineRetention = 10 * time.Minute
)

// Policy sets how long cases are retained and requests quarantined; SetDefaults replaces zero fields by defaults.
type Policy struct {
	// SuspectRetention is how long a request that doesn't run again stays a suspect: long enough for clients that retry every few seconds.
	// An innocent request loses only the choice of server by it.
	SuspectRetention time.Duration
	// FirstQuarantine is the length of the first quarantine, QuarantineFactor multiplies it after each further crash, and MaxQuarantine
	// limits it. Each trial may cost a server and the requests in it, for some seconds; the next release of the server may be free of the fault.
	FirstQuarantine  time.Duration
	QuarantineFactor int
	MaxQuarantine    time.Duration
}

// The defaults of Policy. With them a poison request crashes three servers, one more after half a minute, and then one each after
// 5 min, 50 min and every three hours.
const (
	defaultSuspectRetention = time.Minute
	defaultFirstQuarantine  = 30 * time.Second
	defaultQuarantineFactor = 10
	defaultMaxQuarantine    = 3 * time.Hour
)

// SetDefaults sets the fields that are zero to their defaults.
func (r *Policy) SetDefaults() {
	if r.SuspectRetention == 0 {
		r.SuspectRetention = defaultSuspectRetention
	}
	if r.FirstQuarantine == 0 {
		r.FirstQuarantine = defaultFirstQuarantine
	}
	if r.QuarantineFactor == 0 {
		r.QuarantineFactor = defaultQuarantineFactor
	}
	if r.MaxQuarantine == 0 {
		r.MaxQuarantine = defaultMaxQuarantine
	}
}

// quarantineTime returns how long after its last crash a request of the stage is quarantined; 0: not at all.
func (r Policy) quarantineTime(stage int) time.Duration {
	if stage < quarantineStage {
		return 0
	}
	h := r.FirstQuarantine
	for range stage - quarantineStage {
		if h >= r.MaxQuarantine {
			break
		}
		h *= time.Duration(r.QuarantineFactor)
	}
	return min(h, r.MaxQuarantine)
}

// retention returns how long after its last crash a case of the stage is retained. After a quarantine the case is retained for longer, so
// that one more crash, not three, quarantines the request again.
func (r Policy) retention(stage int) time.Duration {
	if stage < quarantineStage {
		return r.SuspectRetention
	}
	return r.quarantineTime(stage) + postQuarantineRetention
}

// Decision is the current treatment of a request, with the evidence for it.
type Decision struct {
	Treatment Treatment
	Stages    Stages
	// Remaining is how much longer a quarantine lasts or, for a suspect that isn't quarantined, how much longer it isn't sent to
	// the last available server of its service.
	Remaining time.Duration
	// RecentlySuccessful tells that a run had succeeded shortly before one of the crashes.
	RecentlySuccessful bool
	// Crashed lists the servers that crashed under the request.
	Crashed []Lifetime
}

// decide returns the treatment of a request, a time after the last crash under it.
func (r Policy) decide(c *Case, since time.Duration) Decision {
	j := Decision{Crashed: c.Crashed, RecentlySuccessful: c.RecentlySuccessful}
	stage := c.severity()
	if c.RecentlySuccessful {
		stage -= successStageAllowance
	}
	switch {
	case since < r.quarantineTime(stage):
		j.Treatment, j.Remaining = Quarantined, r.quarantineTime(stage)-since
		return j
	case stage >= aloneStage || len(c.Crashed) >= manyCrashes && !c.RecentlySuccessful:
		j.Treatment = Alone
	default:
		j.Treatment = Confined
	}
	j.Remaining = max(lastServerProtection-since, 0)
	return j
}

// stageAfterCrash returns the stage of a case after a crash of a run that began in stage began.
func stageAfterCrash(c *Case, began int) int {
	stage := max(c.Stage, began+1)
	if stage == aloneStage && len(c.Crashed) >= manyCrashes {
		return quarantineStage
	}
	return stage
}
