package lab

import (
	"context"
	"fmt"
)

// System is one of those that are compared.
type System struct {
	Name  string
	Start func(ctx context.Context, g *Graph, opts Options) (*Cluster, error)
}

// The names of the systems.
const (
	NameRockspoke   = "rockspoke"
	NamePassThrough = "pass-through"
	NamePerHopRetry = "per-hop-retry"
)

// Systems lists the systems in the order of runs.
var Systems = []System{
	{NameRockspoke, StartRockspoke},
	{NamePassThrough, func(_ context.Context, g *Graph, o Options) (*Cluster, error) { return StartPassThrough(g, o) }},
	{NamePerHopRetry, func(_ context.Context, g *Graph, o Options) (*Cluster, error) { return StartPerHopRetry(g, o) }},
}

// NoSystemError reports a system that isn't there.
type NoSystemError struct{ Name string }

// Error names the system.
func (e *NoSystemError) Error() string { return fmt.Sprintf("there is no system %q", e.Name) }

func systemNamed(name string) (System, error) {
	for _, s := range Systems {
		if s.Name == name {
			return s, nil
		}
	}
	return System{}, &NoSystemError{name}
}

// watching returns the system with one service's gates shown while it runs.
func (s System) watching(service string) System {
	start := s.Start
	s.Start = func(ctx context.Context, g *Graph, o Options) (*Cluster, error) {
		o.Watch = service
		return start(ctx, g, o)
	}
	return s
}
