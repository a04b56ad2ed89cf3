package mesh

import (
	"encoding/json"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/rockspoke/rockspoke/pkg/desired"
)

// decodeTestState decodes a desired state from JSON.
func decodeTestState(data []byte) (*desired.State, error) {
	var s desired.State
	if err := json.Unmarshal(data, &s); err != nil {
		return nil, err
	}
	s.Source = data
	return desired.New(s)
}

// route returns a route to one service for the paths below its name.
func route(name string, kind desired.Kind, service string) desired.Route {
	return desired.Route{
		Name: name, Host: "h", Prefix: "/" + name + "/", Kind: kind, MaxAttempts: 3,
		Targets: []desired.Target{{Service: service, Weight: 1}},
	}
}

// mustState encodes a desired state as JSON.
func mustState(t testing.TB, s desired.State) []byte {
	data, err := json.Marshal(s)
	qt.Assert(t, err, qt.IsNil)
	return data
}

// desiredReads returns a desired state with the route read to one service.
func desiredReads(service string) desired.State {
	return desired.State{Version: 1, Routes: []desired.Route{route("read", desired.Repeatable, service)}}
}
