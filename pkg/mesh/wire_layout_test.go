package mesh

import (
	"reflect"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/rockspoke/rockspoke/pkg/loads"
	"github.com/rockspoke/rockspoke/pkg/poison"
)

// Messages are encoded as arrays, and nodes of two releases exchange them while one replaces the other: a field inserted
// between others would shift all later ones.
func TestFieldsKeepTheirPositionOnTheWire(t *testing.T) {
	c := qt.New(t)
	for _, x := range []struct {
		of    any
		names []string
	}{
		{message{}, []string{
			"From", "Zone", "Version", "Digest", "Stopping", "Records", "Reports", "Zones", "State", "WantsLearned", "Learned", "StateAgeKnown", "StateAge",
			"Crashes", "Cases", "QuarantineDigest", "WantsState", "SuspectsOnly", "StoreEpoch",
		}},
		{loads.Report{}, []string{"Host", "Epoch", "Seq", "Service", "UsableSlots", "Entries", "Runs", "NotListening", "Leaving"}},
		{loads.Entry{}, []string{"Fresh", "Returning", "WithoutCaller", "Lost"}},
		{poison.Crash{}, []string{"Lifetime", "Service", "Age", "Runs"}},
		{poison.Run{}, []string{"Identity", "Stages", "Route", "Request", "RecentSuccess"}},
		{poison.Case{}, []string{"Fingerprint", "Service", "Route", "Request", "Stage", "Crashed", "Cleared", "Age", "RecentlySuccessful"}},
	} {
		typ := reflect.TypeOf(x.of)
		var names []string
		for i := range typ.NumField() {
			names = append(names, typ.Field(i).Name)
		}
		c.Check(names, qt.DeepEquals, x.names)
	}
}

// Guards against a node that can't read the reports of the other release: the previous one has no count of lost requests.
func TestEntriesOfThePreviousReleaseAreReadBothWays(t *testing.T) {
	c := qt.New(t)
	type previousEntry struct {
		Fresh         float64 `json:"f,omitempty"`
		Returning     float64 `json:"b,omitempty"`
		WithoutCaller float64 `json:"a,omitempty"`
	}
	entry := loads.Entry{Fresh: 5, Returning: 4, WithoutCaller: 3, Lost: 2}
	var old map[string]previousEntry
	c.Assert(unpack(mustPack(map[string]loads.Entry{"a": entry, "b": entry}), &old), qt.IsNil)
	c.Assert(old, qt.DeepEquals, map[string]previousEntry{"a": {5, 4, 3}, "b": {5, 4, 3}})
	var now map[string]loads.Entry
	c.Assert(unpack(mustPack(old), &now), qt.IsNil)
	entry.Lost = 0
	c.Assert(now, qt.DeepEquals, map[string]loads.Entry{"a": entry, "b": entry})
	c.Logf("an entry without losses takes %d bytes, one of the previous release %d", len(mustPack(entry)), len(mustPack(old["a"])))
}
