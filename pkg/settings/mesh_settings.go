package settings

import (
	"slices"
	"time"

	"github.com/rockspoke/rockspoke/pkg/poison"
)

// Mesh holds the settings of a node of a mesh: nodes find one another, and every request enters at the node of a VM with a backend
// server. Settings of keys and labels, and the list of VMs, aren't used then.
type Mesh struct {
	Grace       time.Duration `yaml:"grace"`                 // between SIGTERM and SIGKILL
	Heartbeat   time.Duration `yaml:"heartbeat,omitempty"`   // time between heartbeats of a backend server, about
	Apply       time.Duration `yaml:"apply,omitempty"`       // time within which a change of the desired state is in force
	RetryRatio  float64       `yaml:"retryRatio,omitempty"`  // retries that a service may receive, as a share of its requests
	RetrySlack  float64       `yaml:"retrySlack,omitempty"`  // further retries in one window, beyond that share
	RetryWindow time.Duration `yaml:"retryWindow,omitempty"` // window for RetryRatio and RetrySlack
	// StrictRevoke guarantees that a request with a revoked key doesn't run if it was sent more than Revoke after the confirmation of the
	// desired state that revoked the key, even if the node is partitioned.
	StrictRevoke bool          `yaml:"strictRevoke,omitempty"`
	Revoke       time.Duration `yaml:"revoke,omitempty"`
	// QuotaWindow is the time over which a team's requests are counted; if it is 0, quotas aren't enforced. QuotaExcess is the share of
	// the quota of a window by which a team may exceed it, and QuotaSlack is a number of requests allowed beyond that.
	QuotaWindow time.Duration `yaml:"quotaWindow,omitempty"`
	QuotaExcess float64       `yaml:"quotaExcess,omitempty"`
	QuotaSlack  float64       `yaml:"quotaSlack,omitempty"`
	// Zones lists the availability zones among which each quota is divided.
	Zones []string `yaml:"zones,omitempty"`
	// PeerPort is the port of the other nodes, 0 if it is the port that this node binds.
	PeerPort   int             `yaml:"peerPort,omitempty"`
	FirstStart bool            `yaml:"firstStart,omitempty"` // the whole system starts for the first time
	Quarantine QuarantineTimes `yaml:"heldBack,omitempty"`
	// WholeRequests has kinds admitted by the probability that whole requests succeed. Without it the mechanisms named in
	// wholeRequestMechanisms are switched off.
	WholeRequests bool `yaml:"wholeRequests,omitempty"`
	// Off lists the mechanisms to switch off.
	Off []Mechanism `yaml:"off,omitempty"`
}

// QuarantineTimes says how long requests that crashed backend servers are remembered and quarantined; a field that is 0 has the default of
// package poison.
type QuarantineTimes struct {
	Suspect time.Duration `yaml:"suspect,omitempty"` // how long a request that crashed one or two servers is remembered
	First   time.Duration `yaml:"first,omitempty"`   // first quarantine of a request that crashed three servers
	Factor  int           `yaml:"times,omitempty"`   // factor by which each further crash lengthens the quarantine
	Max     time.Duration `yaml:"most,omitempty"`    // longest quarantine
}

// Policy returns the times as a policy of package poison, without its defaults.
func (h QuarantineTimes) Policy() poison.Policy {
	return poison.Policy{SuspectRetention: h.Suspect, FirstQuarantine: h.First, QuarantineFactor: h.Factor, MaxQuarantine: h.Max}
}

// maxQuarantine is the highest value of each of QuarantineTimes' durations.
const maxQuarantine = 24 * time.Hour

// The limits of the settings about teams.
const (
	// minRevoke is the shortest time within which keys can be revoked: a freshness proof takes several calls between nodes.
	minRevoke = time.Second
	// minQuotaWindow is the shortest time over which requests are counted: a small multiple of the time for which nodes hold tokens.
	minQuotaWindow = time.Second
	maxQuotaExcess = 10.0
)

// teams checks the settings about teams' keys and quotas.
func (c *checker) teams(zone string, m *Mesh) {
	if m.StrictRevoke && (m.Revoke < minRevoke || m.Revoke > time.Hour) {
		c.fail("mesh.revoke", "%v must be %v to 1h, with a unit, where mesh.strictRevoke is set", m.Revoke, minRevoke)
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
	if m.QuotaWindow < minQuotaWindow || m.QuotaWindow > time.Hour {
		c.fail("mesh.quotaWindow", "%v must be %v to 1h, with a unit, or left out", m.QuotaWindow, minQuotaWindow)
	}
	if !slices.Contains(m.Zones, zone) {
		c.fail("mesh.zones", "%v must contain this VM's zone %q, since quotas are divided among the zones", m.Zones, zone)
	}
}

// quarantine checks the quarantine times.
func (c *checker) quarantine(h QuarantineTimes) {
	for _, d := range []struct {
		field string
		v     time.Duration
	}{
		{"mesh.heldBack.suspect", h.Suspect},
		{"mesh.heldBack.first", h.First},
		{"mesh.heldBack.most", h.Max},
	} {
		if d.v < 0 || d.v > maxQuarantine {
			c.fail(d.field, "%v must be above 0 and at most %v, with a unit", d.v, maxQuarantine)
		}
	}
	if h.Factor < 0 || h.Factor > maxQuarantineFactor {
		c.fail("mesh.heldBack.times", "%d must be 1 to %d, or left out", h.Factor, maxQuarantineFactor)
	}
	if h.Max > 0 && h.Max < h.First {
		c.fail("mesh.heldBack.most", "%v is below mesh.heldBack.first, %v", h.Max, h.First)
	}
}

// maxQuarantineFactor is the highest value of QuarantineTimes.Factor.
const maxQuarantineFactor = 100

// Defaults of the mesh settings, which are the limits that the users work with.
const (
	DefaultGrace       = 6 * time.Second
	DefaultHeartbeat   = 1500 * time.Millisecond
	DefaultApply       = 2 * time.Second
	DefaultRetryRatio  = 0.2
	DefaultRetrySlack  = 40
	DefaultRetryWindow = 10 * time.Second
)

// setDefaults sets every field that is 0 to its default.
func (m *Mesh) setDefaults() {
	setDefault(&m.Grace, DefaultGrace)
	setDefault(&m.Heartbeat, DefaultHeartbeat)
	setDefault(&m.Apply, DefaultApply)
	setDefault(&m.RetryRatio, DefaultRetryRatio)
	setDefault(&m.RetrySlack, DefaultRetrySlack)
	setDefault(&m.RetryWindow, DefaultRetryWindow)
}

// maxPort is the highest TCP port.
const maxPort = 1<<16 - 1

// mesh checks the settings of a mesh node; s.Mesh must be set.
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
		{"mesh.heartbeat", m.Heartbeat},
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
	c.quarantine(m.Quarantine)
	if m.RetrySlack < 0 {
		c.fail("mesh.retrySlack", "%v must not be negative", m.RetrySlack)
	}
}
