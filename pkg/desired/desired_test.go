package desired

import (
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"
)

// validRoute returns a valid at-most-once route to service s.
func validRoute(name, host, prefix string) Route {
	return Route{Name: name, Host: host, Prefix: prefix, Kind: AtMostOnce, Targets: []Target{{Service: "s", Weight: 1}}}
}

func TestMatchFindsTheLongestPrefixOfTheHost(t *testing.T) {
	c := qt.New(t)
	s, err := New(State{Version: 1, Routes: []Route{validRoute("root", "h", "/"), validRoute("a", "h", "/a/"), validRoute("ab", "h", "/a/b/"), validRoute("o", "o", "/a/")}})
	c.Assert(err, qt.IsNil)
	for _, x := range []struct{ host, path, want string }{
		{"h", "/a/b/c?x=/q/", "ab"},
		{"h", "/a/bc", "a"},
		{"H:80", "/a/", "a"},
		{"h", "/x", "root"},
		{"o", "/a/b/c", "o"},
	} {
		r := s.Match(x.host, x.path)
		c.Assert(r, qt.IsNotNil, qt.Commentf("%v", x))
		c.Assert(r.Name, qt.Equals, x.want, qt.Commentf("%v", x))
	}
	c.Assert(s.Match("o", "/b"), qt.IsNil)
	c.Assert(s.Match("p", "/a/"), qt.IsNil)
	c.Assert(s.Priority("nobody") > s.Priority("a"), qt.IsTrue)
}

// Ranks depend on the order of team priorities and not on their distance: the lag of a request at a gate grows with its rank, so ranks with
// large gaps would keep the less urgent requests waiting for seconds.
func TestRanksIgnoreGapsBetweenTeamPriorities(t *testing.T) {
	c := qt.New(t)
	r := validRoute("a", "h", "/a/")
	r.Priority = 2
	s, err := New(State{Version: 1, Routes: []Route{r}, Teams: []Team{{Name: "x", Priority: 1 << 62}, {Name: "y", Priority: 10}, {Name: "z", Priority: 1 << 62}}})
	c.Assert(err, qt.IsNil)
	c.Check(s.Rank("a", 10), qt.Equals, 2)
	c.Check(s.Rank("a", 1<<62), qt.Equals, 5)
	c.Check(s.Rank("a", 20), qt.Equals, 5) // a priority of another state version
}

func TestInvalidErrorNamesTheField(t *testing.T) {
	c := qt.New(t)
	for field, change := range map[string]func(*Route){
		"route r host":    func(r *Route) { r.Host = "" },
		"route r prefix":  func(r *Route) { r.Prefix = "/a" },
		"route r kind":    func(r *Route) { r.Kind = 0 },
		"route r service": func(r *Route) { r.Targets = nil },
		"route r weight":  func(r *Route) { r.Targets = []Target{{Weight: -1}} },
		"route r split":   func(r *Route) { r.Targets = []Target{{Weight: 0}} },
	} {
		r := validRoute("r", "h", "/a/")
		change(&r)
		_, err := New(State{Version: 1, Routes: []Route{r}})
		var invalid *InvalidError
		c.Assert(errors.As(err, &invalid), qt.IsTrue, qt.Commentf("%s", field))
		c.Assert(invalid.Field, qt.Equals, field)
	}
	_, err := New(State{})
	c.Assert(err, qt.ErrorMatches, ".*version.*")
}
