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

// callTime is the longest time for one request to a daemon.
const callTime = 20 * time.Second

// Client asks one of several daemons; any of them can serve most requests.
type Client struct {
	Daemons []string // IP:port of operators' listeners, tried in order
	HTTP    *http.Client
}

// New makes a client with an operator's keys.
func New(daemons []string, k *keys.Store) *Client {
	return &Client{Daemons: daemons, HTTP: &http.Client{
		Timeout: callTime,
		Transport: &http.Transport{
			TLSClientConfig:   k.ClientConfig([]string{"h2", "http/1.1"}, ""),
			ForceAttemptHTTP2: true,
		},
	}}
}

// UnreachableError reports that no daemon could be asked; nothing was sent to any.
type UnreachableError struct {
	Daemons []string
	Last    error
}

// Error names the daemons and the last cause.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("no daemon of %v can be reached: %v", e.Daemons, e.Last)
}

// Unwrap returns the last cause.
func (e *UnreachableError) Unwrap() error { return e.Last }

// LostResponseError reports that a daemon was asked and its answer was lost.
type LostResponseError struct {
	Daemon string
	Cause  error
}

// Error names the daemon and the cause.
func (e *LostResponseError) Error() string {
	return fmt.Sprintf("the answer of %s was lost: %v", e.Daemon, e.Cause)
}

// Unwrap returns the cause.
func (e *LostResponseError) Unwrap() error { return e.Cause }

// do asks the daemons in turn until one takes the request. Only a request that was certainly not sent
// goes to the next one. The error is an *UnreachableError, a *LostResponseError or an *operator.Problem.
func (c *Client) do(ctx context.Context, method, path string, in, out any) error {
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
		err := c.ask(ctx, d, method, path, body, out)
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

func (c *Client) ask(ctx context.Context, daemon, method, path string, body []byte, out any) error {
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
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return &LostResponseError{daemon, err}
	}
	if resp.StatusCode != http.StatusOK {
		p := &operator.Problem{Kind: operator.ProblemFailed, Msg: fmt.Sprintf("%s answered status %d: %s", daemon, resp.StatusCode, data)}
		_ = json.Unmarshal(data, p) // what isn't a problem in JSON stays as text
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
	return doc, c.do(ctx, http.MethodGet, operator.PathConfig, nil, &doc)
}

// Version returns one version from the platform's table.
func (c *Client) Version(ctx context.Context, v int64) (doc config.Document, err error) {
	return doc, c.do(ctx, http.MethodGet, operator.PathConfig+"/versions/"+strconv.FormatInt(v, 10), nil, &doc)
}

// Change makes a change.
func (c *Client) Change(ctx context.Context, ch config.Change) (a operator.Accepted, err error) {
	return a, c.do(ctx, http.MethodPost, operator.PathChanges, ch, &a)
}

// Settle tells what became of a change.
func (c *Client) Settle(ctx context.Context, id string) (a operator.Accepted, err error) {
	return a, c.do(ctx, http.MethodGet, operator.PathChanges+"/"+url.PathEscape(id), nil, &a)
}

// Preview tells what a change would do.
func (c *Client) Preview(ctx context.Context, ch config.Change) (p operator.Previewed, err error) {
	return p, c.do(ctx, http.MethodPost, operator.PathPreview, ch, &p)
}

// Versions tells which daemons have the version in force.
func (c *Client) Versions(ctx context.Context, want int64) (r node.VersionReport, err error) {
	return r, c.do(ctx, http.MethodGet, operator.PathVersions+"?want="+strconv.FormatInt(want, 10), nil, &r)
}

// Status returns the daemon's short account.
func (c *Client) Status(ctx context.Context) (s node.Status, err error) {
	return s, c.do(ctx, http.MethodGet, operator.PathStatus, nil, &s)
}

// Dump returns the daemon's state.
func (c *Client) Dump(ctx context.Context) (d node.Dump, err error) {
	return d, c.do(ctx, http.MethodGet, operator.PathDump, nil, &d)
}

// History returns the newest versions, the newest first.
func (c *Client) History(ctx context.Context, most int) (list []config.Document, err error) {
	return list, c.do(ctx, http.MethodGet, operator.PathHistory+"?most="+strconv.Itoa(most), nil, &list)
}

// Explain tells how a request would be treated.
func (c *Client) Explain(ctx context.Context, m config.Match) (e node.Explanation, err error) {
	q := url.Values{"host": {m.Host}, "method": {m.Method}, "path": {m.Path}}
	return e, c.do(ctx, http.MethodGet, operator.PathExplain+"?"+q.Encode(), nil, &e)
}

// Leave makes the asked daemon leave.
func (c *Client) Leave(ctx context.Context) (s node.Status, err error) {
	return s, c.do(ctx, http.MethodPost, operator.PathLeave, struct{}{}, &s)
}

// Release gives a lost VM's key ranges to others; the asked daemon must be of the same service.
func (c *Client) Release(ctx context.Context, vm string) (r operator.Released, err error) {
	return r, c.do(ctx, http.MethodPost, operator.PathRelease, operator.ReleaseRequest{VM: vm}, &r)
}

// Metrics returns the daemon's metrics in the text form.
func (c *Client) Metrics(ctx context.Context) (text []byte, err error) {
	return text, c.do(ctx, http.MethodGet, operator.PathMetrics, nil, &text)
}
