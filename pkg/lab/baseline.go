package lab

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
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
	return c, c.startBackends(func(v *VM) caller { return c.straight(v.Addr, tries) })
}

// straight calls a random server of the service from an address, up to the given number of times.
func (c *Cluster) straight(from netip.Addr, tries int) caller {
	client := c.client()
	var n atomic.Uint64
	return func(ctx context.Context, o outgoing) reply {
		var rep reply
		for range tries {
			r := rand.New(rand.NewPCG(c.opts.Seed+uint64(from.As4()[3]), n.Add(1)))
			servers := c.serversOf(o.service)
			rep = c.tryOnce(ctx, client, from, servers[r.IntN(len(servers))], o, tries)
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

func (c *Cluster) tryOnce(ctx context.Context, client *http.Client, from netip.Addr, to *VM, o outgoing, tries int) reply {
	if tries > 1 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, hopTimeout)
		defer cancel()
	}
	if c.Fabric.blocked(from, to.Addr) {
		// Nothing gets through, and nothing says so: the call hangs until its time-out.
		<-ctx.Done()
		return reply{err: errCut}
	}
	return send(ctx, client, "http://"+at(to.Addr, portBackend), o)
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
