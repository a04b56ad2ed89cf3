package lab

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/rockspoke/rockspoke/pkg/store"
	"github.com/rockspoke/rockspoke/pkg/wire"
)

// nameClaim is the baseline that claims each once-only request in the platform's table before it runs.
const nameClaim = "claim-per-request"

// claimTime is the longest time for one claim.
const claimTime = 500 * time.Millisecond

// claimSystem is a pass-through with a table row a once-only call. A second attempt finds the row and is
// answered as unknown; without the table nothing runs.
var claimSystem = System{nameClaim, func(_ context.Context, g *Graph, o Options) (*Cluster, error) {
	c, err := newCluster(g, o)
	if err != nil {
		return nil, err
	}
	c.claims = true
	return c, c.startBackends(func(v *VM) caller { return c.claiming(v.Addr, c.straight(v.Addr, 1)) })
}}

// claiming claims once-only calls before they are made, unless the address is cut off from the platform.
func (c *Cluster) claiming(from netip.Addr, next caller) caller {
	p := c.Platform.Platform()
	return func(ctx context.Context, o outgoing) reply {
		if o.method == http.MethodGet {
			return next(ctx, o)
		}
		key := "claim/" + o.header.Get(headerLabRequest) + "/" + o.service + o.path + o.header.Get(headerLabPlace)
		cctx, cancel := context.WithTimeout(ctx, claimTime)
		defer cancel()
		if c.cutOff(from) {
			<-cctx.Done()
			return reply{status: http.StatusGatewayTimeout, outcome: wire.Unknown}
		}
		err := p.Commit(cctx, store.Tx{
			Checks: []store.Check{{Key: key}},
			Writes: []store.Write{{Key: key, Value: []byte("claimed")}},
		})
		if err != nil {
			return reply{status: http.StatusGatewayTimeout, outcome: wire.Unknown}
		}
		return next(ctx, o)
	}
}
