package member

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// list returns VMs of the given names.
func list(names ...string) []VM {
	var out []VM
	for _, n := range names {
		out = append(out, VM{Name: n})
	}
	return out
}

func TestVMIsRemovedOnlyAfterTwoListsLackIt(t *testing.T) {
	c := qt.New(t)
	var r Roster
	c.Assert(r.Refresh(list("a", "b", "c")), qt.IsTrue)
	c.Assert(r.Refresh(list("a", "b")), qt.IsTrue)
	c.Assert(r.VMs(), qt.HasLen, 3)
	c.Assert(r.Removed("c"), qt.IsFalse)
	c.Assert(r.HasPendingRemoval(), qt.IsTrue)
	c.Assert(r.ChangeCount(), qt.Equals, 1)
	r.Refresh(list("a", "b"))
	c.Assert(r.HasPendingRemoval(), qt.IsFalse)
	c.Assert(r.ChangeCount(), qt.Equals, 2)
	c.Assert(r.VMs(), qt.HasLen, 2)
	c.Assert(r.Removed("c"), qt.IsTrue)
	c.Assert(r.Removed("never-seen"), qt.IsFalse, qt.Commentf("an unknown VM doesn't count as removed"))
	r.Refresh(list("a", "b", "c"))
	c.Assert(r.Removed("c"), qt.IsFalse)
}

func TestImplausiblyEmptyListIsRejected(t *testing.T) {
	c := qt.New(t)
	var r Roster
	r.Refresh(list("a", "b", "c", "d"))
	for range 10 {
		c.Assert(r.Refresh(nil), qt.IsFalse)
	}
	c.Assert(r.VMs(), qt.HasLen, 4)
	c.Assert(r.Refresh(list("a")), qt.IsTrue, qt.Commentf("a small list is accepted after several implausible ones"))
}

func TestNodeInfoMergesInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		infos := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) NodeInfo {
			return NodeInfo{
				VM:          rapid.SampledFrom([]string{"a", "b"}).Draw(t, "vm"),
				Incarnation: rapid.SampledFrom([]string{"1", "2", "3"}).Draw(t, "inc"),
				Leaving:     rapid.Bool().Draw(t, "leaving"),
			}
		}), 1, 10).Draw(t, "infos")
		var forward, shuffled Roster
		for _, n := range infos {
			forward.MergeNode(n)
		}
		for _, n := range rapid.Permutation(infos).Draw(t, "order") {
			shuffled.MergeNode(n)
		}
		if forward.Digest() != shuffled.Digest() {
			t.Fatalf("%v and %v", forward.Nodes(), shuffled.Nodes())
		}
	})
}
