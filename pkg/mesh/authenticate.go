package mesh

import (
	"net/http"
	"strings"

	"github.com/rockspoke/rockspoke/pkg/clock"
	"github.com/rockspoke/rockspoke/pkg/desired"
	"github.com/rockspoke/rockspoke/pkg/freshness"
	"github.com/rockspoke/rockspoke/pkg/wire"
)

// keyRefusal is why a request is rejected because of its key: the reason in the answer and its HTTP status.
type keyRefusal struct {
	reason wire.Reason
	status int
}

var (
	// unknownKey: the newest desired state has no such key.
	unknownKey = &keyRefusal{wire.ReasonNoTeamKey, http.StatusUnauthorized}
	// unverifiableKey: a newer desired state that this node doesn't have may have added or removed the key.
	unverifiableKey = &keyRefusal{wire.ReasonStaleState, http.StatusServiceUnavailable}
	// unusableTeam: the entry of the key's team is invalid, so that its quota and priority aren't known.
	unusableTeam = &keyRefusal{wire.ReasonInvalidEntry, http.StatusServiceUnavailable}
)

// needsKeys reports whether requests need a key, except on public routes. With strict revocation they need one even
// if no team is left.
func (n *Node) needsKeys(s *desired.State) bool { return s.HasTeams() || n.cfg.Mesh.StrictRevoke }

// authenticate returns the team that a request belongs to, or why it is rejected. A request on a public route belongs to no team, whatever
// it carries: calls of backend servers have no key, and they use public routes.
//
// The key is checked only here, as soon as the request is read. The request was sent before that, so the revocation bound holds for the time
// of sending, however long the request waits afterwards.
func (n *Node) authenticate(r *http.Request, s *desired.State, route *desired.Route) (*desired.Team, *keyRefusal) {
	if route.Public || !n.needsKeys(s) {
		return nil, nil
	}
	team := n.teamForKey(r.Header[n.names.Key], s)
	if team == nil {
		if !n.mayRejectKeys(s) {
			return nil, unverifiableKey
		}
		return nil, unknownKey
	}
	if !n.mayAcceptKeys(s) {
		return nil, unverifiableKey
	}
	if team.Unusable {
		return nil, unusableTeam
	}
	return team, nil
}

// awaitFreshnessProof waits, on a node that has just started, for the freshness proof that strict revocation requires. It returns the state in
// force afterwards and the request's route in it.
func (n *Node) awaitFreshnessProof(r *http.Request, s *desired.State, route *desired.Route) (*desired.State, *desired.Route) {
	if route.Public || !n.cfg.Mesh.StrictRevoke {
		return s, route
	}
	waited := false
	for !n.mayAcceptKeys(s) && n.pollDuringStartup(r.Context()) {
		s, waited = n.state.Load(), true
	}
	if waited {
		route = s.Match(r.Host, r.RequestURI)
	}
	return s, route
}

// teamForKey returns the team of the single key in the values of the key header, or nil if there isn't exactly one valid key.
func (n *Node) teamForKey(values []string, s *desired.State) *desired.Team {
	if len(values) != 1 {
		return nil
	}
	scheme, key, ok := strings.Cut(values[0], " ")
	if !ok || !strings.EqualFold(scheme, n.names.KeyScheme) || key == "" || len(key) > desired.MaxKeyBytes {
		return nil
	}
	return s.TeamByKey(key)
}

// refuseKey answers a request that is rejected because of its key. The log line has the key's fingerprint, never the key.
func (n *Node) refuseKey(w http.ResponseWriter, r *http.Request, route *desired.Route, refusal *keyRefusal) {
	if refusal.status == http.StatusUnauthorized {
		w.Header().Set("WWW-Authenticate", n.names.KeyScheme)
	}
	age, proven := n.proofAge()
	n.callLog.Info("key refused", "request", r.Header.Get(n.names.AttemptID), "route", route.Name, "reason", refusal.reason,
		"key", n.keyFingerprint(r.Header[n.names.Key]), "version", n.stateVersion(), "proven", proven, "proof_age", age)
	n.refuseUnrouted(w, r, refusal.reason, refusal.status)
}

// keyFingerprint returns the fingerprint of the key in the values of the key header, or "none".
func (n *Node) keyFingerprint(values []string) string {
	if len(values) != 1 {
		return "none"
	}
	_, key, _ := strings.Cut(values[0], " ")
	return desired.Key(key).Fingerprint()
}

// mayAcceptKeys reports whether a key in the given state may be accepted: with strict revocation only while a freshness proof for that state is valid.
func (n *Node) mayAcceptKeys(s *desired.State) (accept bool) {
	if !n.cfg.Mesh.StrictRevoke {
		return true
	}
	now := clock.BootNow(n.clock)
	n.proofs.withTracker(func(t *freshness.ProofTracker) { accept = t.MayAcceptKey(now, s.Version) })
	return accept
}

// mayRejectKeys reports whether a key that the given state lacks is certain to be unknown.
func (n *Node) mayRejectKeys(s *desired.State) bool {
	if !n.stateIsFresh() {
		return false
	}
	certain := true
	if n.cfg.Mesh.StrictRevoke {
		now := clock.BootNow(n.clock)
		n.proofs.withTracker(func(t *freshness.ProofTracker) { certain = t.MayRejectUnknownKey(now, s.Version) })
	}
	return certain
}

// assignTeam sets the team and priority of a request and the team header for the backend server. It removes the key and any team header that
// the client sent.
func (n *Node) assignTeam(q *request, s *desired.State, team *desired.Team) {
	if !n.needsKeys(s) {
		return
	}
	delete(q.header, n.names.Key)
	for name := range q.header {
		if n.isTeamHeader(name) {
			delete(q.header, name)
		}
	}
	if team != nil {
		q.team = team
		q.Priority = s.Rank(q.Route, team.Priority)
		q.header[n.names.Team] = []string{team.Name}
	}
}

// isTeamHeader reports whether a header could be read as the team header: some servers treat underscores as dashes.
func (n *Node) isTeamHeader(name string) bool {
	return len(name) == len(n.names.Team) && strings.EqualFold(strings.ReplaceAll(name, "_", "-"), n.names.Team)
}
