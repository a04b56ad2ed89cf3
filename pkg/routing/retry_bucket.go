package routing

import "sync"

// retryBurst is the capacity of a server's retry bucket: the retries allowed at once after a time without any.
const retryBurst = 10

// retryBucket is a token bucket that limits the retries to one server to a fraction of its first attempts; it starts full.
type retryBucket struct {
	mu     sync.Mutex
	filled bool
	tokens float64
}

// EarnRetry records a first attempt, which adds share (a fraction of a token) to the server's retry bucket.
func (s *Server) EarnRetry(share float64) {
	s.retries.mu.Lock()
	defer s.retries.mu.Unlock()
	s.retries.fillOnce()
	s.retries.tokens = min(s.retries.tokens+share, retryBurst)
}

// TakeRetry takes one token from the server's retry bucket; it returns false if there is none.
func (s *Server) TakeRetry() bool {
	s.retries.mu.Lock()
	defer s.retries.mu.Unlock()
	s.retries.fillOnce()
	if s.retries.tokens < 1 {
		return false
	}
	s.retries.tokens--
	return true
}

// fillOnce fills the bucket before its first use.
func (b *retryBucket) fillOnce() {
	if !b.filled {
		b.filled = true
		b.tokens = retryBurst
	}
}
