package mesh

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/rockspoke/rockspoke/pkg/httpconn"
)

// maxShortMessage bounds the body of a short request or response between nodes, in bytes.
const maxShortMessage = 4 << 10

// NodeResponseError reports a response of another node with a status other than 200.
type NodeResponseError struct {
	Host   string
	Path   string
	Status int
}

// Error returns the node, the path of the request and the status.
func (e *NodeResponseError) Error() string {
	return fmt.Sprintf("node %s: %s answered %d", e.Host, e.Path, e.Status)
}

// queryNode sends a short request to another node and decodes its response into resBody, within the timeout.
func (n *Node) queryNode(ctx context.Context, host, path string, timeout time.Duration, reqBody, resBody any) error {
	return n.queryNodeSince(ctx, time.Time{}, host, path, timeout, reqBody, resBody)
}

// queryNodeSince does the same on a connection that has received data since the given time, or on a new one.
func (n *Node) queryNodeSince(ctx context.Context, since time.Time, host, path string, timeout time.Duration, reqBody, resBody any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	body, err := pack(reqBody)
	if err != nil {
		return err
	}
	p := n.peer(host)
	res, err := p.post(ctx, since, path, body)
	if err != nil {
		// Back off only an unreachable node: one that is busy for a moment can still serve requests.
		if isUnsent(err) && ctx.Err() == nil && p.backOff(n.clock.Now()) {
			n.controlLog.Warn("peer does not respond", "peer", host, "path", path, "err", err)
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
	return unpack(data, resBody)
}

// expectedMessageTime is the time within which the response to a message is expected (httpconn.Request.ExpectedResponseTime): nodes answer without waiting for
// anything. Without it messages on unresponsive connections would fail one after the other.
const expectedMessageTime = 100 * time.Millisecond

// post sends a message to the peer on a connection that has received data since the given time, or on a new one.
func (p *peer) post(ctx context.Context, since time.Time, path string, body []byte) (*httpconn.Response, error) {
	return p.pool.Do(ctx, &httpconn.Request{
		Method: http.MethodPost, URI: path, Host: p.host, Header: http.Header{}, Body: body, ReceivedSince: since, ExpectedResponseTime: expectedMessageTime,
	})
}

// readAndClose reads at most maxBytes of a body and closes it.
func readAndClose(body io.ReadCloser, maxBytes int64) ([]byte, error) {
	defer body.Close() // a failed read has reported the error
	return io.ReadAll(io.LimitReader(body, maxBytes))
}

// readNodeRequest decodes another node's request of at most maxBytes into reqBody. It answers 400 and returns false if the request is unreadable
// or not valid.
func (n *Node) readNodeRequest(w http.ResponseWriter, r *http.Request, maxBytes int64, reqBody any, valid func() bool) bool {
	data, err := readAndClose(r.Body, maxBytes)
	if err == nil {
		err = unpack(data, reqBody)
	}
	if err == nil && valid() {
		return true
	}
	n.controlLog.Warn("invalid request from node", "peer", r.RemoteAddr, "path", r.URL.Path, "err", err)
	http.Error(w, "not a question", http.StatusBadRequest)
	return false
}

// writeNodeResponse encodes and writes the response to another node's request.
func (n *Node) writeNodeResponse(w http.ResponseWriter, resBody any) {
	body, err := pack(resBody)
	if err == nil {
		w.Header()["Content-Type"] = nil
		w.Header()["Date"] = nil
		_, err = w.Write(body)
	}
	if err != nil {
		n.controlLog.Debug("response to node interrupted", "err", err)
	}
}
