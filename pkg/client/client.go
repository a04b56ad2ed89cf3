package client

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/rockspoke/rockspoke/pkg/config"
	"github.com/rockspoke/rockspoke/pkg/keys"
	"github.com/rockspoke/rockspoke/pkg/node"
	"github.com/rockspoke/rockspoke/pkg/operator"
)

// Limits of one request to a daemon.
const (
	requestTimeout = 20 * time.Second
	// maxResponseBytes bounds the body of a response; the state of a daemon with thousands of services fits.
	maxResponseBytes = 64 << 20
)

// Client sends each request to the first daemon that it can reach; any daemon can serve most requests.
type Client struct {
	Daemons []string // IP:port of the operators' listeners, tried in order
	HTTP    *http.Client
}

// New returns a client of the daemons that authenticates with an operator's keys.
func New(daemons []string, k *keys.Store) *Client {
	return &Client{Daemons: daemons, HTTP: &http.Client{
		Timeout: requestTimeout,
		Transport: &http.Transport{
			TLSClientConfig:   k.ClientConfig([]string{"h2", "http/1.1"}, ""),
			ForceAttemptHTTP2: true,
		},
	}}
}

// UnreachableError reports that no daemon could be reached; no request was sent.
type UnreachableError struct {
	Daemons []string
	Last    error
}

// Error returns the daemons and the last cause.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("no daemon of %v can be reached: %v", e.Daemons, e.Last)
}

// Unwrap returns the last cause.
func (e *UnreachableError) Unwrap() error { return e.Last }

// LostResponseError reports that a request may have been sent to a daemon and no complete response was received.
type LostResponseError struct {
	Daemon string
	Cause  error
}

// Error returns the daemon and the cause.
func (e *LostResponseError) Error() string {
	return fmt.Sprintf("the answer of %s was lost: %v", e.Daemon, e.Cause)
}

// Unwrap returns the cause.
func (e *LostResponseError) Unwrap() error { return e.Cause }

// request sends in as JSON to the first daemon that can be reached and decodes the response into out; a nil in sends
// no body. It tries the next daemon only if the request was certainly not sent, since a daemon that received a change
// may have made it. Failures of the request are an *UnreachableError, a *LostResponseError or an *operator.Problem.
func (c *Client) request(ctx context.Context, method, path string, in, out any) error {
	var body []byte
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return err
		}
		body = b
	}
	var last error
	for _, d := range c.Daemons {
		err := c.sendTo(ctx, d, method, path, body, out)
		var op *net.OpError
		var cert *tls.CertificateVerificationError
		if errors.As(err, &op) && op.Op == "dial" || errors.As(err, &cert) {
			last = err
			var lost *LostResponseError
			if errors.As(err, &lost) {
				last = lost.Cause
			}
			continue
		}
		return err
	}
	return &UnreachableError{c.Daemons, last}
}

// sendTo sends one request to one daemon and decodes the response into out, which is a *[]byte for the raw body.
func (c *Client) sendTo(ctx context.Context, daemon, method, path string, body []byte, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, "https://"+daemon+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return &LostResponseError{daemon, err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(http.MaxBytesReader(nil, resp.Body, maxResponseBytes))
	if err != nil {
		return &LostResponseError{daemon, err}
	}
	if resp.StatusCode != http.StatusOK {
		p := &operator.Problem{Kind: operator.ProblemFailed, Msg: fmt.Sprintf("%s answered status %d: %s", daemon, resp.StatusCode, data)}
		_ = json.Unmarshal(data, p) // a body that isn't a Problem in JSON stays in Msg as text
		return p
	}
	if raw, ok := out.(*[]byte); ok {
		*raw = data
		return nil
	}
	return json.Unmarshal(data, out)
}

// Config returns the configuration in force at the daemon.
func (c *Client) Config(ctx context.Context) (doc config.Document, err error) {
	return doc, c.request(ctx, http.MethodGet, operator.PathConfig, nil, &doc)
}

// Version returns one version from the platform's table.
func (c *Client) Version(ctx context.Context, v int64) (doc config.Document, err error) {
	return doc, c.request(ctx, http.MethodGet, operator.PathConfig+"/versions/"+strconv.FormatInt(v, 10), nil, &doc)
}

// Change requests a change and returns the version as which it was accepted.
func (c *Client) Change(ctx context.Context, ch config.Change) (a operator.Accepted, err error) {
	return a, c.request(ctx, http.MethodPost, operator.PathChanges, ch, &a)
}

// Settle returns the version as which a change was accepted, or version 0 if it isn't in the table.
func (c *Client) Settle(ctx context.Context, id string) (a operator.Accepted, err error) {
	return a, c.request(ctx, http.MethodGet, operator.PathChanges+"/"+url.PathEscape(id), nil, &a)
}

// Preview returns the effects that a change would have.
func (c *Client) Preview(ctx context.Context, ch config.Change) (p operator.Previewed, err error) {
	return p, c.request(ctx, http.MethodPost, operator.PathPreview, ch, &p)
}

// Versions reports which daemons have the version want or a newer one in force, which have an older one and which do not respond.
func (c *Client) Versions(ctx context.Context, want int64) (r node.VersionReport, err error) {
	return r, c.request(ctx, http.MethodGet, operator.PathVersions+"?want="+strconv.FormatInt(want, 10), nil, &r)
}

// Status returns a summary of the daemon's state.
func (c *Client) Status(ctx context.Context) (s node.Status, err error) {
	return s, c.request(ctx, http.MethodGet, operator.PathStatus, nil, &s)
}

// Dump returns the daemon's full state.
func (c *Client) Dump(ctx context.Context) (d node.Dump, err error) {
	return d, c.request(ctx, http.MethodGet, operator.PathDump, nil, &d)
}

// History returns at most the given number of versions of the configuration, the newest first.
func (c *Client) History(ctx context.Context, most int) (list []config.Document, err error) {
	return list, c.request(ctx, http.MethodGet, operator.PathHistory+"?most="+strconv.Itoa(most), nil, &list)
}

// Explain returns the routing and the policies that a request would get, with the reasons.
func (c *Client) Explain(ctx context.Context, m config.Match) (e node.Explanation, err error) {
	q := url.Values{"host": {m.Host}, "method": {m.Method}, "path": {m.Path}}
	return e, c.request(ctx, http.MethodGet, operator.PathExplain+"?"+q.Encode(), nil, &e)
}

// Leave makes the daemon leave and returns its status.
func (c *Client) Leave(ctx context.Context) (s node.Status, err error) {
	return s, c.request(ctx, http.MethodPost, operator.PathLeave, struct{}{}, &s)
}

// Release gives the key ranges of a lost VM to other nodes; the daemon must belong to the same service as the VM.
func (c *Client) Release(ctx context.Context, vm string) (r operator.Released, err error) {
	return r, c.request(ctx, http.MethodPost, operator.PathRelease, operator.ReleaseRequest{VM: vm}, &r)
}

// Metrics returns the daemon's metrics in the text format.
func (c *Client) Metrics(ctx context.Context) (text []byte, err error) {
	return text, c.request(ctx, http.MethodGet, operator.PathMetrics, nil, &text)
}
