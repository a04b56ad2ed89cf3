package settings

import (
	"slices"
	"time"

	"github.com/rockspoke/rockspoke/pkg/poison"
)

// Mesh is set where the daemon finds the others by itself, and every request begins beside a backend
// server. Keys, labels and a list of VMs aren't used then.
type Mesh struct {
	Grace       time.Duration `yaml:"grace"`                 // between SIGTERM and SIGKILL
	Apply       time.Duration `yaml:"apply,omitempty"`       // a change of the desired state is in force within it
	RetryRatio  float64       `yaml:"retryRatio,omitempty"`  // repeats a service may see, as a share of its requests
	RetrySlack  float64       `yaml:"retrySlack,omitempty"`  // repeats beyond that share in one window
	RetryWindow time.Duration `yaml:"retryWindow,omitempty"` // window of both
	// StrictRevoke tells that no request runs with a key that was taken away, once it was sent later than Revoke after the confirmation
	// of the desired state that took it away, whatever the node can reach.
	StrictRevoke bool          `yaml:"strictRevoke,omitempty"`
	Revoke       time.Duration `yaml:"revoke,omitempty"`
	// QuotaWindow is the time over which a team's requests are counted; without it quotas aren't kept. QuotaExcess is the share of
	// what the quota allows in a window that may run beyond it, and QuotaSlack how many requests beyond that.
	QuotaWindow time.Duration `yaml:"quotaWindow,omitempty"`
	QuotaExcess float64       `yaml:"quotaExcess,omitempty"`
	QuotaSlack  float64       `yaml:"quotaSlack,omitempty"`
	// Zones are the availability zones among which each quota is divided.
	Zones []string `yaml:"zones,omitempty"`
	// PeerPort is the port at which the other nodes are reached, if it isn't the one that this node binds.
	PeerPort   int             `yaml:"peerPort,omitempty"`
	FirstStart bool            `yaml:"firstStart,omitempty"` // the whole system starts for the first time
	Quarantine QuarantineTimes `yaml:"heldBack,omitempty"`
	// Off lists the mechanisms that are switched off.
	Off []Mechanism `yaml:"off,omitempty"`
}

// QuarantineTimes says for how long requests are remembered under which backend servers ended; what is left out has the defaults of package poison.
type QuarantineTimes struct {
	Suspect time.Duration `yaml:"suspect,omitempty"` // a request under which one or two ended
	First   time.Duration `yaml:"first,omitempty"`   // one that ended three is held back at first
	Factor  int           `yaml:"times,omitempty"`   // by how many times longer after each further end
	Max     time.Duration `yaml:"most,omitempty"`    // at the longest
}

// Policy returns them as package poison goes by them.
func (h QuarantineTimes) Policy() poison.Policy {
	return poison.Policy{SuspectRetention: h.Suspect, FirstQuarantine: h.First, QuarantineFactor: h.Factor, MaxQuarantine: h.Max}
}

// maxHeld is the longest time that a request may be held back.
const maxHeld = 24 * time.Hour

// The bounds of the settings about teams.
const (
	// leastRevoke is the shortest time within which keys can be taken away: a proof takes some calls between nodes.
	leastRevoke = time.Second
	// leastQuotaWindow is the shortest time over which requests are counted: some times that for which nodes have tokens in hand.
	leastQuotaWindow = time.Second
	maxQuotaExcess   = 10.0
)

// teams checks the settings about keys and quotas.
func (c *checker) teams(zone string, m *Mesh) {
	if m.StrictRevoke && (m.Revoke < leastRevoke || m.Revoke > time.Hour) {
		c.fail("mesh.revoke", "%v must be %v to 1h, with a unit, where mesh.strictRevoke is set", m.Revoke, leastRevoke)
	}
	if m.QuotaExcess < 0 || m.QuotaExcess > maxQuotaExcess {
		c.fail("mesh.quotaExcess", "%v must be 0 to %v", m.QuotaExcess, maxQuotaExcess)
	}
	if m.QuotaSlack < 0 {
		c.fail("mesh.quotaSlack", "%v must not be negative", m.QuotaSlack)
	}
	if m.QuotaWindow == 0 {
		return
	}
	if m.QuotaWindow < leastQuotaWindow || m.QuotaWindow > time.Hour {
		c.fail("mesh.quotaWindow", "%v must be %v to 1h, with a unit, or left out", m.QuotaWindow, leastQuotaWindow)
	}
	if !slices.Contains(m.Zones, zone) {
		c.fail("mesh.zones", "%v must have this VM's zone %q, since quotas are divided among the zones", m.Zones, zone)
	}
}

// heldBack checks them.
func (c *checker) heldBack(h QuarantineTimes) {
	for _, d := range []struct {
		field string
		v     time.Duration
	}{
		{"mesh.heldBack.suspect", h.Suspect},
		{"mesh.heldBack.first", h.First},
		{"mesh.heldBack.most", h.Max},
	} {
		if d.v < 0 || d.v > maxHeld {
			c.fail(d.field, "%v must be above 0 and at most %v, with a unit", d.v, maxHeld)
		}
	}
	if h.Factor < 0 || h.Factor > maxHeldTimes {
		c.fail("mesh.heldBack.times", "%d must be 1 to %d, or left out", h.Factor, maxHeldTimes)
	}
	if h.Max > 0 && h.Max < h.First {
		c.fail("mesh.heldBack.most", "%v is below mesh.heldBack.first, %v", h.Max, h.First)
	}
}

// maxHeldTimes bounds by how many times longer a request is held back after each further end.
const maxHeldTimes = 100

// Defaults of the mesh settings, the users' own bounds of today.
const (
	DefaultGrace       = 6 * time.Second
	DefaultApply       = 2 * time.Second
	DefaultRetryRatio  = 0.2
	DefaultRetrySlack  = 40
	DefaultRetryWindow = 10 * time.Second
)

func (m *Mesh) fill() {
	fill(&m.Grace, DefaultGrace)
	fill(&m.Apply, DefaultApply)
	fill(&m.RetryRatio, DefaultRetryRatio)
	fill(&m.RetrySlack, DefaultRetrySlack)
	fill(&m.RetryWindow, DefaultRetryWindow)
}

// maxPort is the highest TCP port.
const maxPort = 1<<16 - 1

// mesh checks the settings of a mesh daemon.
func (c *checker) mesh(s *Settings) {
	c.required("service", s.Service)
	c.required("backend.address", s.Backend.Address)
	c.required("listen.outbound", s.Listen.Outbound)
	c.required("listen.control", s.Listen.Control)
	c.required("listen.ready", s.Listen.Ready)
	c.required("platform.url", s.Platform.URL)
	m := s.Mesh
	for _, d := range []struct {
		field string
		v     time.Duration
	}{
		{"mesh.grace", m.Grace},
		{"mesh.apply", m.Apply},
		{"mesh.retryWindow", m.RetryWindow},
	} {
		if d.v < 0 || d.v > time.Hour {
			c.fail(d.field, "%v must be above 0 and at most 1h, with a unit", d.v)
		}
	}
	c.teams(s.Zone, m)
	if m.RetryRatio < 0 || m.RetryRatio > 1 {
		c.fail("mesh.retryRatio", "%v must be 0 to 1", m.RetryRatio)
	}
	if m.PeerPort < 0 || m.PeerPort > maxPort {
		c.fail("mesh.peerPort", "%d must be 1 to %d, or left out", m.PeerPort, maxPort)
	}
	c.mechanisms(m.Off)
	c.heldBack(m.Quarantine)
	if m.RetrySlack < 0 {
		c.fail("mesh.retrySlack", "%v must not be negative", m.RetrySlack)
	}
}
