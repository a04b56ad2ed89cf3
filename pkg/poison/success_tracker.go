package poison

import (
	"encoding/binary"
	"hash/maphash"
	"sync"
	"time"
)

// The bounds of a SuccessTracker.
const (
	// successRetention is the minimum time for which a successful run is remembered; the maximum is twice as long.
	successRetention = 5 * time.Second
	// maxSuccesses bounds the hashes that are remembered per successRetention, some 16 bytes each.
	maxSuccesses = 8192
)

// SuccessTracker remembers which requests succeeded recently at one server: if it crashes, such a request is unlikely to be the cause.
// Its zero value is empty and ready to use. It is safe for concurrent use.
type SuccessTracker struct {
	// ExactOnly leaves out the other scopes: they cost a hash of the whole content each.
	ExactOnly bool

	mu                sync.Mutex
	seed              maphash.Seed // zero until the first use
	current, previous map[uint64]struct{}
	currentStart      time.Time // when current began
}

// RecentSuccess tells for each fingerprint scope whether a run succeeded recently.
type RecentSuccess [ScopeCount]bool

// RecordSuccess remembers that a run of a request succeeded.
func (g *SuccessTracker) RecordSuccess(now time.Time, a RequestContent) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rotate(now)
	keys := g.keys(a)
	for _, key := range keys[:g.scopeCount()] {
		if len(g.current) < maxSuccesses {
			g.current[key] = struct{}{}
		}
	}
}

// Recent returns the scopes in which a run of the request succeeded recently.
func (g *SuccessTracker) Recent(now time.Time, a RequestContent) RecentSuccess {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rotate(now)
	var s RecentSuccess
	keys := g.keys(a)
	for i, key := range keys[:g.scopeCount()] {
		_, lately := g.current[key]
		_, before := g.previous[key]
		s[i] = lately || before
	}
	return s
}

// rotate starts a new set of hashes once the current one is successRetention old; g.mu is held.
func (g *SuccessTracker) rotate(now time.Time) {
	if g.seed == (maphash.Seed{}) {
		g.seed = maphash.MakeSeed()
	}
	switch age := now.Sub(g.currentStart); {
	case age >= 2*successRetention:
		g.previous = nil
	case age >= successRetention:
		g.previous = g.current
	default:
		return
	}
	g.current, g.currentStart = make(map[uint64]struct{}), now
}

// keys returns a hash per remembered scope, seeded at random so that nobody outside this process can predict it.
func (g *SuccessTracker) keys(a RequestContent) [ScopeCount]uint64 {
	var keys [ScopeCount]uint64
	scopes := a.scopes()
	for i, l := range scopes[:g.scopeCount()] {
		keys[i] = g.key(a, l, byte(i))
	}
	return keys
}

// scopeCount returns the number of scopes that are remembered, of which Exact is the first.
func (g *SuccessTracker) scopeCount() int {
	if g.ExactOnly {
		return Exact + 1
	}
	return ScopeCount
}

// key returns the hash in one scope.
func (g *SuccessTracker) key(a RequestContent, l scope, index byte) uint64 {
	var h maphash.Hash
	h.SetSeed(g.seed)
	_ = h.WriteByte(index) // as below
	for _, part := range []string{a.Service, a.Method, a.Host, l.uri, l.caller} {
		_, _ = h.WriteString(part) // a hash takes all bytes
		_ = h.WriteByte(0)
	}
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(a.Length))
	_, _ = h.Write(length[:])
	_, _ = h.Write(a.Body)
	return h.Sum64()
}
