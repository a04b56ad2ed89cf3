package node

import (
	"context"
	"maps"
	"time"

	"github.com/rockspoke/rockspoke/pkg/config"
	"github.com/rockspoke/rockspoke/pkg/member"
	"github.com/rockspoke/rockspoke/pkg/onceonly"
)

// digest sums up what a daemon knows, so that another sees what it lacks.
type digest struct {
	Config int64            `json:"c"`
	Rows   map[string]int64 `json:"r,omitempty"`
	Nodes  uint64           `json:"n"`
}

// exchange is the control message between daemons: a digest, and what the other is known or likely to lack.
type exchange struct {
	From   string            `json:"from"`
	Digest digest            `json:"d"`
	Doc    *config.Document  `json:"doc,omitempty"`
	Rows   []onceonly.Row    `json:"rows,omitempty"`
	Nodes  []member.NodeInfo `json:"nodes,omitempty"`
	// Probe asks for the digest only; it is how operators' queries see versions.
	Probe bool `json:"probe,omitempty"`
}

// exchangeTimeout is the longest time for one exchange.
const exchangeTimeout = 2 * time.Second

func (s *controlState) digest() digest {
	d := digest{Config: s.register.Version(), Rows: map[string]int64{}, Nodes: s.roster.Digest()}
	for name, row := range s.rows {
		d.Rows[name] = row.Version
	}
	return d
}

// merge merges what a message brings and publishes it.
func (s *controlState) merge(in exchange) {
	now := s.n.clock.Now()
	news := s.offerDocument(in.Doc)
	for _, row := range in.Rows {
		news = s.offerRow(row) || news
	}
	for _, info := range in.Nodes {
		if info.VM == s.n.cfg.VM && info.Incarnation < s.n.incarnation {
			continue
		}
		news = s.mergeNode(now, info) || news
	}
	if news {
		s.n.publishSnapshot(s)
	}
}

// updatesFor collects what a daemon with the digest lacks. Its nodes are compared whole only on request.
func (s *controlState) updatesFor(d digest, wholeNodes bool) exchange {
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
	if wholeNodes {
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

// handleExchange answers a control message of another daemon.
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

// exchangeWith compares state with another daemon: a digest and recent news first, then what it lacks.
func (n *Node) exchangeWith(ctx context.Context, vm, addr string) error {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	var msg, reply exchange
	if err := n.runOnControl(ctx, func(s *controlState) {
		// Towards an unknown state only news of nodes is sent along; the rest goes by digest.
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

// exchangeWithNeighbors tells every neighbour at once that there is news.
func (s *controlState) exchangeWithNeighbors() {
	for _, v := range s.n.snapshot.Load().neighbors {
		s.startExchange(v.Name, v.Peer)
	}
}

// exchangeWithNext keeps in step with one neighbour after the other, whether there is news or not.
func (s *controlState) exchangeWithNext() {
	list := s.n.snapshot.Load().neighbors
	if len(list) == 0 {
		return
	}
	s.neighborIndex++
	v := list[s.neighborIndex%len(list)]
	s.startExchange(v.Name, v.Peer)
}

// startExchange starts an exchange unless one with the same daemon is under way; then another follows it.
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

// requestExchange asks a daemon for its state, since an answer showed that it knows more.
func (n *Node) requestExchange(vm string) {
	v, ok := n.snapshot.Load().vms[vm]
	if !ok {
		return
	}
	// Calls must not wait for control, so a full queue drops the wish; the next answer renews it.
	select {
	case n.control <- func(s *controlState) { s.startExchange(v.Name, v.Peer) }:
	default:
	}
}

// VersionReport tells how far a configuration version has come.
type VersionReport struct {
	Version      int64            `json:"version"`
	InForce      []string         `json:"in_force"`
	Behind       map[string]int64 `json:"behind,omitempty"`
	Unresponsive []string         `json:"silent,omitempty"`
}

// maxConcurrentProbes bounds the probes of one report that are under way at once.
const maxConcurrentProbes = 32

// VersionReport asks every daemon which configuration version it has in force.
func (n *Node) VersionReport(ctx context.Context, want int64) VersionReport {
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
