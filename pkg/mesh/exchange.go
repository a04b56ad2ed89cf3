package mesh

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/rockspoke/rockspoke/pkg/follow"
)

// exchangePath is where nodes talk to each other about control state.
const exchangePath = "/exchange"

// The bounds of exchanges.
const (
	nearFanout = 2 // peers of the own availability zone that are told at a time
	// announceFanout is how many peers hear of news at once; they tell others in turn.
	announceFanout = 3
	// farTalkShare of the exchanges go to a peer of another zone as well, and farTalks of all exchanges of a zone in
	// one period at the most: bytes between zones are paid for, and news of a zone spreads in it by itself. With
	// less, sums of other zones were often older than zoneLifeLeast: of the worth of all answers in a minute with a zone
	// cut off, 14 nodes earned 0.707 and 0.675 with one near peer and a quarter, 0.748 with two (one play each).
	farTalkShare = 0.35
	farTalks     = 4.0
	// talkTime bounds one exchange.
	talkTime = 800 * time.Millisecond
	// maxMessage bounds a message in bytes: a desired state of thousands of routes fits.
	maxMessage = 8 << 20
)

// talk exchanges with some peers taken at random.
func (n *Node) talk(ctx context.Context) {
	targets := n.talkTargets(nearFanout, nearOnly)
	if rand.Float64() < min(farTalkShare, farTalks/float64(max(len(n.control.zoneHosts), 1))) {
		targets = append(targets, n.talkTargets(1, farOnly)...)
	}
	n.tell(ctx, targets)
}

// tell exchanges with the given peers.
func (n *Node) tell(ctx context.Context, targets []talkTarget) {
	bodies := map[string][]byte{} // by zone
	for _, t := range targets {
		body, ok := bodies[t.zone]
		if !ok {
			body = n.encode(n.newMessage(t.zone))
			bodies[t.zone] = body
		}
		n.tellAndComplete(ctx, t.host, body)
	}
}

// tellAndComplete sends a message to a peer, which is told all records if its answer shows that it lacks some.
func (n *Node) tellAndComplete(ctx context.Context, host string, body []byte) {
	go func() {
		if n.exchangeWith(ctx, host, body) {
			n.enqueue(func() { n.completeRecords(ctx, host) })
		}
	}()
}

// encode writes a message of this node's.
func (n *Node) encode(m message) []byte {
	body, err := pack(m)
	if err != nil {
		n.controlLog.Error("message can't be written", "err", err)
	}
	return body
}

// announce tells news to some peers at once.
func (n *Node) announce() { n.announceTo(anywhere) }

// announceTo tells news to some peers of the zones that are meant.
func (n *Node) announceTo(where reach) {
	n.tell(context.Background(), n.talkTargets(announceFanout, where))
}

// exchangeWith sends a message to a peer and takes its answer; it reports whether there was one.
func (n *Node) exchangeWith(ctx context.Context, host string, body []byte) bool {
	ctx, cancel := context.WithTimeout(ctx, talkTime)
	defer cancel()
	p := n.peer(host)
	res, err := p.post(ctx, time.Time{}, exchangePath, body)
	if err != nil {
		if p.backOff(n.clock.Now()) {
			n.controlLog.Warn("peer doesn't answer", "peer", host, "err", err)
		}
		return false
	}
	data, err := readAndClose(res.Body, maxMessage)
	if err != nil {
		n.controlLog.Warn("exchange broke off", "peer", host, "err", err)
		return false
	}
	return n.takeMessage(host, data) != nil
}

// serveExchange answers a peer's message with what this node knows.
func (n *Node) serveExchange(w http.ResponseWriter, r *http.Request) {
	data, err := readAndClose(r.Body, maxMessage)
	if err != nil {
		n.controlLog.Debug("exchange broke off", "peer", r.RemoteAddr, "err", err)
		return
	}
	m := n.takeMessage(r.RemoteAddr, data)
	if m == nil {
		http.Error(w, "not a message", http.StatusBadRequest)
		return
	}
	var a message
	if !n.enqueueAndWait(r.Context(), func() { a = n.newAnswer(m) }) {
		return
	}
	body, err := pack(a)
	if err == nil {
		_, err = w.Write(body)
	}
	if err != nil {
		n.controlLog.Debug("exchange broke off", "peer", m.From, "err", err)
	}
}

// takeMessage takes over what a peer knows better; it returns nil if the message can't be read.
func (n *Node) takeMessage(from string, data []byte) *message {
	var m message
	if err := unpack(data, &m); err != nil {
		n.controlLog.Warn("message can't be read", "peer", from, "err", err)
		return nil
	}
	n.peer(m.From).receivedExchange(n.clock.Now(), m.Stopping)
	n.noteEra(m.From, m.Era)
	switch {
	case m.Version <= n.version(): // a state of which it is known that it isn't newer needn't be read
	case len(m.State) > 0:
		n.takeState(m.From, m.State)
	default:
		n.noticeVersion(m.From, m.Version)
	}
	if m.Sure {
		n.watch.with(func(w *follow.Tracker) { w.AddPeerReport(n.clock.Now(), n.version(), m.Version, m.Age) })
	}
	n.enqueue(func() {
		now := n.clock.Now()
		n.recallTold(m.From, m.Learned)
		n.mergeRecords(m.From, m.Records)
		n.takeReports(now, m.From, m.Reports)
		n.takeZones(now, m.From, m.Zones)
		n.applySuspectUpdates(now, m.Ends, m.Cases)
		p := n.peer(m.From)
		p.digest, p.lacksLearned = m.Digest, m.Unlearned
	})
	return &m
}

// completeRecords tells a peer all records, and what was learned, if its answer showed that it lacks some of it.
func (n *Node) completeRecords(ctx context.Context, host string) {
	p := n.peer(host)
	lacksLearned := p.lacksLearned && !n.control.retainedRuns.Empty()
	if p.digest == n.control.directory.Digest() && !lacksLearned {
		return
	}
	body := n.encode(n.newRecords(lacksLearned))
	go n.exchangeWith(ctx, host, body)
}

// fetchState asks a peer for its newer desired state.
func (n *Node) fetchState(host string) {
	m := n.newMessage("")
	m.Wants = true
	n.tellAndComplete(context.Background(), host, n.encode(m))
}
