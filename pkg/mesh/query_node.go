package mesh

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/rockspoke/rockspoke/pkg/httpconn"
)

// maxShortMessage bounds the answer to a short question in bytes.
const maxShortMessage = 4 << 10

// NodeResponseError reports an answer of another node that isn't one.
type NodeResponseError struct {
	Host   string
	Path   string
	Status int
}

// Error names the node, what it was asked and its status.
func (e *NodeResponseError) Error() string {
	return fmt.Sprintf("node %s: %s answered %d", e.Host, e.Path, e.Status)
}

// queryNode asks another node a short question and reads its answer.
func (n *Node) queryNode(ctx context.Context, host, path string, span time.Duration, question, answer any) error {
	return n.queryNodeSince(ctx, time.Time{}, host, path, span, question, answer)
}

// queryNodeSince asks on a connection that was heard since a time, or a new one.
func (n *Node) queryNodeSince(ctx context.Context, since time.Time, host, path string, span time.Duration, question, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, span)
	defer cancel()
	body, err := pack(question)
	if err != nil {
		return err
	}
	p := n.peer(host)
	res, err := p.post(ctx, since, path, body)
	if err != nil {
		// Only what can't be reached at all is set aside: a node that is busy for a moment can serve requests all the same.
		if unsent(err) && ctx.Err() == nil && p.backOff(n.clock.Now()) {
			n.controlLog.Warn("peer doesn't answer", "peer", host, "path", path, "err", err)
		}
		return err
	}
	data, err := readAndClose(res.Body, maxShortMessage)
	if err != nil {
		return err
	}
	if res.Status != http.StatusOK {
		return &NodeResponseError{host, path, res.Status}
	}
	p.markReachable()
	return unpack(data, answer)
}

// expectedMessageTime is in which time the answer to a message can be expected, as httpconn counts it: nodes answer each other without waiting for
// anything. Without it the messages on connections that have gone silent would fail one after the other.
const expectedMessageTime = 100 * time.Millisecond

// post sends a message to the peer, on a connection that was heard since a time, or a new one.
func (p *peer) post(ctx context.Context, since time.Time, path string, body []byte) (*httpconn.Response, error) {
	return p.pool.Do(ctx, &httpconn.Request{
		Method: http.MethodPost, URI: path, Host: p.host, Header: http.Header{}, Body: body, HeardSince: since, Patience: expectedMessageTime,
	})
}

// readAndClose reads a body up to a bound, and closes it.
func readAndClose(body io.ReadCloser, most int64) ([]byte, error) {
	defer body.Close() // it was read, or the error says why not
	return io.ReadAll(io.LimitReader(body, most))
}

// readNodeRequest reads what another node asks; one that can't be read, or isn't sound, is refused.
func (n *Node) readNodeRequest(w http.ResponseWriter, r *http.Request, most int64, question any, sound func() bool) bool {
	data, err := readAndClose(r.Body, most)
	if err == nil {
		err = unpack(data, question)
	}
	if err == nil && sound() {
		return true
	}
	n.controlLog.Warn("question can't be read", "peer", r.RemoteAddr, "path", r.URL.Path, "err", err)
	http.Error(w, "not a question", http.StatusBadRequest)
	return false
}

// writeNodeResponse answers such a question.
func (n *Node) writeNodeResponse(w http.ResponseWriter, answer any) {
	body, err := pack(answer)
	if err == nil {
		w.Header()["Content-Type"] = nil
		w.Header()["Date"] = nil
		_, err = w.Write(body)
	}
	if err != nil {
		n.controlLog.Debug("answer to a node broke off", "err", err)
	}
}
