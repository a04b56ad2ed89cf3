package settings

import (
	"slices"
	"strings"
)

// Mechanism names one part of how a mesh decides, which can be switched off: to see what it is worth at a site, or
// to go without it should it do harm.
type Mechanism string

// The mechanisms.
const (
	RootAdmission     Mechanism = "admission"
	MinShare          Mechanism = "least-part"
	CostWeight        Mechanism = "cost-weight"
	UsableSlots       Mechanism = "room-control"
	LateCalls         Mechanism = "late-calls"
	LearnedMemory     Mechanism = "learned-memory"
	Retries           Mechanism = "repeats"
	PreferOwnZone     Mechanism = "near-first"
	SlowdownFactor    Mechanism = "pace"
	SuccessRate       Mechanism = "success"
	UnresponsivePeers Mechanism = "silence"
	PackedHeaders     Mechanism = "packed-headers"
	GateOrder         Mechanism = "gate-order"
	KindHoldTimes     Mechanism = "kind-holds"
	Quarantine        Mechanism = "held-back"
)

// MechanismInfo describes one mechanism.
type MechanismInfo struct {
	Name Mechanism
	Help string // what goes on without it
}

// Mechanisms lists them all.
var Mechanisms = []MechanismInfo{
	{RootAdmission, "all root requests are taken in, whatever the services below can carry"},
	{MinShare, "the most urgent kinds may take all of a service"},
	{CostWeight, "kinds of one rank get the same share, whatever they take of the tightest service"},
	{UsableSlots, "a gate that turns requests away is planned with in full"},
	{LateCalls, "a call that is seen after its run's time limit is taken for another run's"},
	{LearnedMemory, "a node that starts knows nothing of which requests make which calls, what they cost and how many come"},
	{Retries, "no request is sent to a second server once one has got it"},
	{PreferOwnZone, "servers of all availability zones are compared alike"},
	{SlowdownFactor, "servers are compared by use alone, not by how fast they are"},
	{SuccessRate, "a server that fails is compared like any other"},
	{UnresponsivePeers, "a node that has fallen silent is sent to until requests to it time out, and so are connections that have"},
	{PackedHeaders, "headers between availability zones are sent as text"},
	{GateOrder, "a server's queue is in the order of arrival"},
	{KindHoldTimes, "whether a request can end in time goes by the average of all kinds"},
	{Quarantine, "a request that ends the servers that run it goes on to others like any request"},
}

// DisabledMechanisms returns the mechanisms that are switched off.
func (m *Mesh) DisabledMechanisms() map[Mechanism]bool {
	off := make(map[Mechanism]bool, len(m.Off))
	for _, x := range m.Off {
		off[x] = true
	}
	return off
}

// known tells whether there is such a mechanism.
func (x Mechanism) known() bool {
	return slices.ContainsFunc(Mechanisms, func(i MechanismInfo) bool { return i.Name == x })
}

// mechanismNames lists the names, for error messages.
func mechanismNames() string {
	names := make([]string, 0, len(Mechanisms))
	for _, i := range Mechanisms {
		names = append(names, string(i.Name))
	}
	return strings.Join(names, ", ")
}

// mechanisms checks the list of those that are switched off.
func (c *checker) mechanisms(off []Mechanism) {
	for _, x := range off {
		if !x.known() {
			c.fail("mesh.off", "%q is no mechanism; there are %s", string(x), mechanismNames())
		}
	}
}
