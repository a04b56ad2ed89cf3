package config

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

func readExample(c *qt.C, name string) []Object {
	file := filepath.Join("..", "..", "examples", name, "config.yaml")
	data, err := os.ReadFile(file)
	c.Assert(err, qt.IsNil)
	objs, err := Parse(file, data)
	c.Assert(err, qt.IsNil)
	return objs
}

func TestExamplesCompile(t *testing.T) {
	c := qt.New(t)
	for name, classes := range map[string]map[Match]string{
		"volta": {
			{Method: "POST", Path: "/hire/invoices/7"}: "billing",
			{Method: "GET", Path: "/hire/invoices/7"}:  "",
			{Method: "GET", Path: "/fleet/maps/3"}:     "map-views",
			{Method: "GET", Path: "/fleet/machines"}:   "positions",
			{Method: "PUT", Path: "/dispatch/fields"}:  "assignments",
		},
		"fraser-bend": {
			{Method: "POST", Path: "/booking/bins"}:  "bookings",
			{Method: "GET", Path: "/booking/bins"}:   "availability",
			{Method: "POST", Path: "/billing/tips"}:  "charges",
			{Method: "GET", Path: "/docs/weights/1"}: "photos-and-manifests",
		},
	} {
		plan, err := Compile(&Document{Version: 1, Objects: readExample(c, name)})
		c.Assert(err, qt.IsNil)
		for m, class := range classes {
			tr, _ := plan.RequestTreatment(m)
			c.Assert(tr, qt.IsNotNil, qt.Commentf("%v", m))
			c.Assert(tr.Class, qt.Equals, class, qt.Commentf("%v", m))
			c.Assert(tr.Retries, qt.Equals, 2)
			c.Assert(tr.Targets, qt.HasLen, 2)
		}
	}
}

func TestParseReportsEveryErrorWithLineAndField(t *testing.T) {
	c := qt.New(t)
	_, err := Parse("bad.yaml", []byte(`kind: Service
name: Bad Name
service: {slots: 0, connections: 5}
---
kind: Class
name: c
class:
  tier: 9
  timeout: fast
---
kind: Policy
name: p
policy:
  selector: "a in"
  targets:
    - {selector: "dc=old", weight: -1}
---
kind: Route
name: r
rout: {service: x}
---
kind: Nonsense
name: n
`))
	var invalid *InvalidError
	c.Assert(errors.As(err, &invalid), qt.IsTrue)
	got := map[string]int{}
	for _, f := range invalid.Faults {
		got[f.Field] = f.Line
	}
	c.Assert(got["name"], qt.Equals, 2)
	c.Assert(got["service.slots"], qt.Equals, 3)
	c.Assert(got["policy.selector"], qt.Equals, 14)
	c.Assert(got["policy.targets.0.weight"], qt.Equals, 16)
	c.Assert(got["rout"], qt.Equals, 20)
	c.Assert(got["kind"], qt.Equals, 22)
	c.Assert(err, qt.ErrorMatches, `(?s).*bad.yaml:9: class.timeout: "fast" isn.t a time with a unit.*`)
}

func TestApplyIsAtomic(t *testing.T) {
	c := qt.New(t)
	doc := &Document{Version: 3, Objects: readExample(c, "volta")}
	_, err := Apply(doc, Change{Put: []Object{
		{Kind: KindService, Name: "good", Service: &ServiceSpec{Slots: 1, Connections: 1}},
		{Kind: KindRoute, Name: "bad", Route: &RouteSpec{Service: "nowhere"}},
	}})
	c.Assert(err, qt.ErrorAs, new(*InvalidError))
	_, err = Apply(doc, Change{Delete: []string{"Policy/none"}})
	c.Assert(err, qt.ErrorAs, new(*ObjectNotFoundError))
	objs, err := Apply(doc, Change{Label: &LabelEdit{Kind: KindVM, Name: "hire-ledger-0", Set: map[string]string{"dc": "new"}}})
	c.Assert(err, qt.IsNil)
	diff := Diff(doc.Objects, objs)
	c.Assert(diff, qt.HasLen, 1)
	c.Assert(diff[0].ID, qt.Equals, "VM/hire-ledger-0")
	c.Assert(doc.Find(KindVM, "hire-ledger-0"), qt.IsNil, qt.Commentf("Apply must not modify its argument"))
}

func TestParseReadsWhatFormatWrites(t *testing.T) {
	c := qt.New(t)
	objs := readExample(c, "volta")
	text, err := Format(objs)
	c.Assert(err, qt.IsNil)
	again, err := Parse("again", []byte(text))
	c.Assert(err, qt.IsNil)
	c.Assert(Diff(objs, again), qt.HasLen, 0)
}

func TestRegisterVersionNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r Register
		highest := int64(0)
		for range 20 {
			v := rapid.Int64Range(1, 10).Draw(t, "version")
			accepted := r.Offer(&Document{Version: v})
			if accepted != (v > highest) {
				t.Fatalf("offered version %d over %d: accepted %v", v, highest, accepted)
			}
			highest = max(highest, v)
			if r.Version() != highest {
				t.Fatalf("register has version %d, want %d", r.Version(), highest)
			}
		}
	})
}

func TestInvalidDocumentDoesNotReplaceValidOne(t *testing.T) {
	c := qt.New(t)
	var r Register
	c.Assert(r.Offer(&Document{Version: 1}), qt.IsTrue)
	bad := &Document{Version: 2, Objects: []Object{{Kind: KindRoute, Name: "r", Route: &RouteSpec{Service: "none"}}}}
	c.Assert(r.Offer(bad), qt.IsFalse)
	c.Assert(r.Version(), qt.Equals, int64(1))
}

func FuzzParse(f *testing.F) {
	f.Add([]byte("kind: Service\nname: a\nservice: {slots: 1, connections: 1}\n"))
	f.Add([]byte("kind: Policy\nname: p\npolicy: {selector: 'a=b', targets: [{selector: '', weight: 1}]}\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		objs, err := Parse("f", data)
		if err != nil {
			return
		}
		text, err := Format(objs)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Parse("again", []byte(text)); err != nil {
			t.Fatalf("%v\n%s", err, text)
		}
	})
}
