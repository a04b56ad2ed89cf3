package advertised

import (
	"errors"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestLoadHasThreeOrFourFigures(t *testing.T) {
	c := qt.New(t)
	loads := Names{Load: "X-Load"}
	for text, want := range map[string]Load{
		"3,4,58,250":     {Running: 3, Waiting: 4, Slots: 58, Pace: 2.5},
		"3, 4, 58, 70":   {Running: 3, Waiting: 4, Slots: 58, Pace: 0.7},
		"3,4,58":         {Running: 3, Waiting: 4, Slots: 58},
		"0,0,0,10000":    {Pace: 100},
		"000,0,0000,010": {Pace: 0.1},
	} {
		got, err := loads.ParseLoad(http.Header{"X-Load": {text}})
		c.Check(err, qt.IsNil)
		c.Check(got, qt.Equals, want, qt.Commentf("%q", text))
	}
	got, err := loads.ParseLoad(http.Header{})
	c.Check(err, qt.IsNil)
	c.Check(got, qt.Equals, Load{})
	got, err = Names{}.ParseLoad(http.Header{"": {"1,2,3,4"}})
	c.Check(err, qt.IsNil)
	c.Check(got, qt.Equals, Load{})
}

// A pace of 0, or one read from a broken header, would send all work to one server or none.
func TestUnusableLoadsAreErrors(t *testing.T) {
	c := qt.New(t)
	for _, values := range [][]string{
		{""},
		{"1,2"},
		{"1,2,3,"},
		{"1,2,3,100,5"},
		{"1,2,3,0"},
		{"1,2,3,9"},
		{"1,2,3,10001"},
		{"1,2,3,-100"},
		{"1,2,3,+100"},
		{"1,2,3,1e2"},
		{"1,2,3,NaN"},
		{"-1,2,3,100"},
		{"1,2,99999999999999999999,100"},
		{"1;2;3;100"},
		{"1,2,3,100", "1,2,3,100"},
		{strings.Repeat("1", 400)},
	} {
		got, err := Names{Load: "X-Load"}.ParseLoad(http.Header{"X-Load": values})
		var v *ValueError
		c.Check(errors.As(err, &v), qt.IsTrue, qt.Commentf("%q", values))
		c.Check(got, qt.Equals, Load{})
		c.Check(len(v.Error()) < 200, qt.IsTrue)
	}
}
