package desired

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Kind is the execution guarantee of a route's requests.
type Kind uint8

// The kinds of route.
const (
	Repeatable Kind = iota + 1 // may run more than once
	AtMostOnce                 // run at most once for each attempt of a client
	Download                   // may run more than once, with large answers
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

// Target is a service that receives a share of a route's requests, in proportion to its weight.
type Target struct {
	Service string
	Weight  int
}

// Route assigns the requests of one host and path prefix to services, with their limits.
type Route struct {
	Name        string
	Host        string
	Prefix      string // begins and ends with a slash
	Kind        Kind
	Timeout     time.Duration // longest time that a request is held; 0: no limit
	LatencyGoal time.Duration // an answer within this time has its full value
	Priority    int           // 0 is the most urgent
	MaxAttempts int           // most backend servers that one client attempt is sent to
	Public      bool          // needs no key
	Targets     []Target
	KindName    string `json:",omitempty"` // the kind as configured, if it is unknown
	// Unusable reports that only the name, host and prefix are known: requests are refused.
	Unusable bool `json:",omitempty"`
}

// Service holds the operator's settings of a service.
type Service struct {
	Name           string
	MaxConnections int // to one backend server, from all clients together; 0: unlimited
}

// Limits bounds the requests and connections of clients.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration // for reading a request's header
	IdleTimeout   time.Duration // for which a keep-alive connection may be idle
}

// State is one version of the desired state; it is never changed after New.
type State struct {
	Version  int64
	Source   []byte // as it was read, for other nodes
	Routes   []Route
	Services map[string]Service
	Teams    []Team // see HasTeams
	Limits   Limits
	Problems []Problem `json:",omitempty"` // with single entries; the others are in force

	keysRequired bool // there is a team, if only an unusable one
	byKey        map[keyHash]*Team
	// teamPriorities are the distinct priorities of teams, the most urgent first.
	teamPriorities []int
	byTeam         map[string]*Team
	routeRanks     int // one more than the largest priority of a route
	byHost         map[string]map[string]*Route
	byName         map[string]*Route
}

// New checks and indexes a state. An entry that is invalid by itself is a Problem; the error, an *InvalidError, reports a state that is
// invalid as a whole.
func New(s State) (*State, error) {
	if s.Version <= 0 {
		return nil, &InvalidError{"version", fmt.Sprint(s.Version), "must be above 0"}
	}
	s.byHost = make(map[string]map[string]*Route)
	s.byName = make(map[string]*Route)
	s.Problems = slices.Clip(s.Problems) // the caller's array isn't changed
	s.Routes = s.usedRoutes()
	if err := s.indexRoutes(); err != nil {
		return nil, err
	}
	if err := s.indexTeams(); err != nil {
		return nil, err
	}
	return &s, nil
}

// usedRoutes returns the routes that have a host and a prefix: those with an unknown kind as at most once, the strictest kind, and those with
// another invalid field as unusable.
func (s *State) usedRoutes() []Route {
	used := make([]Route, 0, len(s.Routes))
	for _, r := range s.Routes {
		if err := r.checkPlace(); err != nil {
			s.addProblem(err, LeftOut)
			continue
		}
		if err := r.check(); err != nil {
			if !r.Unusable { // otherwise the decoder has added the problem
				s.addProblem(err, NotServed)
			}
			r = Route{Name: r.Name, Host: r.Host, Prefix: r.Prefix, Kind: AtMostOnce, Unusable: true}
		}
		if r.Kind == 0 {
			r.Kind = AtMostOnce
			s.addProblem(&InvalidError{"route " + r.Name + " kind", r.KindName, "is unknown"}, ServedOnce)
		}
		used = append(used, r)
	}
	return used
}

// indexRoutes indexes the routes; the error is an *InvalidError. An unusable route yields its place to a usable one.
func (s *State) indexRoutes() error {
	for i := range s.Routes {
		r := &s.Routes[i]
		host := strings.ToLower(r.Host)
		if s.byHost[host] == nil {
			s.byHost[host] = make(map[string]*Route)
		}
		other := s.byHost[host][r.Prefix]
		switch {
		case other != nil && !other.Unusable && !r.Unusable:
			return &InvalidError{"route " + r.Name + " prefix", r.Prefix, "is that of route " + other.Name + " as well"}
		case other == nil || other.Unusable:
			s.byHost[host][r.Prefix] = r
		}
		if !r.Unusable {
			s.byName[r.Name] = r
			s.routeRanks = max(s.routeRanks, r.Priority+1)
		}
	}
	return nil
}

// HasRoute reports whether the state has a usable route of that name.
func (s *State) HasRoute(name string) bool { return s.byName[name] != nil }

// unknownRoutePriority is the priority and rank of an unknown route.
const unknownRoutePriority = 1 << 10

// Priority returns the priority of a route by its name; an unknown route comes last.
func (s *State) Priority(route string) int {
	if s == nil || s.byName[route] == nil {
		return unknownRoutePriority
	}
	return s.byName[route].Priority
}

// Rank returns the order of service of a route's requests from a team of the given priority, 0 being the most urgent: by team priority
// first, then by route priority. A team priority counts by its index among those in use, so that large gaps between priorities don't
// delay the less urgent requests. Without teams the rank is the route's priority.
func (s *State) Rank(route string, teamPriority int) int {
	if s == nil || !s.HasRoute(route) {
		return unknownRoutePriority
	}
	index, _ := slices.BinarySearch(s.teamPriorities, teamPriority)
	return index*s.routeRanks + s.Priority(route)
}

// HasService reports whether the state has settings for a service or a route to it.
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
