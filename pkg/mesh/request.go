package mesh

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rockspoke/rockspoke/pkg/budget"
	"github.com/rockspoke/rockspoke/pkg/desired"
	"github.com/rockspoke/rockspoke/pkg/loads"
)

// request is one attempt of a client, or a call of a backend server, that this node handles.
type request struct {
	peerCall
	fromPeer       bool // another node sent it
	id             string
	method         string
	uri            string
	host           string
	header         http.Header // end-to-end headers
	body           []byte
	stream         io.Reader // a body too long to buffer; it can be sent once
	streamHead     []byte    // buffered start of stream
	streamLength   int64     // of stream in bytes; -1 if unknown
	reader         *bodyReader
	unread         bool        // nothing of stream has been read yet, and streamHead isn't known
	bodyMoved      atomic.Bool // some of stream may have been sent
	sending        atomic.Bool // stream is being sent, or was; it is read until an error
	heldBytes      int64       // counted in the node's bodyBytes
	heldAnswers    int64       // bytes of all answers to it so far, counted in the node's answerBytes
	deadline       time.Time   // latest time for the answer
	cachedIdentity lazyIdentity
	team           *desired.Team // nil: the request belongs to no team
	knownLimit     knownLimit
	reserve        budget.Reserve // of a call: what its request still needs after it
	// clientDeadline is when the client gives up; the route's timeout may set an earlier deadline.
	clientDeadline time.Time
}

// teamPriority returns the priority of the request's team, or 0 if it has none.
func (q *request) teamPriority() int {
	if q.team == nil {
		return 0
	}
	return q.team.Priority
}

// kind returns the name of the request's kind, under which it is counted and planned for.
func (q *request) kind() string { return loads.Kind(q.Route, q.teamPriority()) }

// bodyError reports a request body that can't be read, with the HTTP status to answer.
type bodyError struct {
	status int
	cause  error
}

// Error returns the cause.
func (e *bodyError) Error() string { return "cannot read request body: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *bodyError) Unwrap() error { return e.cause }

// readBody buffers a short body and leaves a long one as a stream; that of another node may be left unread. maxBytes bounds the declared length, 0 for no bound.
// The error is a *bodyError.
func (q *request) readBody(n *Node, w http.ResponseWriter, r *http.Request, maxBytes int64) error {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return nil
	}
	if maxBytes > 0 && r.ContentLength > maxBytes {
		return &bodyError{http.StatusRequestEntityTooLarge, http.ErrBodyNotAllowed}
	}
	q.reader = &bodyReader{n: n, q: q, body: r.Body, control: http.NewResponseController(w)}
	if q.fromPeer && q.deferBody(r) {
		return nil
	}
	return q.readHead(r.ContentLength)
}

// hopHeaders apply to a single connection and aren't forwarded.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// endToEndHeaders returns a copy of the headers without hop-by-hop headers and without those that are reserved for nodes.
func endToEndHeaders(h http.Header) http.Header {
	out := make(http.Header, len(h))
	for k, v := range h {
		out[k] = v
	}
	return dropHopHeaders(out)
}

// dropHopHeaders removes hop-by-hop headers and those that are reserved for nodes, and returns the header.
func dropHopHeaders(out http.Header) http.Header {
	for _, named := range out["Connection"] {
		for f := range strings.SplitSeq(named, ",") {
			out.Del(strings.TrimSpace(f))
		}
	}
	for _, k := range hopHeaders {
		delete(out, k)
	}
	dropNodeHeaders(out)
	return out
}

// parseMillis parses a header's number of milliseconds; it returns 0 if the value isn't a positive number.
func parseMillis(v string) time.Duration {
	n, err := strconv.ParseInt(v, 10, 64)
	if err != nil || n <= 0 {
		return 0
	}
	return time.Duration(n) * time.Millisecond
}
