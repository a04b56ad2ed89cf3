package poison

import "time"

// Treatment is what may be done with a request.
type Treatment uint8

// The treatments, from the lightest.
const (
	// Free requests go anywhere.
	Free Treatment = iota
	// Confined ones go to one server only, the same for all their copies. One of tens of requests that ran in a server when it ended
	// is to blame; the others, and all copies of a popular one, are served on, while the guilty one can end one more server, not several.
	Confined
	// Alone ones go there one at a time: the next end tells who is to blame.
	Alone
	// Quarantined ones aren't sent to any server.
	Quarantined
)

// String names the treatment for logs.
func (t Treatment) String() string { return [...]string{"free", "confined", "alone", "held back"}[t&3] }

// The constants of judging.
const (
	// aloneStage is the stage from which on copies are tried one at a time.
	aloneStage = 2
	// heldStage is the stage from which on a request is held back: a third end in a row, each of a run that began when the end before was
	// known, without one run between that ended well. An innocent request, of tens in each server that ends, comes there only by
	// meeting the guilty one three times, and in the second and third it ran on a server of its own choice with those few that met it too.
	heldStage = 3
	// heldEnds servers that ended are enough in aloneStage: a request that many clients sent at once ends several servers in its first stage.
	heldEnds = 3
	// soundEnds is how many stages more a request needs of which runs have ended well of late: most likely others end the servers, and tried alone a popular
	// one would mostly be refused. Should it have turned into one that ends servers, it ends so many more.
	soundEnds = 3
	// spareTime after an end is how long a suspect isn't sent to the last server of its service that is there: servers that end are back after some
	// seconds, and the others' requests need the last one. After that it is tried even there, since a service may have one server for good.
	spareTime = 4 * time.Second
	// heldMemory is how long a request that was held back is remembered after that: long enough for clients that ask every some minutes.
	heldMemory = 10 * time.Minute
)

// Policy are how long requests are kept in mind; the zero value has the defaults of Fill.
type Policy struct {
	// SuspectRetention is how long a request is a suspect if it doesn't come again: long enough for clients that ask every some seconds, and it costs
	// an innocent one no more than the choice of server.
	SuspectRetention time.Duration
	// FirstQuarantine is how long a request is held back at first, HoldTimes by how many times longer after each further end, and
	// HoldMost the longest. Each try may cost a server and the requests in it, some seconds long; the next release of the server may be sound.
	FirstQuarantine  time.Duration
	QuarantineFactor int
	MaxQuarantine    time.Duration
}

// The defaults of Rules. With them a request that goes on ending servers does so three times, once more after half a minute, and then after
// 5 min, 50 min and every three hours.
const (
	defaultSuspect   = time.Minute
	defaultHoldFirst = 30 * time.Second
	defaultHoldTimes = 10
	defaultHoldMost  = 3 * time.Hour
)

// SetDefaults puts the defaults where nothing is set.
func (r *Policy) SetDefaults() {
	if r.SuspectRetention == 0 {
		r.SuspectRetention = defaultSuspect
	}
	if r.FirstQuarantine == 0 {
		r.FirstQuarantine = defaultHoldFirst
	}
	if r.QuarantineFactor == 0 {
		r.QuarantineFactor = defaultHoldTimes
	}
	if r.MaxQuarantine == 0 {
		r.MaxQuarantine = defaultHoldMost
	}
}

// hold returns for how long a request of the stage is held back after its last end.
func (r Policy) hold(stage int) time.Duration {
	if stage < heldStage {
		return 0
	}
	h := r.FirstQuarantine
	for range stage - heldStage {
		if h >= r.MaxQuarantine {
			break
		}
		h *= time.Duration(r.QuarantineFactor)
	}
	return min(h, r.MaxQuarantine)
}

// memory returns for how long a case of the stage is kept after its last end. One that was held back is remembered, so that its next try is one try, not three.
func (r Policy) memory(stage int) time.Duration {
	if stage < heldStage {
		return r.SuspectRetention
	}
	return r.hold(stage) + heldMemory
}

// Decision is what is to be done with a request now.
type Decision struct {
	Treatment Treatment
	Stages    Stages
	// Remaining is how long the treatment lasts, of one that is held back, or how long the last server of the service is to be spared.
	Remaining time.Duration
	// RecentlySuccessful tells that runs of it had ended well shortly before one of the ends.
	RecentlySuccessful bool
	// Crashed are the servers that ended under it.
	Crashed []Lifetime
}

// judge returns what is to be done with a request some time after the last end under it.
func (r Policy) judge(c *Case, since time.Duration) Decision {
	j := Decision{Crashed: c.Crashed, RecentlySuccessful: c.RecentlySuccessful}
	stage := c.severity()
	if c.RecentlySuccessful {
		stage -= soundEnds
	}
	switch {
	case since < r.hold(stage):
		j.Treatment, j.Remaining = Quarantined, r.hold(stage)-since
		return j
	case stage >= aloneStage || len(c.Crashed) >= heldEnds && !c.RecentlySuccessful:
		j.Treatment = Alone
	default:
		j.Treatment = Confined
	}
	j.Remaining = max(spareTime-since, 0)
	return j
}

// stageOf returns the stage of a case under which one more server ended, in a run that began in some stage.
func stageOf(c *Case, began int) int {
	stage := max(c.Stage, began+1)
	if stage == aloneStage && len(c.Crashed) >= heldEnds {
		return heldStage
	}
	return stage
}
