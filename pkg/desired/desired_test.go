package desired

import (
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"
)

func valid(name, host, prefix string) Route {
	return Route{Name: name, Host: host, Prefix: prefix, Kind: Once, Targets: []Target{{Service: "s", Weight: 1}}}
}

func TestLongestPrefixOfTheHost(t *testing.T) {
	c := qt.New(t)
	s, err := New(State{Version: 1, Routes: []Route{valid("root", "h", "/"), valid("a", "h", "/a/"), valid("ab", "h", "/a/b/"), valid("o", "o", "/a/")}})
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

func TestFaultsNameTheField(t *testing.T) {
	c := qt.New(t)
	for field, change := range map[string]func(*Route){
		"route r host":    func(r *Route) { r.Host = "" },
		"route r prefix":  func(r *Route) { r.Prefix = "/a" },
		"route r kind":    func(r *Route) { r.Kind = 0 },
		"route r service": func(r *Route) { r.Targets = nil },
		"route r weight":  func(r *Route) { r.Targets = []Target{{Weight: -1}} },
		"route r split":   func(r *Route) { r.Targets = []Target{{Weight: 0}} },
	} {
		r := valid("r", "h", "/a/")
		change(&r)
		_, err := New(State{Version: 1, Routes: []Route{r}})
		var invalid *InvalidError
		c.Assert(errors.As(err, &invalid), qt.IsTrue, qt.Commentf("%s", field))
		c.Assert(invalid.Field, qt.Equals, field)
	}
	_, err := New(State{})
	c.Assert(err, qt.ErrorMatches, ".*version.*")
}
