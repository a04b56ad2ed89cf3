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

// inProgressPath is where nodes ask which of their requests another has.
const inProgressPath = "/in-progress"

const (
	// heardLately is how long ago a connection may have been heard at the most to carry a request of which an attempt was lost: the others may
	// have gone silent together with that attempt's.
	heardLately = 100 * time.Millisecond
	// inProgressTime bounds such a question.
	inProgressTime = 250 * time.Millisecond
	// maxInProgress bounds it in bytes: MostAsked ids, each of which may be as long as a header line usually may.
	maxInProgress = awaited.MaxQueried * (8 << 10)
)

// inProgressQuestion asks which of some requests, by their attempt ids, a node doesn't have.
type inProgressQuestion struct {
	IDs []string `codec:"i"`
}

// inProgressAnswer names those that it doesn't have.
type inProgressAnswer struct {
	Missing []string `codec:"m"`
}

// errNotThere ends the wait for the answer of a node that doesn't have the request.
var errNotThere = errors.New("the peer doesn't have the request")

// exchange sends the request to a peer, which usually takes so long, and reads the header of its answer. The wait ends with errNotThere
// when the peer is found not to have the request. Once-only work is never given up so: whether it ran wouldn't be known any better.
func (d *delivery) exchange(ctx context.Context, p *peer, usual time.Duration, req *httpconn.Request) (*httpconn.Response, error) {
	if d.q.Once || d.q.stream != nil || d.n.off[settings.Silence] {
		return p.pool.Do(ctx, req)
	}
	waiting, giveUp := context.WithCancelCause(ctx)
	r := &awaited.Request{
		ID: d.q.id, Sent: d.n.clock.Now(), QueryAfter: silentLeast + silentHolds*usual, Abort: func() { giveUp(errNotThere) },
	}
	p.awaited.Add(r)
	res, err := p.pool.Do(waiting, req)
	p.awaited.Remove(r) // it isn't given up after that
	if !errors.Is(context.Cause(waiting), errNotThere) {
		return res, err
	}
	if err == nil {
		_ = res.Body.Close() // its rest can't be read any more
	}
	return nil, errNotThere
}

// askForAwaited asks peers for the requests that take much longer than usual.
func (n *Node) askForAwaited(ctx context.Context, now time.Time) {
	n.peersMu.Lock()
	defer n.peersMu.Unlock()
	for _, p := range n.peers {
		if asked := p.awaited.StartQuery(now); len(asked) > 0 {
			n.running.Go(func() { n.askFor(ctx, p, asked) })
		}
	}
}

// askFor asks a peer for requests, on a connection that was heard after the first of them was sent, or a new one.
func (n *Node) askFor(ctx context.Context, p *peer, asked []*awaited.Request) {
	var q inProgressQuestion
	for _, r := range asked {
		q.IDs = append(q.IDs, r.ID)
	}
	var a inProgressAnswer
	if err := n.askNodeSince(ctx, asked[0].Sent, p.host, inProgressPath, inProgressTime, &q, &a); err != nil {
		n.controlLog.Debug("requests in progress not told", "peer", p.host, "err", err)
		a.Missing = nil // nothing is known: they wait on
	}
	for _, r := range p.awaited.FinishQuery(n.clock.Now(), asked, a.Missing) {
		n.metrics.count("requests_lost_total")
		n.callLog.Warn("connection went silent", "peer", p.host, "request", r.ID, "waited_ms", n.clock.Now().Sub(r.Sent).Milliseconds())
		p.pool.DropRested(r.Sent)
	}
}

// serveInProgress tells another node which of its requests aren't here.
func (n *Node) serveInProgress(w http.ResponseWriter, r *http.Request) {
	var q inProgressQuestion
	if n.readQuestion(w, r, maxInProgress, &q, func() bool { return len(q.IDs) <= awaited.MaxQueried }) {
		n.answerNode(w, inProgressAnswer{Missing: n.present.Missing(q.IDs)})
	}
}
