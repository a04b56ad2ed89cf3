package mesh

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/rockspoke/rockspoke/pkg/advertised"
	"github.com/rockspoke/rockspoke/pkg/clock"
	"github.com/rockspoke/rockspoke/pkg/desired"
	"github.com/rockspoke/rockspoke/pkg/directory"
	"github.com/rockspoke/rockspoke/pkg/loads"
	"github.com/rockspoke/rockspoke/pkg/settings"
)

// HeaderNames are the headers that clients, nodes and backend servers use.
type HeaderNames struct {
	AttemptID string // identifies one attempt of a client
	TimeLeft  string // milliseconds for which the caller will still wait
	Instance  string // the lifetime of the backend server that is addressed
	NotRun    string // set by a backend server that rejects a request without running it
	Caller    string // the service of the VM where the request began
	Key       string // a client's key, after KeyScheme and a space
	KeyScheme string
	Team      string // the team of the key, for the backend server
	// Advertised are the headers in which a backend server says something of itself.
	Advertised advertised.Names
}

// Store is what a node uses of the platform's store. Each call gets its deadline from the context.
type Store struct {
	// ReadState returns the newest desired state as it was written, nil if there is none, and the cursor from which to
	// follow changes.
	ReadState func(ctx context.Context) (data []byte, next Cursor, err error)
	// FollowState waits for a change after the cursor, for at most the given time; data is nil if there was none in time. The error
	// is a *HistoryGoneError if the state must be read again.
	FollowState func(ctx context.Context, after Cursor, wait time.Duration) (data []byte, next Cursor, err error)
	// Epoch returns the newest store epoch in any answer so far; nil: the store has no epochs.
	Epoch func() int64
	// ReadRecords returns the records of VMs and what was learned about the runs of each service. It reads the given parts
	// concurrently, or all of them if none is given.
	ReadRecords func(ctx context.Context, parts ...int) (Stored, error)
	// RecordParts is the number of parts over which records are spread by a hash; reading one part is one call.
	RecordParts int
	// WriteRecord stores this VM's record. No other VM writes it, so writing it twice is harmless.
	WriteRecord func(ctx context.Context, r directory.Record) error
	// WriteLearned stores what was learned about the runs of one service; any node of the service may write it.
	WriteLearned func(ctx context.Context, l loads.Learned) error
	// WriteQuarantined replaces the stored quarantined requests of one service.
	WriteQuarantined func(ctx context.Context, h Quarantined) error
}

// Cursor is a position in the store's history. Versions of different epochs can't be compared: a store restored from a copy
// assigns the versions that it lost again.
type Cursor struct {
	Epoch   int64
	Version int64
}

// Stored is the content of the store's records.
type Stored struct {
	Records     []directory.Record
	Learned     []loads.Learned
	Quarantined []Quarantined
	// Unreadable has an error for each row that isn't a node's or can't be decoded; the other rows are valid.
	Unreadable []error
}

// HistoryGoneError reports that the store no longer has the changes after a cursor.
type HistoryGoneError struct{ After Cursor }

// Error returns a fixed message without the cursor.
func (e *HistoryGoneError) Error() string { return "the store's history is gone" }

// Options configure a new Node.
type Options struct {
	Settings settings.Settings
	Names    HeaderNames
	Store    Store
	// Decode decodes a desired state; the error names the invalid field.
	Decode func(data []byte) (*desired.State, error)
	// Control returns the handler of the backend server's registrations and of the readiness check.
	Control func(n *Node) http.Handler
	Clock   clock.Clock
	Network Network
	// Random returns random numbers and is safe for concurrent use; nil: the global source.
	Random func() uint64
	Logger func(part string) *slog.Logger
}

// Limits of connections.
const (
	// dialTimeout bounds dialing another node. Zones are about a millisecond apart, and a lost SYN packet is sent again
	// after a second at the earliest.
	dialTimeout = 350 * time.Millisecond
	// backendDialTimeout bounds dialing on this VM.
	backendDialTimeout = time.Second
	// keepAliveIdle, keepAliveInterval, keepAliveCount and unackedTimeout detect a dead connection within about a second, so that
	// requests don't wait out a network cut.
	keepAliveIdle     = 400 * time.Millisecond
	keepAliveInterval = 300 * time.Millisecond
	keepAliveCount    = 2
	unackedTimeout    = time.Second
	// maxBufferedBody is the largest body that is buffered, in bytes: a buffered body can be sent again, and a broken one is detected
	// before any of it is passed on.
	maxBufferedBody = 128 << 10
	// defaultTimeLeft is the time limit of requests for which neither the client nor the route sets one.
	defaultTimeLeft = 30 * time.Second
)
