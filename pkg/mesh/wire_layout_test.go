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
