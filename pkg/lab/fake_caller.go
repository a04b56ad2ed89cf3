package lab

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/rockspoke/rockspoke/pkg/clock"
	"github.com/rockspoke/rockspoke/pkg/wire"
)

// Patience is how a fake caller waits and repeats.
type Patience struct {
	Timeout time.Duration // of one try
	Tries   int           // at most, the first included
	Backoff time.Duration // between tries
	Whole   time.Duration // after which even a right answer is too late
}

// hardRetries is the usual Patience: it repeats on any failure and on its own time-out.
func hardRetries() Patience {
	return Patience{Timeout: time.Second, Tries: 4, Backoff: 50 * time.Millisecond, Whole: 3 * time.Second}
}

// Phase is a stretch of a Load at one rate.
type Phase struct {
	For  time.Duration
	Rate float64 // fresh requests a second
}

// Load is fake callers' demand.
type Load struct {
	Phases   []Phase
	Patience Patience
	Seed     uint64
	// OtherEntry is the share of repeats that go through another entry.
	OtherEntry float64
	// Tag starts the requests' IDs, so that loads on one cluster differ.
	Tag string
}

// entryCall sends a caller's request in through the i-th entry.
type entryCall func(ctx context.Context, entry int, o outgoing) reply

// entry returns the way in for callers: the daemons' listeners where there are daemons, else a root service's servers.
func (c *Cluster) entry() entryCall {
	if c.Entries[0].Node == nil {
		ways := make([]caller, len(c.Entries))
		for i, v := range c.Entries {
			ways[i] = c.straight(v.Addr, 1)
			if c.claims {
				ways[i] = c.claiming(v.Addr, ways[i])
			}
		}
		return func(ctx context.Context, i int, o outgoing) reply { return ways[i](ctx, o) }
	}
	client := c.client()
	return func(ctx context.Context, i int, o outgoing) reply {
		return send(ctx, client, "http://"+at(c.Entries[i].Addr, portCallers), o)
	}
}

// Run sends the load, and returns when every request has its answer or was given up.
func (c *Cluster) Run(ctx context.Context, load Load) {
	var wg sync.WaitGroup
	enter := c.entry()
	rnd := rand.New(rand.NewPCG(load.Seed, 3))
	begin := time.Now()
	n := 0
	for _, p := range load.Phases {
		c.runPhase(ctx, load, p, begin, rnd, &n, func(d demandPlan) {
			wg.Add(1)
			go func() {
				defer wg.Done()
				c.demand(ctx, enter, load, d)
			}()
		})
		begin = begin.Add(p.For)
	}
	wg.Wait()
}

// demandPlan is one request with its random choices made.
type demandPlan struct {
	id    string
	class *Class
	entry int
	seed  uint64
}

// runPhase starts the phase's requests at random times that average to its rate.
func (c *Cluster) runPhase(ctx context.Context, load Load, p Phase, begin time.Time, rnd *rand.Rand, n *int, start func(demandPlan)) {
	if p.Rate <= 0 {
		clock.Sleep(ctx, time.Until(begin.Add(p.For)))
		return
	}
	at := 0.0
	for {
		at += rnd.ExpFloat64() / p.Rate
		if at >= p.For.Seconds() {
			clock.Sleep(ctx, time.Until(begin.Add(p.For)))
			return
		}
		if !clock.Sleep(ctx, time.Until(begin.Add(time.Duration(at*float64(time.Second))))) {
			return
		}
		*n++
		start(demandPlan{
			id: fmt.Sprintf("%s%d-%d", load.Tag, load.Seed, *n), class: c.Graph.draw(rnd),
			entry: rnd.IntN(len(c.Entries)), seed: rnd.Uint64(),
		})
	}
}

// draw picks a class by its share of the load.
func (g *Graph) draw(rnd *rand.Rand) *Class {
	x := rnd.Float64()
	var last *Class
	for i := range g.Classes {
		if g.Classes[i].Share == 0 {
			continue
		}
		last = &g.Classes[i]
		if x -= last.Share; x < 0 {
			return last
		}
	}
	return last
}

// demand is one request with its repeats.
func (c *Cluster) demand(ctx context.Context, enter entryCall, load Load, d demandPlan) {
	rnd := rand.New(rand.NewPCG(d.seed, 5))
	begin := time.Now()
	out := Demand{ID: d.id, Class: d.class.Name, At: begin}
	entry := d.entry
	key := d.id
	for out.Tries < load.Patience.Tries && !out.Served {
		if out.Tries > 0 {
			wait := time.Duration(float64(load.Patience.Backoff) * (0.5 + rnd.Float64()))
			if time.Since(begin)+wait > load.Patience.Whole || !clock.Sleep(ctx, wait) {
				break
			}
			if rnd.Float64() < load.OtherEntry {
				entry = rnd.IntN(len(c.Entries))
			}
		}
		out.Tries++
		if d.class.Token && key == d.id {
			key = c.tokenFor(ctx, load.Patience, d, entry)
		}
		if key == "" {
			key = d.id // no token was to be had, and nothing was sent
			continue
		}
		a := c.try(ctx, enter, load.Patience, d, key, entry)
		out.Served = a.Served && time.Since(begin) <= load.Patience.Whole
		if a.Outcome == wire.Ran && a.Status == http.StatusConflict {
			break // it ran; the answer is no longer there
		}
	}
	out.Ended = time.Now()
	c.History.addDemand(out)
}

// try is one attempt of a caller.
func (c *Cluster) try(ctx context.Context, enter entryCall, p Patience, d demandPlan, key string, entry int) Attempt {
	ctx, cancel := context.WithTimeout(ctx, p.Timeout)
	defer cancel()
	h := http.Header{}
	h.Set(headerLabRequest, d.id)
	h.Set(wire.HeaderIdempotencyKey, key)
	a := Attempt{Request: d.id, Class: d.class.Name, Entry: c.Entries[entry].Info.Name, Start: time.Now()}
	rep := enter(ctx, entry, outgoing{service: d.class.Root, method: d.class.method(), path: d.class.path(), header: h})
	a.End = time.Now()
	a.Status, a.Outcome, a.Reason = rep.status, rep.outcome, rep.reason
	if rep.err == nil && rep.status == http.StatusOK {
		a.Served = rep.body == answerTo(d.id, d.class.Root)
		a.Wrong = !a.Served
	}
	if strings.Contains(rep.body, "answer of") && !strings.HasSuffix(rep.body, " to "+d.id) {
		a.Wrong = true
	}
	c.History.addAttempt(a)
	return a
}

// tokenFor gets a token for the request from an entry, or an empty one on failure; without daemons the
// request's id has to do.
func (c *Cluster) tokenFor(ctx context.Context, p Patience, d demandPlan, entry int) string {
	if c.Entries[0].Node == nil {
		return d.id
	}
	ctx, cancel := context.WithTimeout(ctx, p.Timeout)
	defer cancel()
	rep := send(ctx, c.tokens, "http://"+at(c.Entries[entry].Addr, portCallers), outgoing{
		method: http.MethodGet, path: "/.rockspoke/token?service=" + d.class.Root, header: http.Header{},
	})
	if rep.err != nil || rep.status != http.StatusOK {
		return ""
	}
	return strings.TrimSpace(rep.body)
}
