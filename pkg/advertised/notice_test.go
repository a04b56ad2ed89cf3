package advertised

import (
	"errors"
	"math"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

var names = Names{RateLimit: "X-Limit", Leaving: "X-Leaving"}

func header(values ...string) http.Header { return http.Header{"X-Limit": values} }

func TestRateLimitIsADecimalNumber(t *testing.T) {
	c := qt.New(t)
	for text, want := range map[string]float64{"15.5": 15.5, "0": 0, "0.2": 0.2, "007": 7, "12.": 12, ".5": 0.5, strings.Repeat("9", 18): 1e18} {
		got, err := names.ParseRateLimit(header(text))
		c.Check(err, qt.IsNil)
		c.Check(got, qt.Equals, RateLimit{true, want}, qt.Commentf("%q", text))
	}
	got, err := names.ParseRateLimit(http.Header{})
	c.Check(err, qt.IsNil)
	c.Check(got, qt.Equals, RateLimit{})
}

func TestUnusableRateLimitsAreErrors(t *testing.T) {
	c := qt.New(t)
	for _, values := range [][]string{
		{""},
		{"-1"},
		{"+1"},
		{"NaN"},
		{"Inf"},
		{"-Infinity"},
		{"1e9"},
		{"0x1p4"},
		{"1_000"},
		{"."},
		{"1.2.3"},
		{"15,5"},
		{" 4"},
		{"4 per second"},
		{"1", "2"},
		{"1", "1"},
		{strings.Repeat("1", 400)},
		{"0." + strings.Repeat("0", 40)},
	} {
		got, err := names.ParseRateLimit(header(values...))
		var v *ValueError
		c.Check(errors.As(err, &v), qt.IsTrue, qt.Commentf("%q", values))
		c.Check(got, qt.Equals, RateLimit{})
		c.Check(len(v.Error()) < 200, qt.IsTrue)
	}
}

func TestLeavingIsOneOrTrue(t *testing.T) {
	c := qt.New(t)
	for text, want := range map[string]bool{"1": true, "true": true, "0": false, "false": false, "": false} {
		got, err := names.ParseLeaving(http.Header{"X-Leaving": {text}})
		c.Check(err, qt.IsNil)
		c.Check(got, qt.Equals, want, qt.Commentf("%q", text))
	}
	_, err := names.ParseLeaving(http.Header{"X-Leaving": {"soon"}})
	c.Check(err, qt.ErrorMatches, `X-Leaving: "soon": neither 1 nor 0`)
}

func TestHeadersWithoutANameAreNotRead(t *testing.T) {
	c := qt.New(t)
	h := http.Header{"": {"1"}}
	limit, err := Names{}.ParseRateLimit(h)
	c.Check(err, qt.IsNil)
	c.Check(limit.Advertised, qt.IsFalse)
	leaving, err := Names{}.ParseLeaving(h)
	c.Check(err, qt.IsNil)
	c.Check(leaving, qt.IsFalse)
}

func FuzzRateLimit(f *testing.F) {
	f.Add("15.5")
	f.Add("1e400")
	f.Fuzz(func(t *testing.T, text string) {
		l, err := names.ParseRateLimit(header(text))
		if err == nil && (l.PerSecond < 0 || math.IsInf(l.PerSecond, 0) || math.IsNaN(l.PerSecond)) {
			t.Fatalf("%q: %v", text, l.PerSecond)
		}
	})
}
