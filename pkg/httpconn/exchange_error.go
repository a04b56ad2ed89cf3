package httpconn

import "fmt"

// ErrorKind says how far an exchange came.
type ErrorKind uint8

// The kinds of error.
const (
	NotConnected ErrorKind = iota + 1 // no connection was made: nothing was sent
	NoAnswer                          // the request was sent, in whole or part, and no answer came
	BrokenAnswer                      // what came is no answer, or only part of one
	Canceled                          // the context ended after the request was sent
)

// Error reports an exchange that gave no whole answer.
type Error struct {
	Kind  ErrorKind
	Cause error
}

// Error names how far the exchange came, and the cause.
func (e *Error) Error() string {
	kind := [...]string{"", "not connected", "no answer", "broken answer", "canceled"}[e.Kind]
	return fmt.Sprintf("%s: %v", kind, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }
