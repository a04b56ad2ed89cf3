package node

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"github.com/rockspoke/rockspoke/pkg/keys"
	"github.com/rockspoke/rockspoke/pkg/metric"
	"github.com/rockspoke/rockspoke/pkg/routing"
	"github.com/rockspoke/rockspoke/pkg/wire"
)

// Limits of connections between daemons.
const (
	peerIdleTimeout      = 20 * time.Second
	peerHandshakeTimeout = 2 * time.Second
	peerDialTimeout      = 3 * time.Second
	// maxControlBytes limits the size of a control message.
	maxControlBytes = 16 << 20
)

// DialError reports that no connection to a peer was made, so nothing was sent.
type DialError struct {
	VM    string
	Cause error
}

// Error names the VM and the cause.
func (e *DialError) Error() string { return fmt.Sprintf("no connection to %s: %v", e.VM, e.Cause) }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Cause }

// ControlError reports a control message that a peer answered with an error status.
type ControlError struct {
	VM     string
	Status int
}

// Error names the VM and the status.
func (e *ControlError) Error() string { return fmt.Sprintf("%s answered status %d", e.VM, e.Status) }

// peerClients holds one connection to each peer. It sends every request exactly once, without the HTTP library's retries,
// since only the caller can decide whether a retry is safe.
type peerClients struct {
	quic    *quic.Transport
	http    *http3.Transport
	keys    *keys.Store
	config  *quic.Config
	metrics *metric.Set

	mu    sync.Mutex
	conns map[string]*peerConn
	done  bool
}

// peerConn is a connection, or one being made that others wait for.
type peerConn struct {
	ready  chan struct{}
	conn   *quic.Conn
	client *http3.ClientConn
	err    error
}

// newPeerClients returns clients that share the transport's socket.
func newPeerClients(t *quic.Transport, k *keys.Store, cfg *quic.Config, m *metric.Set) *peerClients {
	return &peerClients{
		quic: t, http: &http3.Transport{MaxResponseHeaderBytes: maxAnswerHeaderBytes}, keys: k, config: cfg, metrics: m,
		conns: map[string]*peerConn{},
	}
}

// get returns the connection to the VM's daemon and makes it if there is none; the error is a *DialError.
func (p *peerClients) get(ctx context.Context, vm, addr string) (*peerConn, error) {
	key := vm + "@" + addr
	p.mu.Lock()
	c, ok := p.conns[key]
	if ok && c.broken() {
		ok = false
	}
	if !ok {
		if p.done {
			p.mu.Unlock()
			return nil, &DialError{vm, net.ErrClosed}
		}
		c = &peerConn{ready: make(chan struct{})}
		p.conns[key] = c
		go p.dial(c, key, vm, addr)
	}
	p.mu.Unlock()
	select {
	case <-c.ready:
	case <-ctx.Done():
		return nil, &DialError{vm, ctx.Err()}
	}
	if c.err != nil {
		return nil, &DialError{vm, c.err}
	}
	return c, nil
}

// broken tells whether the connection failed or was closed; it is false while the connection is being made.
func (c *peerConn) broken() bool {
	select {
	case <-c.ready:
	default:
		return false
	}
	return c.err != nil || c.conn.Context().Err() != nil
}

// dial makes the connection c and closes c.ready when it is made or has failed.
func (p *peerClients) dial(c *peerConn, key, vm, addr string) {
	defer close(c.ready)
	ctx, cancel := context.WithTimeout(context.Background(), peerDialTimeout)
	defer cancel()
	var ap netip.AddrPort
	ap, c.err = netip.ParseAddrPort(addr)
	if c.err == nil {
		c.conn, c.err = p.quic.Dial(ctx, net.UDPAddrFromAddrPort(ap), p.keys.ClientConfig([]string{http3.NextProtoH3}, vm), p.config)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.err != nil {
		delete(p.conns, key)
		return
	}
	if p.done {
		_ = c.conn.CloseWithError(0, "daemon stops") // nothing was sent on it
		c.err = net.ErrClosed
		return
	}
	c.client = p.http.NewClientConn(c.conn)
}

// close closes every connection and the socket.
func (p *peerClients) close() {
	p.mu.Lock()
	p.done = true
	conns := p.conns
	p.conns = map[string]*peerConn{}
	p.mu.Unlock()
	for _, c := range conns {
		select {
		case <-c.ready:
			if c.err == nil {
				_ = c.conn.CloseWithError(0, "daemon stops") // the peer detects the closing either way
			}
		default:
		}
	}
	_ = p.quic.Close() // the next line closes the socket
	_ = p.quic.Conn.Close()
}

// count returns the number of connections.
func (p *peerClients) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns)
}

// call sends a call to a server's daemon once and returns its answer, or one for a call that wasn't sent or whose answer
// was lost.
func (p *peerClients) call(ctx context.Context, srv *routing.Server, call wire.Call, q *request) *answer {
	c, err := p.get(ctx, srv.VM, srv.Peer)
	if err != nil {
		return notRunAnswer(wire.ReasonNoServer, 0).withCause(err)
	}
	req, err := http.NewRequestWithContext(ctx, q.method, "https://"+srv.Peer+q.uri, bytes.NewReader(q.body))
	if err != nil {
		return notRunAnswer(wire.ReasonBadRequest, 0).withCause(err)
	}
	req.Host = q.host
	req.Header = q.header.Clone()
	wire.EncodeCall(req.Header, call)
	resp, err := c.client.RoundTrip(req)
	if err != nil {
		return unknownAnswer(wire.ReasonAnswerLost).withCause(err)
	}
	meta, err := wire.DecodeAnswer(resp.Header)
	if err != nil {
		_ = resp.Body.Close() // not a daemon's answer
		return unknownAnswer(wire.ReasonAnswerLost).withCause(err)
	}
	a := &answer{meta: meta, header: resp.Header, fromDaemon: true}
	if meta.Outcome == wire.Ran {
		a.status = resp.StatusCode
	}
	wire.StripInternal(a.header)
	if err := a.readBody(resp.Body); err != nil {
		return unknownAnswer(wire.ReasonAnswerLost).withCause(err)
	}
	return a
}

// control sends a control message and decodes the reply into out. The error is a *DialError if nothing was sent, a
// *ControlError if the peer answered with an error status.
func (p *peerClients) control(ctx context.Context, vm, addr, path string, in, out any) error {
	c, err := p.get(ctx, vm, addr)
	if err != nil {
		return err
	}
	body := marshal(in)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "https://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := c.client.RoundTrip(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxControlBytes))
	if err != nil {
		return err
	}
	p.metrics.Add("control_bytes", int64(len(body)+len(data)))
	if resp.StatusCode != http.StatusOK {
		return &ControlError{vm, resp.StatusCode}
	}
	return json.Unmarshal(data, out)
}

// cancelReader cancels the context of a streamed answer when it is closed.
type cancelReader struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close closes the stream and cancels its context.
func (r *cancelReader) Close() error {
	defer r.cancel()
	return r.ReadCloser.Close()
}
