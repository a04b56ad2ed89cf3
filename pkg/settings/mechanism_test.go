package settings

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rockspoke/rockspoke/pkg/config"
	"github.com/rockspoke/rockspoke/pkg/docpage"
)

const meshSettings = `vm: a
zone: z
service: s
listen: {peers: "127.0.0.1:1", outbound: "127.0.0.1:2", control: "127.0.0.1:3", ready: "127.0.0.1:4"}
backend: {address: "127.0.0.1:5"}
platform: {url: "http://127.0.0.1:6"}
mesh: {grace: 6s, wholeRequests: true, off: [%s]}
`

func TestMechanismsAreSwitchedOffByName(t *testing.T) {
	c := qt.New(t)
	s, err := Parse("d.yaml", fmt.Appendf(nil, meshSettings, "pace, room-control"))
	c.Assert(err, qt.IsNil)
	c.Assert(s.Mesh.DisabledMechanisms(), qt.DeepEquals, map[Mechanism]bool{SlowdownFactor: true, UsableSlots: true})
	_, err = Parse("d.yaml", fmt.Appendf(nil, meshSettings, "pace, speed"))
	var invalid *config.InvalidError
	c.Assert(errors.As(err, &invalid), qt.IsTrue)
	c.Assert(invalid.Faults, qt.HasLen, 1)
	c.Assert(err.Error(), qt.Contains, `unknown mechanism "speed"; the mechanisms are admission, least-part`)
}

// Guards against admission by whole requests where no setting asks for it.
func TestWholeRequestsAreAskedFor(t *testing.T) {
	c := qt.New(t)
	off := (&Mesh{}).DisabledMechanisms()
	c.Assert(off, qt.DeepEquals, map[Mechanism]bool{RequestSuccess: true, ChainTolerance: true, ChainTarget: true, RetryReserve: true})
	c.Assert((&Mesh{WholeRequests: true}).DisabledMechanisms(), qt.HasLen, 0)
}

func TestDocumentationListsEveryMechanism(t *testing.T) {
	c := qt.New(t)
	rows, err := docpage.Rows("../../docs/OPERATIONS.md")
	c.Assert(err, qt.IsNil)
	var want []string
	for _, m := range Mechanisms {
		want = append(want, fmt.Sprintf("| `%s` | %s |", m.Name, m.Help))
	}
	c.Assert(rows, qt.DeepEquals, want)
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	c.Assert(err, qt.IsNil)
	c.Assert(strings.Contains(string(page), "mesh.off"), qt.IsTrue)
}

func TestInvalidQuarantineTimesAreRejected(t *testing.T) {
	c := qt.New(t)
	text := strings.Replace(meshSettings, "off: [%s]", "heldBack: {suspect: -1s, first: 30m, times: 1000, most: 10m}", 1)
	_, err := Parse("d.yaml", []byte(text))
	c.Assert(err, qt.IsNotNil)
	for _, field := range []string{"mesh.heldBack.suspect", "mesh.heldBack.times", "mesh.heldBack.most"} {
		c.Check(err.Error(), qt.Contains, field)
	}
	policy := QuarantineTimes{First: time.Minute}.Policy()
	policy.SetDefaults()
	c.Assert(policy.FirstQuarantine, qt.Equals, time.Minute)
	c.Assert(policy.QuarantineFactor > 1, qt.IsTrue)
}
