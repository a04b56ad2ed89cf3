package node

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"github.com/rockspoke/rockspoke/pkg/keys"
	"github.com/rockspoke/rockspoke/pkg/onceonly"
	"github.com/rockspoke/rockspoke/pkg/wire"
)

// The paths of control messages between daemons. A request with a call header is a call, whatever its path.
const (
	pathExchange = "/.rockspoke/exchange"
	pathSettle   = "/.rockspoke/settle"
	pathHandover = "/.rockspoke/handover"
	// The messages of a handover in which the memory follows the change of the row.
	pathAnnounce    = "/.rockspoke/handover/announce"
	pathTransfer    = "/.rockspoke/handover/transfer"
	pathLateRecords = "/.rockspoke/handover/late"
	pathRetryNotes  = "/.rockspoke/repeats"
	pathVMs         = "/.rockspoke/vms"
)

// startPeers binds the peer socket, which both serves other daemons and connects to them.
func (n *Node) startPeers() error {
	conn, err := n.network.ListenPacket(n.cfg.Listen.Peers)
	if err != nil {
		return fmt.Errorf("listen.peers: %w", err)
	}
	// The reset key is the same in every incarnation of this VM's daemon, so that peers detect at once that the
	// connections to the previous one are closed.
	reset := quic.StatelessResetKey(sha256.Sum256(append([]byte("reset/"+n.cfg.VM+"/"), n.keys.Current().Secret...)))
	transport := &quic.Transport{Conn: conn, StatelessResetKey: &reset}
	cfg := &quic.Config{
		MaxIdleTimeout: peerIdleTimeout, HandshakeIdleTimeout: peerHandshakeTimeout,
		MaxIncomingStreams: n.cfg.Limits.Streams,
	}
	n.peers = newPeerClients(transport, n.keys, cfg, n.metrics)
	ln, err := transport.ListenEarly(n.keys.ServerConfig([]string{http3.NextProtoH3}, keys.RoleVM), cfg)
	if err != nil {
		_ = conn.Close() // the listen error matters more
		return fmt.Errorf("listen.peers: %w", err)
	}
	n.peerHTTP = &http3.Server{Handler: http.HandlerFunc(n.servePeer), MaxHeaderBytes: n.cfg.Limits.HeaderBytes + 8<<10}
	go func() {
		err := n.peerHTTP.ServeListener(ln)
		if err != nil && n.ctx.Err() == nil {
			n.log.peer.Error("peer listener ended", "err", err)
		}
	}()
	return nil
}

// servePeer handles a request from another daemon: a call or a control message.
func (n *Node) servePeer(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get(wire.HeaderCall) != "" {
		n.servePeerCall(w, r)
		return
	}
	if n.unknownMessage != nil && n.unknownMessage(r.URL.Path) {
		http.NotFound(w, r)
		return
	}
	switch r.URL.Path {
	case pathExchange:
		serveControl(n, w, r, func(in exchange) (exchange, error) { return n.handleExchange(r.Context(), in) })
	case pathSettle:
		serveControl(n, w, r, func(in settleRequest) (settleReply, error) { return n.settleKey(r.Context(), in), nil })
	case pathHandover:
		serveControl(n, w, r, n.handleHandover)
	case pathAnnounce:
		serveControl(n, w, r, n.handleAnnounce)
	case pathTransfer:
		serveControl(n, w, r, func(in onceonly.Handover) (handoverReply, error) { return n.handleTransfer(r.Context(), in) })
	case pathLateRecords:
		serveControl(n, w, r, n.handleLateRecords)
	case pathRetryNotes:
		serveControl(n, w, r, n.handleRetryNotes)
	case pathVMs:
		serveControl(n, w, r, func(struct{}) (vmList, error) { return n.localVMList(r.Context()) })
	default:
		http.Error(w, "no such control message", http.StatusNotFound)
	}
}

// serveControl decodes a control message, passes it to handle and writes the reply.
func serveControl[In, Out any](n *Node, w http.ResponseWriter, r *http.Request, handle func(In) (Out, error)) {
	var in In
	data, err := io.ReadAll(io.LimitReader(r.Body, maxControlBytes))
	if err == nil {
		err = json.Unmarshal(data, &in)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	out, err := handle(in)
	if err != nil {
		n.log.peer.Warn("control message rejected", "path", r.URL.Path, "err", err)
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	body := marshal(out)
	n.metrics.Add("control_bytes", int64(len(data)+len(body)))
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body) // a peer that disconnected sends its message again
}

// servePeerCall handles a call from another daemon.
func (n *Node) servePeerCall(w http.ResponseWriter, r *http.Request) {
	n.metrics.Inc("peer_calls")
	arrived := n.clock.Now()
	call, err := wire.DecodeCall(r.Header)
	if err != nil {
		n.log.peer.Warn("invalid call header", "err", err)
		n.writePeerAnswer(w, notRunAnswer(wire.ReasonBadRequest, 0), call.RetryTokens)
		return
	}
	q, err := readRequest(r, n.cfg.Limits.RequestBytes)
	if err != nil {
		n.writePeerAnswer(w, notRunAnswer(wire.ReasonBadRequest, 0), call.RetryTokens)
		return
	}
	n.running.Add(1)
	defer n.running.Add(-1)
	deadline := arrived.Add(call.Remaining())
	ctx, cancel := context.WithTimeout(r.Context(), deadline.Sub(n.clock.Now()))
	defer cancel()
	in := n.newInbound(ctx, call, deadline)
	var a *answer
	if call.Key != "" && !call.Delegated {
		a = n.serveHome(ctx, in, q)
	} else {
		a = n.runTargeted(ctx, in, q)
	}
	defer a.discardRest()
	tokens := 0
	if !in.detached {
		tokens = n.endInbound(in)
	}
	n.metrics.Observe("call_time", n.clock.Now().Sub(arrived).Microseconds())
	n.writePeerAnswer(w, a, tokens)
}

// writePeerAnswer sends the answer to another daemon, with this node's state and the retry tokens to return.
func (n *Node) writePeerAnswer(w http.ResponseWriter, a *answer, tokens int) {
	n.addNodeState(a, tokens)
	wire.EncodeAnswer(w.Header(), a.meta)
	a.writeTo(w)
}

// HandoverError reports a hand-over of key ranges that was refused or couldn't be completed.
type HandoverError struct{ Reason string }

// Error gives the reason.
func (e *HandoverError) Error() string { return "hand-over refused: " + e.Reason }
