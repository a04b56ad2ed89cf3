package mesh

import (
	"math/rand/v2"
	"time"
)

// randomSource draws from a function that is safe for concurrent use; its zero value draws from the global source.
type randomSource struct{ next func() uint64 }

// Uint64 returns a random number.
func (s randomSource) Uint64() uint64 {
	if s.next == nil {
		return rand.Uint64()
	}
	return s.next()
}

// globalRandom draws from the global source.
var globalRandom = rand.New(randomSource{})

// orGlobal returns the source, or the global one for nil.
func orGlobal(r *rand.Rand) *rand.Rand {
	if r == nil {
		return globalRandom
	}
	return r
}

// rnd returns the node's source of random numbers.
func (n *Node) rnd() *rand.Rand { return orGlobal(n.random) }

// jitter returns a random duration in [d/2, 3d/2), so that nodes don't act in step.
func (n *Node) jitter(d time.Duration) time.Duration { return d/2 + n.randomDuration(d) }

// randomDuration returns a random duration in [0, d); d must be above 0.
func (n *Node) randomDuration(d time.Duration) time.Duration {
	return time.Duration(n.rnd().Int64N(int64(d)))
}
