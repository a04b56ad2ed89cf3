package settings

import (
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rockspoke/rockspoke/pkg/config"
)

// meshFile is a valid settings file that ends in its mesh section, so that a test can append mesh settings.
const meshFile = `vm: a
zone: z1
service: s
listen: {peers: 127.0.0.1:1, outbound: 127.0.0.1:2, control: 127.0.0.1:3, ready: 127.0.0.1:3}
backend: {address: 127.0.0.1:4}
platform: {url: "http://127.0.0.1:5"}
mesh:
  grace: 6s
`

func TestTeamSettings(t *testing.T) {
	c := qt.New(t)
	s, err := Parse("m.yaml", []byte(meshFile+`  strictRevoke: true
  revoke: 5s
  quotaWindow: 5s
  quotaExcess: 0.1
  quotaSlack: 20
  zones: [z1, z2]
`))
	c.Assert(err, qt.IsNil)
	c.Check(s.Mesh.Revoke, qt.Equals, 5*time.Second)
	c.Check(s.Mesh.QuotaExcess, qt.Equals, 0.1)
	c.Check(s.Mesh.Zones, qt.DeepEquals, []string{"z1", "z2"})
}

func TestInvalidTeamSettingsAreRejected(t *testing.T) {
	c := qt.New(t)
	for field, lines := range map[string]string{
		"mesh.revoke":      "  strictRevoke: true\n",
		"mesh.quotaExcess": "  quotaExcess: -1\n",
		"mesh.quotaSlack":  "  quotaSlack: -1\n",
		"mesh.quotaWindow": "  quotaWindow: 10ms\n  zones: [z1]\n",
		"mesh.zones":       "  quotaWindow: 5s\n  zones: [z2]\n",
	} {
		_, err := Parse("m.yaml", []byte(meshFile+lines))
		var invalid *config.InvalidError
		c.Assert(errors.As(err, &invalid), qt.IsTrue, qt.Commentf("%s", field))
		c.Assert(invalid.Faults, qt.HasLen, 1, qt.Commentf("%v", err))
		c.Check(invalid.Faults[0].Field, qt.Equals, field)
	}
}
