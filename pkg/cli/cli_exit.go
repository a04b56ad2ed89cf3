package cli

import (
	"errors"
	"fmt"

	"github.com/rockspoke/rockspoke/pkg/client"
	"github.com/rockspoke/rockspoke/pkg/config"
	"github.com/rockspoke/rockspoke/pkg/keys"
	"github.com/rockspoke/rockspoke/pkg/operator"
)

// The exit statuses of rockspoke.
const (
	ExitOK          = 0
	ExitFailed      = 1 // rejected or failed; nothing was changed
	ExitUsage       = 2 // invalid flags, arguments or files
	ExitRace        = 3 // another operator's change came first; nothing was changed
	ExitUnknown     = 4 // it isn't known whether the change was accepted
	ExitUnreachable = 5 // no daemon could be reached
)

// UsageError reports invalid flags, arguments or files of a command.
type UsageError struct{ Msg string }

// Error returns the message.
func (e *UsageError) Error() string { return e.Msg }

// usagef returns a UsageError with a formatted message.
func usagef(format string, args ...any) error { return &UsageError{fmt.Sprintf(format, args...)} }

// UnknownOutcomeError reports a change that may or may not have been accepted.
type UnknownOutcomeError struct {
	ID    string
	Cause error
}

// Error returns the change's id and the cause.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("it is unknown whether change %s was accepted: %v", e.ID, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// NotInForceError reports a change that was accepted but isn't in force at every daemon yet.
type NotInForceError struct {
	Version      int64
	Behind       int // number of daemons with an older version
	Unresponsive int // number of daemons that did not respond
}

// Error returns the version and the numbers of daemons that are behind or unresponsive.
func (e *NotInForceError) Error() string {
	return fmt.Sprintf("version %d is accepted; %d daemons are behind and %d didn't answer", e.Version, e.Behind, e.Unresponsive)
}

// exitStatus returns the exit status for the error of a command.
func exitStatus(err error) int {
	var (
		usage       *UsageError
		unknown     *UnknownOutcomeError
		unreachable *client.UnreachableError
		problem     *operator.Problem
		invalid     *config.InvalidError
		file        *keys.FileError
	)
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &unknown):
		return ExitUnknown
	case errors.As(err, &usage), errors.As(err, &invalid), errors.As(err, &file):
		return ExitUsage
	case errors.As(err, &unreachable):
		return ExitUnreachable
	case errors.As(err, &problem) && problem.Kind == operator.ProblemRace:
		return ExitRace
	default:
		return ExitFailed
	}
}

// hintFor returns what the operator can do about err, or "".
func hintFor(err error) string {
	var (
		unknown     *UnknownOutcomeError
		unreachable *client.UnreachableError
		lost        *client.LostResponseError
		problem     *operator.Problem
		notYet      *NotInForceError
	)
	switch {
	case errors.As(err, &unknown):
		return "Ask again later with: rockspoke history --change " + unknown.ID
	case errors.As(err, &notYet):
		return "See which with: rockspoke status --all"
	case errors.As(err, &unreachable):
		return "Name other daemons with --daemon IP:PORT[,IP:PORT...]."
	case errors.As(err, &lost):
		return "Nothing was changed by this query; ask again."
	case errors.As(err, &problem):
		return hintForProblem(problem)
	}
	return ""
}

// hintForProblem returns what the operator can do about a problem that a daemon reported, or "".
func hintForProblem(p *operator.Problem) string {
	switch p.Kind {
	case operator.ProblemRace:
		return fmt.Sprintf("Look at it with: rockspoke diff --to %d, and make your change again.", p.Version)
	case operator.ProblemPlatform:
		return "Nothing was changed; ask again when the platform's table is back."
	case operator.ProblemForbidden:
		return "Use a read-write operator's --cert and --key."
	case operator.ProblemNotFound:
		return "List what there is with: rockspoke get service|route|class|policy|vm"
	}
	return ""
}
