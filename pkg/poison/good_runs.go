package poison

import (
	"encoding/binary"
	"hash/maphash"
	"sync"
	"time"
)

// The bounds of GoodRuns.
const (
	// goodMemory is for how long a run that ended well is remembered at the least, twice that at the most.
	goodMemory = 5 * time.Second
	// maxGoodRuns bounds the likenesses of requests that are remembered in that time, some 16 bytes each.
	maxGoodRuns = 8192
)

// SuccessTracker remembers which requests have ended well at one server of late: when that ends, such a request is hardly to blame. Its zero value is empty and
// works. It is safe for concurrent use.
type SuccessTracker struct {
	mu              sync.Mutex
	seed            maphash.Seed // the zero one until something is noted
	current, before map[uint64]struct{}
	since           time.Time // when current began
}

// RecentSuccess tells by which likenesses a request has ended well of late.
type RecentSuccess [ScopeCount]bool

// RecordSuccess notes that a run of a request has ended well.
func (g *SuccessTracker) RecordSuccess(now time.Time, a RequestContent) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.turn(now)
	for _, key := range g.keys(a) {
		if len(g.current) < maxGoodRuns {
			g.current[key] = struct{}{}
		}
	}
}

// Recent tells whether runs of a request have ended well of late.
func (g *SuccessTracker) Recent(now time.Time, a RequestContent) RecentSuccess {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.turn(now)
	var s RecentSuccess
	for i, key := range g.keys(a) {
		_, lately := g.current[key]
		_, before := g.before[key]
		s[i] = lately || before
	}
	return s
}

// turn begins a new stretch of time once the present one is long enough; g.mu is held.
func (g *SuccessTracker) turn(now time.Time) {
	if g.seed == (maphash.Seed{}) {
		g.seed = maphash.MakeSeed()
	}
	switch age := now.Sub(g.since); {
	case age >= 2*goodMemory:
		g.before = nil
	case age >= goodMemory:
		g.before = g.current
	default:
		return
	}
	g.current, g.since = make(map[uint64]struct{}), now
}

// keys returns the request's likenesses by hashes that nobody outside this process can foresee.
func (g *SuccessTracker) keys(a RequestContent) [ScopeCount]uint64 {
	var keys [ScopeCount]uint64
	for i, l := range a.likenesses() {
		keys[i] = g.key(a, l, byte(i))
	}
	return keys
}

// key returns the hash by one likeness.
func (g *SuccessTracker) key(a RequestContent, l likeness, index byte) uint64 {
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
