package mesh

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rockspoke/rockspoke/pkg/desired"
	"github.com/rockspoke/rockspoke/pkg/loads"
)

// request is one attempt of a client, or a call of a backend server, on its way through this node.
type request struct {
	peerCall
	id             string
	method         string
	uri            string
	host           string
	header         http.Header // end-to-end headers
	body           []byte
	stream         io.Reader // a body too long to be held; it can be sent once
	streamHead     []byte    // the first part of stream
	streamLength   int64     // of stream; -1 if it isn't known
	deadline       time.Time // when the answer is due at the latest
	cachedIdentity lazyIdentity
	team           *desired.Team // whose request it is; nil: nobody's
	// clientDeadline is when the client gives up; the route may set an earlier deadline.
	clientDeadline time.Time
}

// teamPriority returns the priority of the team whose request it is.
func (q *request) teamPriority() int {
	if q.team == nil {
		return 0
	}
	return q.team.Priority
}

// kind returns under which name the request is counted and planned for.
func (q *request) kind() string { return loads.Kind(q.Route, q.teamPriority()) }

// bodyError says why a body can't be read.
type bodyError struct {
	status int
	cause  error
}

// Error names the cause.
func (e *bodyError) Error() string { return "body can't be read: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *bodyError) Unwrap() error { return e.cause }

// readBody takes a short body whole and leaves a long one to be streamed.
func (q *request) readBody(r *http.Request, most int64) error {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return nil
	}
	if most > 0 && r.ContentLength > most {
		return &bodyError{http.StatusRequestEntityTooLarge, http.ErrBodyNotAllowed}
	}
	head, err := io.ReadAll(io.LimitReader(r.Body, bufferedBody+1))
	if err != nil {
		return &bodyError{http.StatusBadRequest, err}
	}
	if len(head) <= bufferedBody {
		q.body = head
		return nil
	}
	q.streamHead = head
	q.streamLength = r.ContentLength
	q.stream = io.MultiReader(bytes.NewReader(head), r.Body)
	return nil
}

// hopHeaders concern one connection only.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// endToEndHeaders returns the headers without those of one connection and those of the nodes.
func endToEndHeaders(h http.Header) http.Header {
	out := make(http.Header, len(h))
	for k, v := range h {
		out[k] = v
	}
	for _, named := range h["Connection"] {
		for f := range strings.SplitSeq(named, ",") {
			out.Del(strings.TrimSpace(f))
		}
	}
	for _, k := range hopHeaders {
		delete(out, k)
	}
	delete(out, headerCall)
	delete(out, headerReply)
	return out
}

// parseMillis returns a header's number of milliseconds, or 0.
func parseMillis(v string) time.Duration {
	n, err := strconv.ParseInt(v, 10, 64)
	if err != nil || n <= 0 {
		return 0
	}
	return time.Duration(n) * time.Millisecond
}
