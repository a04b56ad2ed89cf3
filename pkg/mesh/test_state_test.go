package mesh

import (
	"encoding/json"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/rockspoke/rockspoke/pkg/desired"
)

func decodeTestState(data []byte) (*desired.State, error) {
	var s desired.State
	if err := json.Unmarshal(data, &s); err != nil {
		return nil, err
	}
	s.Source = data
	return desired.New(s)
}

func route(name string, kind desired.Kind, service string) desired.Route {
	return desired.Route{
		Name: name, Host: "h", Prefix: "/" + name + "/", Kind: kind, MaxAttempts: 3,
		Targets: []desired.Target{{Service: service, Weight: 1}},
	}
}

func mustState(t testing.TB, s desired.State) []byte {
	data, err := json.Marshal(s)
	qt.Assert(t, err, qt.IsNil)
	return data
}
