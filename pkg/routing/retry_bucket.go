package routing

import "sync"

// retryBurst is how many retries a target takes at once after a quiet time.
const retryBurst = 10

// retryBucket caps retries to one target at a share of its fresh calls.
type retryBucket struct {
	mu     sync.Mutex
	filled bool
	level  float64
}

// EarnRetry notes a first attempt, which earns share of a retry.
func (s *Server) EarnRetry(share float64) {
	s.tokens.mu.Lock()
	defer s.tokens.mu.Unlock()
	s.tokens.fill()
	s.tokens.level = min(s.tokens.level+share, retryBurst)
}

// TakeRetry takes one retry out of the target's bucket; it reports false when the bucket is empty.
func (s *Server) TakeRetry() bool {
	s.tokens.mu.Lock()
	defer s.tokens.mu.Unlock()
	s.tokens.fill()
	if s.tokens.level < 1 {
		return false
	}
	s.tokens.level--
	return true
}

func (b *retryBucket) fill() {
	if !b.filled {
		b.filled = true
		b.level = retryBurst
	}
}
