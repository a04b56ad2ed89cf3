package mesh

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/ugorji/go/codec"

	"github.com/rockspoke/rockspoke/pkg/directory"
	"github.com/rockspoke/rockspoke/pkg/httpconn"
)

// exchangePath is where nodes talk to each other about control state.
const exchangePath = "/exchange"

// The bounds of exchanges.
const (
	nearFanout = 2 // peers of the own availability zone that are told at a time
	// farTalkEvery is how many times the own availability zone is told for each time that any peer is:
	// bytes between zones are paid for.
	farTalkEvery = 2
	// talkLeast is the time between exchanges of a small mesh; it grows with the number of nodes, so that
	// the work of a node stays the same.
	talkLeast = 300 * time.Millisecond
	talkNodes = 24 // nodes up to which talkLeast holds
	// talkTime bounds one exchange.
	talkTime = 800 * time.Millisecond
	// maxMessage bounds a message in bytes: a desired state of thousands of routes fits.
	maxMessage = 8 << 20
)

// message is what two nodes tell each other.
type message struct {
	From     string             `codec:"f"`
	Version  int64              `codec:"v"` // desired state in force
	Stopping bool               `codec:"x,omitempty"`
	Records  []directory.Record `codec:"r,omitempty"`
	Reports  []loadReport       `codec:"l,omitempty"`
	State    []byte             `codec:"s,omitempty"` // desired state, for a peer that has an older one
}

// wireFormat is msgpack with structs as arrays: exchanges between availability zones are paid by the byte.
var wireFormat = func() *codec.MsgpackHandle {
	h := &codec.MsgpackHandle{WriteExt: true}
	h.StructToArray = true
	return h
}()

func encodeMessage(m message) ([]byte, error) {
	var b []byte
	err := codec.NewEncoderBytes(&b, wireFormat).Encode(m)
	return b, err
}

func decodeMessage(data []byte) (message, error) {
	var m message
	err := codec.NewDecoderBytes(data, wireFormat).Decode(&m)
	return m, err
}

func (n *Node) talkPeriod() time.Duration {
	nodes := len(n.control.directory.All())
	return talkLeast * time.Duration(max(nodes, talkNodes)) / talkNodes
}

// talk exchanges with some peers taken at random.
func (n *Node) talk(ctx context.Context) {
	hosts := n.talkTargets(nearFanout, false)
	if rand.IntN(farTalkEvery) == 0 {
		hosts = append(hosts, n.talkTargets(1, true)...)
	}
	n.tell(ctx, hosts)
}

// tell exchanges with the given peers.
func (n *Node) tell(ctx context.Context, hosts []string) {
	if len(hosts) == 0 {
		return
	}
	body, err := encodeMessage(n.newMessage(-1))
	if err != nil {
		n.controlLog.Error("message can't be written", "err", err)
		return
	}
	for _, h := range hosts {
		go n.exchangeWith(ctx, h, body)
	}
}

// announce tells news to some peers at once.
func (n *Node) announce() { n.tell(context.Background(), n.talkTargets(announceFanout, true)) }

// announceFanout is how many peers hear of news at once; they tell others in turn.
const announceFanout = 3

// talkTargets returns peers taken at random, and seeds while few others are known.
func (n *Node) talkTargets(fanout int, far bool) []string {
	var hosts []string
	for _, r := range n.control.directory.All() {
		if r.Host != n.ip && (far || r.Zone == n.cfg.Zone) {
			hosts = append(hosts, r.Host)
		}
	}
	if len(hosts) < fanout {
		for _, s := range n.cfg.Seeds {
			if h, _, err := net.SplitHostPort(s); err == nil && h != n.ip {
				hosts = append(hosts, h)
			}
		}
	}
	rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	return hosts[:min(fanout, len(hosts))]
}

// newMessage tells what this node knows, with the desired state if the peer's version is lower.
func (n *Node) newMessage(peerVersion int64) message {
	m := message{From: n.ip, Stopping: n.stop.leaving(), Records: n.control.directory.All()}
	for _, r := range n.control.reports {
		m.Reports = append(m.Reports, *r)
	}
	if s := n.state.Load(); s != nil {
		m.Version = s.Version
		if peerVersion >= 0 && peerVersion < s.Version {
			m.State = s.Source
		}
	}
	return m
}

// exchangeWith sends a message to a peer and takes its answer.
func (n *Node) exchangeWith(ctx context.Context, host string, body []byte) {
	ctx, cancel := context.WithTimeout(ctx, talkTime)
	defer cancel()
	p := n.peer(host)
	res, err := p.pool.Do(ctx, &httpconn.Request{
		Method: http.MethodPost, URI: exchangePath, Host: host, Header: http.Header{}, Body: body,
	})
	if err != nil {
		if p.failed(n.clock.Now()) {
			n.controlLog.Warn("peer doesn't answer", "peer", host, "err", err)
		}
		return
	}
	data, err := io.ReadAll(io.LimitReader(res.Body, maxMessage))
	_ = res.Body.Close() // it was read, or err says why not
	if err != nil {
		n.controlLog.Warn("exchange broke off", "peer", host, "err", err)
		return
	}
	p.alive()
	n.takeMessage(host, data)
}

// serveExchange answers a peer's message with what this node knows.
func (n *Node) serveExchange(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxMessage))
	if err != nil {
		n.controlLog.Debug("exchange broke off", "peer", r.RemoteAddr, "err", err)
		return
	}
	m := n.takeMessage(r.RemoteAddr, data)
	if m == nil {
		http.Error(w, "not a message", http.StatusBadRequest)
		return
	}
	answers := make(chan message, 1)
	n.do(func() { answers <- n.newMessage(m.Version) })
	select {
	case a := <-answers:
		body, err := encodeMessage(a)
		if err == nil {
			_, err = w.Write(body)
		}
		if err != nil {
			n.controlLog.Debug("exchange broke off", "peer", m.From, "err", err)
		}
	case <-r.Context().Done():
	}
}

// takeMessage takes over what a peer knows better; it returns nil if the message can't be read.
func (n *Node) takeMessage(from string, data []byte) *message {
	m, err := decodeMessage(data)
	if err != nil {
		n.controlLog.Warn("message can't be read", "peer", from, "err", err)
		return nil
	}
	p := n.peer(m.From)
	p.alive()
	p.stopping.Store(m.Stopping)
	if len(m.State) > 0 {
		n.takeState(m.From, m.State)
	} else {
		n.noticeVersion(m.From, m.Version)
	}
	n.do(func() {
		n.merge(m.From, m.Records)
		n.takeReports(n.clock.Now(), m.Reports)
	})
	return &m
}

// fetchState exchanges with a peer that has a newer desired state.
func (n *Node) fetchState(host string) {
	body, err := encodeMessage(n.newMessage(-1))
	if err != nil {
		n.controlLog.Error("message can't be written", "err", err)
		return
	}
	go n.exchangeWith(context.Background(), host, body)
}
