package freshness

import "time"

// holdShare of the bound is how long a proof holds. The rest is for clocks that run at different rates (two permille on the
// way of a proof over three nodes are 0.03 s of 5 s).
const holdShare = 0.96

// Proof says that the store had no newer desired state than a version when a call to it was sent.
type Proof struct {
	Version int64
	Sent    time.Time // of the clock of the node that holds it
}

// ProofTracker holds what one node has of proofs. Its zero value has none; it isn't safe for concurrent use.
type ProofTracker struct {
	// Bound is the time after the confirmation of a desired state from which on what it took away doesn't pass.
	Bound time.Duration

	held  Proof // the youngest for a version that is in force, or was
	ahead Proof // one for a version that isn't in force yet
}

// AddProof takes a proof; own is the version in force.
func (k *ProofTracker) AddProof(p Proof, own int64) {
	switch {
	case p.Version <= 0:
	case p.Version > own:
		if p.Sent.After(k.ahead.Sent) {
			k.ahead = p
		}
	case p.Sent.After(k.held.Sent):
		k.held = p
	}
}

// VersionApplied tells that a newer version is in force.
func (k *ProofTracker) VersionApplied(own int64) {
	if k.ahead.Version > own || k.ahead.Version == 0 {
		return
	}
	p := k.ahead
	k.ahead = Proof{}
	k.AddProof(p, own)
}

// YoungestProof returns the youngest proof for a state in force of the version; its version is 0 if there is none.
func (k *ProofTracker) YoungestProof(own int64) Proof {
	if k.held.Version > own {
		return Proof{}
	}
	return k.held
}

// ProofAge returns how old the proof for a state of the version is; it reports false if there is none.
func (k *ProofTracker) ProofAge(now time.Time, own int64) (time.Duration, bool) {
	p := k.YoungestProof(own)
	if p.Version == 0 {
		return 0, false
	}
	return max(now.Sub(p.Sent), 0), true
}

// MayAcceptKey tells whether a key may pass that a state of the version lets pass.
func (k *ProofTracker) MayAcceptKey(now time.Time, own int64) bool {
	age, known := k.ProofAge(now, own)
	return known && age <= k.hold()
}

// MayRejectUnknownKey tells whether a key that a state of the version doesn't have may be called unknown: where the proof is older, the key may
// have been added since.
func (k *ProofTracker) MayRejectUnknownKey(now time.Time, own int64) bool {
	age, known := k.ProofAge(now, own)
	return known && age <= k.hold()/2
}

func (k *ProofTracker) hold() time.Duration { return time.Duration(holdShare * float64(k.Bound)) }
