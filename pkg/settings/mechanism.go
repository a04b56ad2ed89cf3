package settings

import (
	"slices"
	"strings"
)

// Mechanism names one part of a mesh's decision making that can be switched off, to measure its benefit at a site or because it does
// harm there.
type Mechanism string

// The mechanisms, by their names in setting mesh.off; Mechanisms says what happens without each.
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
	ServerPace        Mechanism = "server-pace"
	SuccessRate       Mechanism = "success"
	UnresponsivePeers Mechanism = "silence"
	PackedHeaders     Mechanism = "packed-headers"
	GateOrder         Mechanism = "gate-order"
	KindHoldTimes     Mechanism = "kind-holds"
	Quarantine        Mechanism = "held-back"
	RequestSuccess    Mechanism = "request-success"
	ChainTolerance    Mechanism = "chain-tolerance"
	ChainTarget       Mechanism = "chain-target"
	RetryReserve      Mechanism = "retry-reserve"
	Pipelining        Mechanism = "pipelining"
	LatencyBudgets    Mechanism = "budgets"
	TeamShares        Mechanism = "team-shares"
	UploadContinue    Mechanism = "upload-continue"
	HeldSlots         Mechanism = "held-slots"
)

// MechanismInfo describes one mechanism.
type MechanismInfo struct {
	Name Mechanism
	Help string // what happens while it is off
}

// Mechanisms lists all mechanisms in the order of the documentation.
var Mechanisms = []MechanismInfo{
	{RootAdmission, "all root requests are admitted, whatever load the services that they call can carry"},
	{MinShare, "the most urgent kinds may use all of a service's capacity"},
	{CostWeight, "kinds of one rank get the same share, whatever they cost at the bottleneck service"},
	{UsableSlots, "the plan counts on all slots of a server, also while its gate rejects requests"},
	{LateCalls, "a call that is seen after its run's time limit is attributed to another run"},
	{LearnedMemory, "a node starts without knowing which requests make which calls, what they cost and how many arrive"},
	{Retries, "no request is sent to a second server once one has received it"},
	{PreferOwnZone, "servers of all availability zones are treated alike"},
	{SlowdownFactor, "servers are compared by utilization alone, not by their slowdown factor"},
	{ServerPace, "the pace that servers tell in their answers is ignored"},
	{SuccessRate, "a server whose requests fail is treated like any other"},
	{UnresponsivePeers, "unresponsive nodes and connections are used until requests on them time out"},
	{PackedHeaders, "headers between availability zones are sent as text"},
	{GateOrder, "a server's queue is in order of arrival"},
	{KindHoldTimes, "whether a request can finish in time is estimated from the average slot hold time of all kinds"},
	{Quarantine, "a request that crashes its servers is sent to further servers like any other"},
	{RequestSuccess, "kinds are planned for as if all calls of admitted requests succeeded"},
	{ChainTolerance, "a gate may reject as many calls of requests that make several calls there as of requests that make one"},
	{ChainTarget, "admission fills a service alike, however many calls a request makes there"},
	{RetryReserve, "a root request's retry may use all of the retry budget of the services below it"},
	{Pipelining, "the requests of a client connection are served one after the other"},
	{LatencyBudgets, "a call may take all the time until its limit, whatever its request still has to do after it"},
	{TeamShares, "where a kind of request is limited, teams are admitted as their requests come"},
	{UploadContinue, "a long body is sent to another node before the gate there has admitted the request"},
	{HeldSlots, "requests that a server still runs for callers that left count for no slots"},
}

// wholeRequestMechanisms are switched on by setting mesh.wholeRequests. They refuse requests that would fail otherwise, which
// serves fewer where a service has free slots but refuses calls.
var wholeRequestMechanisms = []Mechanism{RequestSuccess, ChainTolerance, ChainTarget, RetryReserve}

// DisabledMechanisms returns the set of mechanisms that are switched off.
func (m *Mesh) DisabledMechanisms() map[Mechanism]bool {
	off := make(map[Mechanism]bool, len(m.Off))
	if !m.WholeRequests {
		for _, x := range wholeRequestMechanisms {
			off[x] = true
		}
	}
	for _, x := range m.Off {
		off[x] = true
	}
	return off
}

// known reports whether the mechanism exists.
func (x Mechanism) known() bool {
	return slices.ContainsFunc(Mechanisms, func(i MechanismInfo) bool { return i.Name == x })
}

// mechanismNames returns the names of all mechanisms, separated by commas, for error messages.
func mechanismNames() string {
	names := make([]string, 0, len(Mechanisms))
	for _, i := range Mechanisms {
		names = append(names, string(i.Name))
	}
	return strings.Join(names, ", ")
}

// mechanisms checks the names in setting mesh.off.
func (c *checker) mechanisms(off []Mechanism) {
	for _, x := range off {
		if !x.known() {
			c.fail("mesh.off", "unknown mechanism %q; the mechanisms are %s", string(x), mechanismNames())
		}
	}
}
