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

// A route that is invalid by itself must not take the others out of force, must not be served otherwise than configured, and must not leave its
// requests to a route with a shorter prefix.
func TestInvalidRouteAffectsOnlyItself(t *testing.T) {
	c := qt.New(t)
	for field, x := range map[string]struct {
		effect Effect
		change func(*Route)
	}{
		"route r host":    {LeftOut, func(r *Route) { r.Host = "" }},
		"route r prefix":  {LeftOut, func(r *Route) { r.Prefix = "/a" }},
		"route r kind":    {ServedOnce, func(r *Route) { r.Kind, r.KindName = 0, "new" }},
		"route r service": {NotServed, func(r *Route) { r.Targets = nil }},
		"route r weight":  {NotServed, func(r *Route) { r.Targets = []Target{{Weight: -1}} }},
		"route r split":   {NotServed, func(r *Route) { r.Targets = []Target{{Weight: 0}} }},
	} {
		r := validRoute("r", "h", "/a/")
		r.Kind = Repeatable
		x.change(&r)
		s, err := New(State{Version: 1, Routes: []Route{r, validRoute("root", "h", "/")}})
		c.Assert(err, qt.IsNil, qt.Commentf("%s", field))
		c.Assert(s.Problems, qt.HasLen, 1, qt.Commentf("%s", field))
		c.Check(s.Problems[0].Field, qt.Equals, field)
		c.Check(s.Problems[0].Effect, qt.Equals, x.effect)
		c.Check(s.Match("h", "/b").Name, qt.Equals, "root")
		got := s.Match("h", "/a/x")
		c.Check(got.Name == "r", qt.Equals, x.effect != LeftOut, qt.Commentf("%s", field))
		c.Check(got.Kind, qt.Equals, AtMostOnce)
		c.Check(got.Unusable, qt.Equals, x.effect == NotServed)
	}
}

func TestInvalidErrorNamesTheField(t *testing.T) {
	c := qt.New(t)
	twoAt := []Route{validRoute("r", "h", "/a/"), validRoute("q", "H", "/a/")}
	for field, s := range map[string]State{
		"version":        {},
		"route q prefix": {Version: 1, Routes: twoAt},
		"team a name":    {Version: 1, Teams: []Team{{Name: "a"}, {Name: "a"}}},
		"team b key":     {Version: 1, Teams: []Team{{Name: "a", Keys: []Key{"k"}}, {Name: "b", Keys: []Key{"k"}}}},
	} {
		_, err := New(s)
		var invalid *InvalidError
		c.Assert(errors.As(err, &invalid), qt.IsTrue, qt.Commentf("%s", field))
		c.Assert(invalid.Field, qt.Equals, field)
	}
	twoAt[0].Unusable = true
	s, err := New(State{Version: 1, Routes: twoAt})
	c.Assert(err, qt.IsNil)
	c.Check(s.Match("h", "/a/").Name, qt.Equals, "q", qt.Commentf("an unusable route doesn't take the place of another"))
}

// The only team is unusable: its key must admit nothing, and routes that need a key must not be open.
func TestUnusableTeamAdmitsNothing(t *testing.T) {
	c := qt.New(t)
	for _, team := range []Team{{Name: "a", Keys: []Key{"k"}, Unusable: true}, {Name: "a", Keys: []Key{"k"}, Rate: -1}, {Name: "a", Keys: []Key{"k", "two words"}}} {
		s, err := New(State{Version: 1, Teams: []Team{team}})
		c.Assert(err, qt.IsNil)
		c.Check(s.HasTeams(), qt.IsTrue)
		c.Check(s.TeamByKey("k").Unusable, qt.IsTrue)
		c.Check(s.TeamByKey("two words"), qt.IsNil)
		c.Check(s.Team("a"), qt.IsNil)
		s, err = New(State{Version: 1, Teams: []Team{team, {Name: "b", Keys: []Key{"k"}}}})
		c.Assert(err, qt.IsNil)
		c.Check(s.TeamByKey("k").Name, qt.Equals, "b")
		c.Check(s.TeamByKey("k").Unusable, qt.IsFalse)
	}
}
