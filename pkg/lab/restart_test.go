package lab

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rockspoke/rockspoke/pkg/clock"
	"github.com/rockspoke/rockspoke/pkg/store"
)

// restartWithoutVMList restarts the node of the first VM during an outage of the platform, with its peers' lists of VMs
// withheld until the returned value is false. It returns when the node has the configuration.
func restartWithoutVMList(t *testing.T) (*Cluster, *atomic.Bool) {
	t.Helper()
	withheld := &atomic.Bool{}
	cl := startSmall(t, Options{UnknownMessage: func(_, path string) bool { return path == "/.rockspoke/vms" && withheld.Load() }})
	ctx := context.Background()
	version := cl.Entries[0].Node.Document().Version
	cl.Platform.SetFaults(store.Faults{Down: true})
	withheld.Store(true)
	v := cl.VMs[0]
	qt.Assert(t, v.Node.Close(), qt.IsNil)
	qt.Assert(t, cl.StartNode(ctx, v), qt.IsNil)
	qt.Assert(t, cl.inForce(version), qt.IsTrue)
	return cl, withheld
}

// TestReadIsNotFailedByANodeThatKnowsNoServersYet guards against 502 from a server whose node has started with the
// configuration but without the list of VMs, so that the server's own calls find no server.
func TestReadIsNotFailedByANodeThatKnowsNoServersYet(t *testing.T) {
	c := qt.New(t)
	cl, withheld := restartWithoutVMList(t)
	for i := range 40 {
		begin := time.Now()
		rep := cl.ask(i%2, "reads", fmt.Sprint("withheld", i), nil)
		c.Check(rep.status, qt.Equals, http.StatusOK, qt.Commentf("request %d after %v: %+v", i, time.Since(begin), rep))
	}
	withheld.Store(false)
	before := cl.runsAt(cl.VMs[0])
	for i := range 400 {
		rep := cl.ask(i%2, "reads", fmt.Sprint("released", i), nil)
		c.Check(rep.status, qt.Equals, http.StatusOK, qt.Commentf("request %d: %+v", i, rep))
		if cl.runsAt(cl.VMs[0]) > before {
			return
		}
		clock.Sleep(context.Background(), 20*time.Millisecond)
	}
	c.Fatal("the node gets no work once it knows the servers")
}

// runsAt counts the runs at a VM's backend server.
func (c *Cluster) runsAt(v *VM) int {
	_, runs, _ := c.History.Snapshot()
	n := 0
	for _, r := range runs {
		if r.Server == v.Info.Name {
			n++
		}
	}
	return n
}
