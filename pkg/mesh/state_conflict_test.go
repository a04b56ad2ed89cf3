package mesh

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rockspoke/rockspoke/pkg/desired"
	"github.com/rockspoke/rockspoke/pkg/settings"
)

// handOver has a node take a desired state as from another node.
func (s *site) handOver(i int, version int64) {
	m := message{From: s.servers[1].ip, Zone: s.servers[1].zone, Version: version, State: mustState(s.t, desired.State{Version: version})}
	body, err := m.pack()
	qt.Assert(s.t, err, qt.IsNil)
	qt.Assert(s.t, s.nodes[i].mergeMessage(m.From, body), qt.IsNotNil)
}

// Guards against a state that the store never had, handed over by a faulty node, which blocks the operator's states for good.
func TestStateThatTheStoreNeverHadIsReplaced(t *testing.T) {
	for k := range 4 {
		strict, changes := k&1 != 0, k&2 != 0
		t.Run(fmt.Sprintf("strict revocation %v, operator's change %v", strict, changes), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				s := bigSite(t)
				if strict {
					s.tune = func(m *settings.Mesh) { m.StrictRevoke, m.Revoke = true, 5*time.Second }
					for i := range s.nodes {
						s.nodes[i].halt()
						s.start(i)
					}
					s.waitUntilKnown(1)
				}
				s.handOver(0, 1_000_000)
				s.awaitInForce(1_000_000, nil)
				want := int64(1)
				if changes {
					want = 2
					time.Sleep(time.Second)
					s.put(want)
				}
				time.Sleep(4 * conflictTime)
				for i, n := range s.nodes {
					c.Check(n.stateVersion(), qt.Equals, want, qt.Commentf("node %d", i))
					c.Check(n.mayAcceptKeys(n.state.Load()), qt.IsTrue, qt.Commentf("node %d", i))
				}
				s.put(3)
				took := s.awaitInForce(3, nil)
				c.Check(took <= s.nodes[0].cfg.Mesh.Apply, qt.IsTrue, qt.Commentf("%v", took))
			})
		})
	}
}

// A store that was restored from a backup has an older state until the operator writes the lost one again.
func TestStateLostByTheStoreStaysInForceUntilItIsWrittenAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := bigSite(t)
		s.store.backUp()
		s.put(5)
		s.awaitInForce(5, nil)
		s.store.restoreBackup()
		for range 12 {
			time.Sleep(time.Second)
			for _, n := range s.nodes {
				c.Assert(n.stateVersion(), qt.Equals, int64(5))
			}
		}
		s.put(5)
		time.Sleep(2 * conflictTime)
		for _, n := range s.nodes {
			c.Assert(n.stateVersion(), qt.Equals, int64(5))
		}
	})
}
