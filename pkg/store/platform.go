package store

import (
	"context"
	"fmt"

	"github.com/rockspoke/rockspoke/pkg/member"
)

// Platform is what the system needs of the users' platform.
type Platform struct {
	// Read returns the rows of the keys that exist.
	Read func(ctx context.Context, keys []string) (map[string]Row, error)
	// Commit makes all of the writes, or none if a check fails.
	Commit func(ctx context.Context, tx Tx) error
	// PutObject stores an object whole.
	PutObject func(ctx context.Context, name string, data []byte) error
	// GetObject returns an object, or a *RefusedError if there is none.
	GetObject func(ctx context.Context, name string) ([]byte, error)
	// ListVMs returns the VMs that the platform believes to be there.
	ListVMs func(ctx context.Context) ([]member.VM, error)
}

// Row is one row of the table.
type Row struct {
	Value   []byte `json:"value"`
	Version int64  `json:"version"` // 1 at the first write, then one more at each
}

// Tx is a transaction: every check must hold for the writes to be made.
type Tx struct {
	Checks []Check `json:"checks"`
	Writes []Write `json:"writes"`
}

// Check demands that a row has the version; 0 demands that there is none.
type Check struct {
	Key     string `json:"key"`
	Version int64  `json:"version"`
}

// Write sets a row.
type Write struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

// ConflictError reports a check that failed: nothing was written.
type ConflictError struct {
	Key  string
	Want int64
	Have int64
}

// Error names the row and both versions.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("row %s has version %d, not %d", e.Key, e.Have, e.Want)
}

// RefusedError reports a call that certainly had no effect.
type RefusedError struct{ Reason string }

// Error gives the platform's reason.
func (e *RefusedError) Error() string { return "platform refused: " + e.Reason }

// UnknownError reports a call whose answer was lost: it may have had its effect.
type UnknownError struct{ Cause error }

// Error gives the cause.
func (e *UnknownError) Error() string { return "platform's answer was lost: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Cause }
