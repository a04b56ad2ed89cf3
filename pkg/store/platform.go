package store

import (
	"context"
	"fmt"

	"github.com/rockspoke/rockspoke/pkg/member"
)

// Platform holds the functions that the system needs of the users' platform.
type Platform struct {
	// Read returns the rows of those keys that exist.
	Read func(ctx context.Context, keys []string) (map[string]Row, error)
	// Commit makes all of the writes, or none and returns a *ConflictError if a check fails.
	Commit func(ctx context.Context, tx Tx) error
	// PutObject stores an object atomically.
	PutObject func(ctx context.Context, name string, data []byte) error
	// GetObject returns an object's data, or a *RefusedError if it doesn't exist.
	GetObject func(ctx context.Context, name string) ([]byte, error)
	// ListVMs returns the VMs that exist according to the platform.
	ListVMs func(ctx context.Context) ([]member.VM, error)
}

// Row is one row of the table.
type Row struct {
	Value   []byte `json:"value"`
	Version int64  `json:"version"` // 1 after the first write, increased by one with each further write
}

// Tx is a transaction: the writes are made only if every check holds.
type Tx struct {
	Checks []Check `json:"checks"`
	Writes []Write `json:"writes"`
}

// Check requires that a row has the version, or doesn't exist if the version is 0.
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

// RefusedError reports a call that is known to have had no effect.
type RefusedError struct{ Reason string }

// Error gives the platform's reason.
func (e *RefusedError) Error() string { return "platform refused: " + e.Reason }

// UnknownError reports a call whose response was lost, and which may have taken effect.
type UnknownError struct{ Cause error }

// Error gives the cause.
func (e *UnknownError) Error() string { return "platform's response was lost: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Cause }
