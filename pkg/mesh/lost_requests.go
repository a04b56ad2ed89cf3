package mesh

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/rockspoke/rockspoke/pkg/awaited"
	"github.com/rockspoke/rockspoke/pkg/httpconn"
	"github.com/rockspoke/rockspoke/pkg/settings"
)

// inProgressPath is where nodes query which of their requests another node has in progress.
const inProgressPath = "/in-progress"

const (
	// lostAttemptWindow is how recently a connection must have received data to carry a request of which an attempt was
	// lost. The other connections may have become unresponsive together with that attempt's.
	lostAttemptWindow = 100 * time.Millisecond
	// inProgressTimeout bounds such a query.
	inProgressTimeout = 250 * time.Millisecond
	// maxInProgressBytes bounds the query: awaited.MaxQueried ids, each of which may be as long as a header line usually may.
	maxInProgressBytes = awaited.MaxQueried * (8 << 10)
)

// inProgressQuery queries a node which of the requests, by attempt id, it doesn't have.
type inProgressQuery struct {
	IDs []string `codec:"i"`
}

// inProgressResponse lists the requests that the node doesn't have.
type inProgressResponse struct {
	Missing []string `codec:"m"`
}

// errRequestMissing ends the wait for the answer of a node that doesn't have the request.
var errRequestMissing = errors.New("the peer doesn't have the request")

// roundTrip sends the request to a peer and returns the response with its headers read; usual is the usual time until
// then. The wait ends with errRequestMissing when the peer turns out not to have the request. Once-only work is never
// given up this way, since that wouldn't make it any clearer whether it ran.
func (d *delivery) roundTrip(ctx context.Context, p *peer, usual time.Duration, req *httpconn.Request) (*httpconn.Response, error) {
	if d.q.Once || d.q.stream != nil || d.n.off[settings.UnresponsivePeers] {
		return p.pool.Do(ctx, req)
	}
	req.Aborter = &httpconn.Aborter{}
	r := &awaited.Request{
		ID: d.q.id, Sent: d.n.clock.Now(), QueryAfter: minUnresponsiveTime + unresponsiveHoldFactor*usual, Abort: req.Aborter.Abort,
	}
	p.awaited.Add(r)
	res, err := p.pool.Do(ctx, req)
	p.awaited.Remove(r) // from here on it isn't given up
	if !req.Aborter.Aborted() {
		return res, err
	}
	if err == nil {
		_ = res.Body.Close() // the connection was interrupted
	}
	return nil, errRequestMissing
}

// queryOverdueRequests queries the peers about the requests that take much longer than usual.
func (n *Node) queryOverdueRequests(ctx context.Context, now time.Time, peers []*peer) {
	for _, p := range peers {
		if overdue := p.awaited.StartQuery(now); len(overdue) > 0 {
			n.running.Go(func() { n.queryInProgress(ctx, p, overdue) })
		}
	}
}

// queryInProgress queries a peer about requests, on a connection that received data after the first of them was sent,
// or a new one.
func (n *Node) queryInProgress(ctx context.Context, p *peer, overdue []*awaited.Request) {
	var q inProgressQuery
	for _, r := range overdue {
		q.IDs = append(q.IDs, r.ID)
	}
	var a inProgressResponse
	if err := n.queryNodeSince(ctx, overdue[0].Sent, p.host, inProgressPath, inProgressTimeout, &q, &a); err != nil {
		n.controlLog.Debug("in-progress query failed", "peer", p.host, "err", err)
		a.Missing = nil // unknown, so the requests keep waiting
	}
	for _, r := range p.awaited.FinishQuery(n.clock.Now(), overdue, a.Missing) {
		n.metrics.count("requests_lost_total")
		n.callLog.Warn("request lost on an unresponsive connection", "peer", p.host, "request", r.ID, "waited_ms", n.clock.Now().Sub(r.Sent).Milliseconds())
		p.pool.CloseIdleBefore(r.Sent)
	}
}

// serveInProgress answers another node's query with those of its requests that this node doesn't have.
func (n *Node) serveInProgress(w http.ResponseWriter, r *http.Request) {
	var q inProgressQuery
	if n.readNodeRequest(w, r, maxInProgressBytes, &q, func() bool { return len(q.IDs) <= awaited.MaxQueried }) {
		n.writeNodeResponse(w, inProgressResponse{Missing: n.peerRequests.Missing(q.IDs)})
	}
}
