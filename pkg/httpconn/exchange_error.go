package httpconn

import "fmt"

// ErrorKind says how far an exchange came before it failed.
type ErrorKind uint8

// The kinds of error.
const (
	NotConnected ErrorKind = iota + 1 // no connection was established: nothing was sent
	NoAnswer                          // the request was sent, at least in part, and no answer arrived
	BrokenAnswer                      // the received bytes are no valid answer, or only part of one
	Canceled                          // the context ended after the request was sent
	BrokenBody                        // the request's Stream failed or ended early, before an answer arrived
)

// Error reports an exchange without a complete answer.
type Error struct {
	Kind  ErrorKind
	Cause error
}

// Error returns a message with the kind and the cause.
func (e *Error) Error() string {
	kind := [...]string{"", "not connected", "no answer", "broken answer", "canceled", "broken request body"}[e.Kind]
	return fmt.Sprintf("%s: %v", kind, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }
