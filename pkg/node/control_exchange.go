package node

import (
	"context"
	"maps"
	"time"

	"github.com/rockspoke/rockspoke/pkg/config"
	"github.com/rockspoke/rockspoke/pkg/member"
	"github.com/rockspoke/rockspoke/pkg/onceonly"
)

// digest summarizes the versions that a daemon holds, so that a peer can tell what it lacks.
type digest struct {
	Config int64            `json:"c"`
	Rows   map[string]int64 `json:"r,omitempty"`
	Nodes  uint64           `json:"n"`
}

// exchange is the control message between daemons: the sender's digest and the updates that the receiver lacks or
// probably lacks.
type exchange struct {
	From   string              `json:"from"`
	Digest digest              `json:"d"`
	Doc    *config.Document    `json:"doc,omitempty"`
	Rows   []onceonly.OwnerRow `json:"rows,omitempty"`
	Nodes  []member.NodeInfo   `json:"nodes,omitempty"`
	// Probe requests only the digest; operators' version queries set it.
	Probe bool `json:"probe,omitempty"`
}

// exchangeTimeout is the timeout of one exchange.
const exchangeTimeout = 2 * time.Second

// digest returns the digest of this daemon's state.
func (s *controlState) digest() digest {
	d := digest{Config: s.register.Version(), Rows: map[string]int64{}, Nodes: s.roster.Digest()}
	for name, row := range s.rows {
		d.Rows[name] = row.Version
	}
	return d
}

// merge adopts the newer parts of a message and publishes a snapshot if any were newer.
func (s *controlState) merge(in exchange) {
	now := s.n.clock.Now()
	changed := s.offerDocument(in.Doc)
	for _, row := range in.Rows {
		changed = s.offerRow(row) || changed
	}
	for _, info := range in.Nodes {
		if info.VM == s.n.cfg.VM && info.Incarnation < s.n.incarnation {
			continue
		}
		changed = s.mergeNode(now, info) || changed
	}
	if changed {
		s.n.publishSnapshot(s)
	}
}

// updatesFor returns what a daemon with digest d lacks. If the digests of nodes differ, it includes all nodes if
// allNodes is set, else only those with recent updates.
func (s *controlState) updatesFor(d digest, allNodes bool) exchange {
	out := exchange{From: s.n.cfg.VM, Digest: s.digest()}
	if s.register.Version() > d.Config {
		out.Doc = s.register.Document()
	}
	for name, row := range s.rows {
		if row.Version > d.Rows[name] {
			out.Rows = append(out.Rows, row)
		}
	}
	if out.Digest.Nodes == d.Nodes {
		return out
	}
	if allNodes {
		out.Nodes = s.roster.Nodes()
		return out
	}
	for vm := range s.recentNodes {
		if info, ok := s.roster.Node(vm); ok {
			out.Nodes = append(out.Nodes, info)
		}
	}
	return out
}

// handleExchange merges another daemon's message and returns what that daemon lacks, or the digest for a probe.
func (n *Node) handleExchange(ctx context.Context, in exchange) (out exchange, err error) {
	err = n.runOnControl(ctx, func(s *controlState) {
		if in.Probe {
			out = exchange{From: n.cfg.VM, Digest: s.digest()}
			return
		}
		s.merge(in)
		out = s.updatesFor(in.Digest, true)
	})
	return out, err
}

// exchangeWith runs anti-entropy with another daemon: it sends a digest and recent updates, merges the reply and then
// sends what the other daemon lacks.
func (n *Node) exchangeWith(ctx context.Context, vm, addr string) error {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	var msg, reply exchange
	if err := n.runOnControl(ctx, func(s *controlState) {
		// The peer's state is unknown yet, so only recent updates of nodes go along with the digest.
		msg = s.updatesFor(digest{Config: s.register.Version(), Rows: s.digest().Rows}, false)
	}); err != nil {
		return err
	}
	if err := n.peers.control(ctx, vm, addr, pathExchange, msg, &reply); err != nil {
		return err
	}
	var more exchange
	if err := n.runOnControl(ctx, func(s *controlState) {
		s.merge(reply)
		more = s.updatesFor(reply.Digest, true)
	}); err != nil {
		return err
	}
	if more.Doc == nil && len(more.Rows) == 0 && len(more.Nodes) == 0 {
		return nil
	}
	return n.peers.control(ctx, vm, addr, pathExchange, more, &reply)
}

// exchangeWithNeighbors starts an exchange with every neighbor at once.
func (s *controlState) exchangeWithNeighbors() {
	for _, v := range s.n.snapshot.Load().neighbors {
		s.startExchange(v.Name, v.Peer)
	}
}

// exchangeWithNext starts an exchange with the next neighbor in turn, whether there are updates or not.
func (s *controlState) exchangeWithNext() {
	list := s.n.snapshot.Load().neighbors
	if len(list) == 0 {
		return
	}
	s.neighborIndex++
	v := list[s.neighborIndex%len(list)]
	s.startExchange(v.Name, v.Peer)
}

// startExchange starts an exchange unless one with the same daemon is in progress; then another follows it.
func (s *controlState) startExchange(vm, addr string) {
	name := "exchange/" + vm
	if s.running[name] {
		s.running[name+"/again"] = true
		return
	}
	s.running[name] = true
	n := s.n
	go func() {
		if err := n.exchangeWith(n.ctx, vm, addr); err != nil && n.ctx.Err() == nil {
			n.log.peer.Debug("exchange failed", "vm", vm, "err", err)
		}
		n.enqueueControl(func(s *controlState) {
			delete(s.running, name)
			if s.running[name+"/again"] {
				delete(s.running, name+"/again")
				s.startExchange(vm, addr)
			}
		})
	}()
}

// requestExchange starts an exchange with a daemon whose answer showed that it has newer state.
func (n *Node) requestExchange(vm string) {
	v, ok := n.snapshot.Load().vms[vm]
	if !ok {
		return
	}
	// Calls must not wait for the control goroutine: a full queue drops the request, and the next answer repeats it.
	select {
	case n.control <- func(s *controlState) { s.startExchange(v.Name, v.Peer) }:
	default:
	}
}

// VersionReport lists which daemons have a configuration version in force, which are behind and which didn't respond.
type VersionReport struct {
	Version      int64            `json:"version"`
	InForce      []string         `json:"in_force"`
	Behind       map[string]int64 `json:"behind,omitempty"`
	Unresponsive []string         `json:"silent,omitempty"`
}

// maxConcurrentProbes limits the probes of one report that are in flight.
const maxConcurrentProbes = 32

// ReportVersions queries every daemon for its configuration version and compares it with want.
func (n *Node) ReportVersions(ctx context.Context, want int64) VersionReport {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	type result struct {
		vm      string
		version int64
		err     error
	}
	vms := maps.Clone(n.snapshot.Load().vms)
	results := make(chan result, len(vms))
	slots := make(chan struct{}, maxConcurrentProbes)
	for _, v := range vms {
		go func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			if v.Name == n.cfg.VM {
				results <- result{vm: v.Name, version: n.snapshot.Load().version()}
				return
			}
			var reply exchange
			err := n.peers.control(ctx, v.Name, v.Peer, pathExchange, exchange{From: n.cfg.VM, Probe: true}, &reply)
			results <- result{v.Name, reply.Digest.Config, err}
		}()
	}
	rep := VersionReport{Version: want, Behind: map[string]int64{}}
	for range vms {
		r := <-results
		switch {
		case r.err != nil:
			rep.Unresponsive = append(rep.Unresponsive, r.vm)
		case r.version >= want:
			rep.InForce = append(rep.InForce, r.vm)
		default:
			rep.Behind[r.vm] = r.version
		}
	}
	return rep
}
