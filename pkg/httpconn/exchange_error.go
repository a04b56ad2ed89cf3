package httpconn

import (
	"fmt"
	"net/http"
)

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

// InvalidStatusError reports an answer whose status is below 100, or is 101 without a request to switch protocols.
type InvalidStatusError struct{ Status int }

// Error returns a message with the status.
func (e *InvalidStatusError) Error() string {
	return fmt.Sprintf("status %03d is neither that of an answer nor of an interim one", e.Status)
}

// CheckStatus returns an *InvalidStatusError for a status that no answer to a request without an Upgrade may have. RFC 9110
// also calls those from 600 invalid, but has clients take them for server errors, so they are passed on.
func CheckStatus(status int) error {
	if status < http.StatusContinue || status == http.StatusSwitchingProtocols {
		return &InvalidStatusError{status}
	}
	return nil
}
