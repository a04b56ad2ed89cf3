package mesh

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/rockspoke/rockspoke/pkg/httpconn"
)

// maxShortAnswer bounds the answer to a short question in bytes.
const maxShortAnswer = 4 << 10

// NodeAnswerError reports an answer of another node that isn't one.
type NodeAnswerError struct {
	Host   string
	Path   string
	Status int
}

// Error names the node, what it was asked and its status.
func (e *NodeAnswerError) Error() string {
	return fmt.Sprintf("node %s: %s answered %d", e.Host, e.Path, e.Status)
}

// askNode asks another node a short question and reads its answer.
func (n *Node) askNode(ctx context.Context, host, path string, span time.Duration, question, answer any) error {
	return n.askNodeSince(ctx, time.Time{}, host, path, span, question, answer)
}

// askNodeSince asks on a connection that was heard since a time, or a new one.
func (n *Node) askNodeSince(ctx context.Context, since time.Time, host, path string, span time.Duration, question, answer any) error {
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
		if unsent(err) && ctx.Err() == nil && p.failed(n.clock.Now()) {
			n.controlLog.Warn("peer does not respond", "peer", host, "path", path, "err", err)
		}
		return err
	}
	data, err := readAll(res.Body, maxShortAnswer)
	if err != nil {
		return err
	}
	if res.Status != http.StatusOK {
		return &NodeAnswerError{host, path, res.Status}
	}
	p.answered()
	return unpack(data, answer)
}

// messagePatience is in which time the answer to a message can be expected, as httpconn counts it: nodes answer each other without waiting for
// anything. Without it the messages on connections that have gone silent would fail one after the other.
const messagePatience = 100 * time.Millisecond

// post sends a message to the peer, on a connection that was heard since a time, or a new one.
func (p *peer) post(ctx context.Context, since time.Time, path string, body []byte) (*httpconn.Response, error) {
	return p.pool.Do(ctx, &httpconn.Request{
		Method: http.MethodPost, URI: path, Host: p.host, Header: http.Header{}, Body: body, HeardSince: since, Patience: messagePatience,
	})
}

// readAll reads a body up to a bound, and closes it.
func readAll(body io.ReadCloser, most int64) ([]byte, error) {
	defer body.Close() // it was read, or the error says why not
	return io.ReadAll(io.LimitReader(body, most))
}

// readQuestion reads what another node asks; one that can't be read, or isn't sound, is refused.
func (n *Node) readQuestion(w http.ResponseWriter, r *http.Request, most int64, question any, sound func() bool) bool {
	data, err := readAll(r.Body, most)
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

// answerNode answers such a question.
func (n *Node) answerNode(w http.ResponseWriter, answer any) {
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
