package freshness

import "time"

// validFraction is the fraction of the bound for which a proof is valid. The rest covers clocks that run at different rates: two permille
// while a proof passes over three nodes are 0.03 s of 5 s.
const validFraction = 0.96

// Proof says that the store had no newer desired state than Version when a call to it was sent.
type Proof struct {
	Version int64
	Sent    time.Time // by the clock of the node that holds the proof
}

// ProofTracker holds the proofs of one node. Its zero value has none. It isn't safe for concurrent use.
type ProofTracker struct {
	// Bound is the time after the confirmation of a desired state from which keys that it revoked must be rejected.
	Bound time.Duration

	held  Proof // the youngest one for a version that is or was in force
	ahead Proof // the youngest one for a version that isn't in force yet
}

// AddProof adds a proof; own is the version in force.
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

// VersionApplied uses a proof that was ahead of the version in force, once that version, own, is in force.
func (k *ProofTracker) VersionApplied(own int64) {
	if k.ahead.Version > own || k.ahead.Version == 0 {
		return
	}
	p := k.ahead
	k.ahead = Proof{}
	k.AddProof(p, own)
}

// YoungestProof returns the youngest proof that holds for a state of version own; its version is 0 if there is none.
func (k *ProofTracker) YoungestProof(own int64) Proof {
	if k.held.Version > own {
		return Proof{}
	}
	return k.held
}

// ProofAge returns the age of the proof for a state of version own; it reports false if there is none.
func (k *ProofTracker) ProofAge(now time.Time, own int64) (time.Duration, bool) {
	p := k.YoungestProof(own)
	if p.Version == 0 {
		return 0, false
	}
	return max(now.Sub(p.Sent), 0), true
}

// MayAcceptKey reports whether a key may be accepted that the state of version own has.
func (k *ProofTracker) MayAcceptKey(now time.Time, own int64) bool {
	age, known := k.ProofAge(now, own)
	return known && age <= k.validity()
}

// MayRejectUnknownKey reports whether a key that the state of version own doesn't have may be rejected as unknown. It requires a proof at
// most half as old as MayAcceptKey does, since the key may have been added after an older one.
func (k *ProofTracker) MayRejectUnknownKey(now time.Time, own int64) bool {
	age, known := k.ProofAge(now, own)
	return known && age <= k.validity()/2
}

func (k *ProofTracker) validity() time.Duration {
	return time.Duration(validFraction * float64(k.Bound))
}
