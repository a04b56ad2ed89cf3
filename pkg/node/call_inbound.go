package node

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/rockspoke/rockspoke/pkg/ledger"
	"github.com/rockspoke/rockspoke/pkg/priority"
	"github.com/rockspoke/rockspoke/pkg/wire"
)

// inbound is a call in progress at this node; outbound calls of the backend server belong to it.
type inbound struct {
	id       string
	ctx      context.Context
	call     wire.Call
	deadline time.Time
	ledger   *ledger.Ledger
	detached bool // the run continues after its caller left, and ends the inbound call when it ends

	mu           sync.Mutex
	successes    map[uint64]int         // number of calls that ran, by signature
	tokens       map[uint64]*childToken // by signature and successCount
	openOutbound int
	openSince    time.Time
	waited       time.Duration
	outbound     int
	level        priority.Priority
	onceBelow    bool
}

// newInbound registers a call, so that outbound calls find it by its ID.
func (n *Node) newInbound(ctx context.Context, call wire.Call, deadline time.Time) *inbound {
	in := &inbound{
		id:  strconv.FormatUint(n.nextID.Add(1), 36) + "-" + n.incarnation[len(n.incarnation)-8:],
		ctx: ctx, call: call, deadline: deadline, ledger: ledger.New(call.RetryTokens),
	}
	n.inbounds.Store(in.id, in)
	return in
}

// endInbound removes the call and returns the retry tokens that go back with its answer.
func (n *Node) endInbound(in *inbound) int {
	n.inbounds.Delete(in.id)
	return in.ledger.Close()
}

// beginOutbound records the start of an outbound call.
func (in *inbound) beginOutbound(now time.Time) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.openOutbound == 0 {
		in.openSince = now
	}
	in.openOutbound++
	in.outbound++
}

// endOutbound records the answer of an outbound call.
func (in *inbound) endOutbound(now time.Time, signature uint64, a wire.Answer) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.openOutbound--
	if in.openOutbound == 0 {
		in.waited += now.Sub(in.openSince)
	}
	in.level = max(in.level, a.LevelBelow)
	in.onceBelow = in.onceBelow || a.OnceOnly
	if a.Outcome == wire.Ran {
		if in.successes == nil {
			in.successes = map[uint64]int{}
		}
		in.successes[signature]++
	}
}

// successCount returns how many outbound calls with the signature have run so far.
func (in *inbound) successCount(signature uint64) int {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.successes[signature]
}

// callStats summarizes the outbound calls of an inbound call.
type callStats struct {
	waited    time.Duration
	outbound  int
	level     priority.Priority
	onceBelow bool
}

// stats returns the call's statistics up to now.
func (in *inbound) stats(now time.Time) callStats {
	in.mu.Lock()
	defer in.mu.Unlock()
	r := callStats{waited: in.waited, outbound: in.outbound, level: in.level, onceBelow: in.onceBelow}
	if in.openOutbound > 0 {
		r.waited += now.Sub(in.openSince)
	}
	return r
}
