package httpconn

import (
	"fmt"
	"io"
	"math"
)

// maxHeaderBytes bounds the status line and headers of an answer, with those of the interim answers before it. Trailers and the framing of
// chunks are bounded by net/http.
const maxHeaderBytes = 64 << 10

// HeaderTooLongError reports an answer whose header doesn't end within Limit bytes.
type HeaderTooLongError struct{ Limit int }

// Error returns a message with the limit.
func (e *HeaderTooLongError) Error() string {
	return fmt.Sprintf("the header of the answer doesn't end within %d bytes", e.Limit)
}

// headerLimiter bounds the bytes that are read from a connection for a header. Its zero value, with r set, reads without a bound.
type headerLimiter struct {
	r       io.Reader
	limited bool
	left    int
}

// begin starts the bound for a header.
func (l *headerLimiter) begin() { l.limited, l.left = true, maxHeaderBytes }

// end lifts the bound.
func (l *headerLimiter) end() { l.limited = false }

// Read reads up to len(p) bytes; the error is a *HeaderTooLongError if the bound was reached before.
func (l *headerLimiter) Read(p []byte) (int, error) {
	most := math.MaxInt
	if l.limited {
		most = l.left
	}
	if most == 0 {
		return 0, &HeaderTooLongError{Limit: maxHeaderBytes}
	}
	n, err := l.r.Read(p[:min(len(p), most)])
	l.left -= n
	return n, err
}
