package mesh

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/rockspoke/rockspoke/pkg/clock"
	"github.com/rockspoke/rockspoke/pkg/desired"
	"github.com/rockspoke/rockspoke/pkg/directory"
	"github.com/rockspoke/rockspoke/pkg/loads"
	"github.com/rockspoke/rockspoke/pkg/settings"
)

// HeaderNames are the headers that clients, nodes and backend servers use.
type HeaderNames struct {
	AttemptID string // identity of one attempt of a client
	TimeLeft  string // milliseconds that the caller will still wait
	Instance  string // the start of the backend server that is meant
	NotRun    string // set by a backend server that refuses
	Caller    string // the service beside which the request began
	Key       string // a client's key, behind the word KeyScheme and a blank
	KeyScheme string
	Team      string // the team that the key belongs to, for the backend server
}

// Store is what a node needs of the platform's store. Each call has its deadline from the context.
type Store struct {
	// ReadState returns the newest desired state as it was written, nil if there is none, and from where changes are to
	// be followed.
	ReadState func(ctx context.Context) (data []byte, next Cursor, err error)
	// FollowState waits for a change after the cursor; data is nil if there was none in time. The error
	// is a *HistoryGoneError if the state must be read again.
	FollowState func(ctx context.Context, after Cursor) (data []byte, next Cursor, err error)
	// Era returns the newest era of the store that any answer told; nil: the store has no eras.
	Era func() int64
	// ReadRecords returns the records of VMs, and what was learned of the runs of each service, from the given parts, at
	// once, or from all where none is given.
	ReadRecords func(ctx context.Context, parts ...int) (Stored, error)
	// RecordParts is how many parts they are spread over by a hash; reading one is one call.
	RecordParts int
	// WriteRecord stores this VM's record. Nobody else writes it, so doing it twice does no harm.
	WriteRecord func(ctx context.Context, r directory.Record) error
	// WriteLearned stores what was learned of the runs of one service; any of its nodes may write it.
	WriteLearned func(ctx context.Context, l loads.Learned) error
	// WriteHeld stores what is held back of the requests for one service, in place of what was stored before.
	WriteHeld func(ctx context.Context, h Quarantined) error
}

// Cursor is a place in the store's history. Versions of different eras say nothing of each other: a store that came back from a
// copy gives out those that it has lost again.
type Cursor struct {
	Era     int64
	Version int64
}

// Stored is what the store keeps for nodes.
type Stored struct {
	Records []directory.Record
	Learned []loads.Learned
	Held    []Quarantined
	// Unread tells which rows aren't a node's, or can't be read; the others hold.
	Unread []error
}

// HistoryGoneError reports that the store doesn't know what changed since a cursor.
type HistoryGoneError struct{ After Cursor }

// Error says so.
func (e *HistoryGoneError) Error() string { return "the store's history is gone" }

// Options are what a Node is made of.
type Options struct {
	Settings settings.Settings
	Names    HeaderNames
	Store    Store
	// Decode reads a desired state; the error names the field.
	Decode func(data []byte) (*desired.State, error)
	// Control returns the handler for the backend server's registrations and for the readiness check.
	Control func(n *Node) http.Handler
	Clock   clock.Clock
	Network Network
	Logger  func(part string) *slog.Logger
}

// The bounds of connections and waits.
const (
	// dialTime bounds the making of a connection between nodes: zones are about a millisecond apart, and
	// a lost opening packet is sent again after a second at the earliest.
	dialTime = 350 * time.Millisecond
	// backendDialTime bounds the making of a connection on this VM.
	backendDialTime = time.Second
	// probeAfter, probeEvery, probeCount and unackedTime find a dead connection within about a second, so that a cut
	// isn't waited out.
	probeAfter  = 400 * time.Millisecond
	probeEvery  = 300 * time.Millisecond
	probeCount  = 2
	unackedTime = time.Second
	// bufferedBody is the largest body that is held whole, so that it can be sent again, or found broken
	// before any of it is passed on.
	bufferedBody = 128 << 10
	// defaultTimeLeft is used where neither the client nor the route says how long a request may take.
	defaultTimeLeft = 30 * time.Second
)
