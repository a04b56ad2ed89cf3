package lab

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rockspoke/rockspoke/pkg/wire"
)

// hopTries is how often each hop of the per-hop-retry baseline tries.
const hopTries = 3

// hopTimeout is the time-out of one try in the per-hop-retry baseline.
const hopTimeout = 500 * time.Millisecond

// StartPassThrough runs the fakes without daemons: each call goes straight to a random server, once.
func StartPassThrough(g *Graph, opts Options) (*Cluster, error) { return startBaseline(g, opts, 1) }

// StartPerHopRetry runs the fakes without daemons: each hop tries several times by itself.
func StartPerHopRetry(g *Graph, opts Options) (*Cluster, error) {
	return startBaseline(g, opts, hopTries)
}

func startBaseline(g *Graph, opts Options, tries int) (*Cluster, error) {
	c, err := newCluster(g, opts)
	if err != nil {
		return nil, err
	}
	return c, c.startBackends(func(*VM) caller { return c.straight(tries) })
}

// straight calls a random server of the service, up to the given number of times.
func (c *Cluster) straight(tries int) caller {
	client := c.client()
	var n atomic.Uint64
	return func(ctx context.Context, o outgoing) reply {
		var rep reply
		for try := range tries {
			r := rand.New(rand.NewPCG(c.opts.Seed, n.Add(1)))
			v := c.serversOf(o.service)[r.IntN(len(c.serversOf(o.service)))]
			rep = c.tryOnce(ctx, client, at(v.Addr, portBackend), o, tries, try)
			if ctx.Err() != nil || (rep.err == nil && rep.status < http.StatusInternalServerError) {
				break
			}
		}
		if rep.err == nil && rep.outcome == "" {
			rep.outcome = wire.Ran
		}
		return rep
	}
}

func (c *Cluster) tryOnce(ctx context.Context, client *http.Client, addr string, o outgoing, tries, _ int) reply {
	if tries == 1 {
		return send(ctx, client, "http://"+addr, o)
	}
	ctx, cancel := context.WithTimeout(ctx, hopTimeout)
	defer cancel()
	return send(ctx, client, "http://"+addr, o)
}

func (c *Cluster) serversOf(service string) []*VM {
	var list []*VM
	for _, v := range c.VMs {
		if v.Info.Service == service {
			list = append(list, v)
		}
	}
	return list
}
