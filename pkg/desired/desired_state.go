package desired

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Kind says how often the requests of a route may run.
type Kind uint8

// The kinds of route.
const (
	Repeatable Kind = iota + 1 // may run more than once
	AtMostOnce                 // at most once for each attempt of a client
	Download                   // large answers, repeatable
)

// String names the kind for logs.
func (k Kind) String() string {
	switch k {
	case Repeatable:
		return "repeatable"
	case AtMostOnce:
		return "once"
	case Download:
		return "download"
	default:
		return "unknown"
	}
}

// Target is one part of a split route.
type Target struct {
	Service string
	Weight  int
}

// Route says where the requests of one host and path prefix go, and under which bounds.
type Route struct {
	Name        string
	Host        string
	Prefix      string // begins and ends with a slash
	Kind        Kind
	Timeout     time.Duration // longest time that a request is held; 0: no bound
	LatencyGoal time.Duration // an answer within it earns its full worth
	Priority    int           // 0 is the most urgent
	MaxAttempts int           // most backend servers that one attempt of a client is sent to
	Public      bool          // needs no key
	Targets     []Target
}

// Service is what the operator says of a service.
type Service struct {
	Name           string
	MaxConnections int // of all callers together, at one backend server; 0: not bounded
}

// Limits bounds what clients may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration // longest time for a request's header
	IdleTimeout   time.Duration // longest rest of a kept connection
}

// State is one version of the desired state; it is never changed after New.
type State struct {
	Version  int64
	Source   []byte // as it was read, to be handed on to other nodes
	Routes   []Route
	Services map[string]Service
	Teams    []Team // none: requests need no key
	Limits   Limits

	byKey map[keyDigest]*Team
	// teamPriorities are those that teams have, the most urgent first.
	teamPriorities []int
	byTeam         map[string]*Team
	ranks          int // priorities of routes: as many as the most that one has, and one
	byHost         map[string]map[string]*Route
	byName         map[string]*Route
}

// New indexes a state; the error is an *InvalidError.
func New(s State) (*State, error) {
	if s.Version <= 0 {
		return nil, &InvalidError{"version", fmt.Sprint(s.Version), "must be above 0"}
	}
	s.byHost = make(map[string]map[string]*Route)
	s.byName = make(map[string]*Route)
	for i := range s.Routes {
		r := &s.Routes[i]
		if err := r.check(); err != nil {
			return nil, err
		}
		host := strings.ToLower(r.Host)
		if s.byHost[host] == nil {
			s.byHost[host] = make(map[string]*Route)
		}
		s.byHost[host][r.Prefix] = r
		s.byName[r.Name] = r
		s.ranks = max(s.ranks, r.Priority+1)
	}
	if err := s.indexTeams(); err != nil {
		return nil, err
	}
	return &s, nil
}

// HasRoute tells whether the state has a route of that name.
func (s *State) HasRoute(name string) bool { return s.byName[name] != nil }

// lowest is the priority of a route that isn't known.
const lowest = 1 << 10

// Priority returns the priority of a route by its name; one that isn't known comes last.
func (s *State) Priority(route string) int {
	if s == nil || s.byName[route] == nil {
		return lowest
	}
	return s.byName[route].Priority
}

// Rank returns where requests of a route stand whose team has a priority: that of the team goes before the route's, and what counts
// is its place among those that there are, however far apart they are. Without teams it is the route's own.
func (s *State) Rank(route string, teamPriority int) int {
	if s == nil || !s.HasRoute(route) {
		return lowest
	}
	place, _ := slices.BinarySearch(s.teamPriorities, teamPriority)
	return place*s.ranks + s.Priority(route)
}

// HasService tells whether the state has a service, or a route that leads to it.
func (s *State) HasService(service string) bool {
	if s == nil {
		return false
	}
	if _, ok := s.Services[service]; ok {
		return true
	}
	for i := range s.Routes {
		for _, t := range s.Routes[i].Targets {
			if t.Service == service {
				return true
			}
		}
	}
	return false
}
