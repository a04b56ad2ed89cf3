package mesh

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/rockspoke/rockspoke/pkg/httpconn"
)

// exchangePath is where nodes talk to each other about control state.
const exchangePath = "/exchange"

// The bounds of exchanges.
const (
	nearFanout = 2 // peers of the own availability zone that are told at a time
	// announceFanout is how many peers hear of news at once; they tell others in turn.
	announceFanout = 3
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

// talkPeriod is the time between exchanges, by the number of nodes that are known.
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

// talkTargets returns peers taken at random, and seeds while few others are known.
func (n *Node) talkTargets(fanout int, far bool) []string {
	var hosts []string
	for _, r := range n.control.directory.All() {
		if r.Host != n.ip && (far || r.Zone == n.cfg.Zone) {
			hosts = append(hosts, r.Host)
		}
	}
	if len(hosts) < fanout {
		hosts = append(hosts, n.seedHosts()...)
	}
	rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	return hosts[:min(fanout, len(hosts))]
}

// seedHosts returns the seeds of the settings but this node.
func (n *Node) seedHosts() []string {
	var hosts []string
	for _, s := range n.cfg.Seeds {
		if h, _, err := net.SplitHostPort(s); err == nil && h != n.ip {
			hosts = append(hosts, h)
		}
	}
	return hosts
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
	n.tell(context.Background(), []string{host})
}
