package mesh

import (
	"net/http"
	"strings"

	"github.com/rockspoke/rockspoke/pkg/clock"
	"github.com/rockspoke/rockspoke/pkg/desired"
	"github.com/rockspoke/rockspoke/pkg/freshness"
	"github.com/rockspoke/rockspoke/pkg/wire"
)

// keyRefusal is why a request isn't let in for its key.
type keyRefusal struct {
	reason wire.Reason
	status int
}

var (
	// noKey is certain: the newest desired state has no such key.
	noKey = &keyRefusal{wire.ReasonNoKey, http.StatusUnauthorized}
	// unsureOfKey says that the key may be right, or taken away, in a state that isn't known here.
	unsureOfKey = &keyRefusal{wire.ReasonOldState, http.StatusServiceUnavailable}
)

// needsKeys tells whether requests need a key, but for those on public routes. Where keys are strictly revoked they do even
// if no team is left.
func (n *Node) needsKeys(s *desired.State) bool { return s.HasTeams() || n.cfg.Mesh.StrictRevoke }

// identify returns the team whose request it is, or why it isn't let in. A public request is nobody's, whatever it carries: calls of
// backend servers have no key, and the routes that they use are public.
//
// A key is judged here and nowhere else, as soon as the request is read. It was sent before that, so what lets it pass may
// be as old as the bound allows for the time it was sent, however long it waits later.
func (n *Node) identify(r *http.Request, s *desired.State, route *desired.Route) (*desired.Team, *keyRefusal) {
	if route.Public || !n.needsKeys(s) {
		return nil, nil
	}
	team := n.teamOf(r.Header[n.names.Key], s)
	if team == nil {
		if !n.sureOfKeys(s) {
			return nil, unsureOfKey
		}
		return nil, noKey
	}
	if !n.mayPass(s) {
		return nil, unsureOfKey
	}
	return team, nil
}

// awaitProof waits a moment, if the node has just started, for the proof without which no key passes; it returns the state in force
// then, and the route there.
func (n *Node) awaitProof(r *http.Request, s *desired.State, route *desired.Route) (*desired.State, *desired.Route) {
	if route.Public || !n.cfg.Mesh.StrictRevoke {
		return s, route
	}
	waited := false
	for !n.mayPass(s) && n.awaitNews(r.Context()) {
		s, waited = n.state.Load(), true
	}
	if waited {
		route = s.Match(r.Host, r.RequestURI)
	}
	return s, route
}

// teamOf returns the team of the one key that a request carries, or nil.
func (n *Node) teamOf(values []string, s *desired.State) *desired.Team {
	if len(values) != 1 {
		return nil
	}
	scheme, key, ok := strings.Cut(values[0], " ")
	if !ok || !strings.EqualFold(scheme, n.names.KeyScheme) || key == "" || len(key) > desired.MaxKeyBytes {
		return nil
	}
	return s.TeamOf(key)
}

// refuseKey answers a request that isn't let in for its key. The line about it names the key by its fingerprint.
func (n *Node) refuseKey(w http.ResponseWriter, r *http.Request, route *desired.Route, refusal *keyRefusal) {
	if refusal.status == http.StatusUnauthorized {
		w.Header().Set("WWW-Authenticate", n.names.KeyScheme)
	}
	age, proven := n.proofAge()
	n.callLog.Info("key refused", "request", r.Header.Get(n.names.AttemptID), "route", route.Name, "reason", refusal.reason,
		"key", n.fingerprint(r.Header[n.names.Key]), "version", n.stateVersion(), "proven", proven, "proof_age", age)
	n.refuseUnrouted(w, r, refusal.reason, refusal.status)
}

// fingerprint names the key that a request carries, or is "none".
func (n *Node) fingerprint(values []string) string {
	if len(values) != 1 {
		return "none"
	}
	_, key, _ := strings.Cut(values[0], " ")
	return desired.Key(key).Fingerprint()
}

// mayPass tells whether a key that the state has may be let pass.
func (n *Node) mayPass(s *desired.State) (may bool) {
	if !n.cfg.Mesh.StrictRevoke {
		return true
	}
	now := clock.Boot(n.clock)
	n.proofs.with(func(k *freshness.ProofTracker) { may = k.MayAcceptKey(now, s.Version) })
	return may
}

// sureOfKeys tells whether a key that the state doesn't have is certainly none.
func (n *Node) sureOfKeys(s *desired.State) bool {
	if !n.stateIsFresh() {
		return false
	}
	sure := true
	if n.cfg.Mesh.StrictRevoke {
		now := clock.Boot(n.clock)
		n.proofs.with(func(k *freshness.ProofTracker) { sure = k.MayRejectUnknownKey(now, s.Version) })
	}
	return sure
}

// nameTeam has the backend server see whose request it is, as this node knows it, and neither the key nor what the client says of it.
func (n *Node) nameTeam(q *request, s *desired.State, team *desired.Team) {
	if !n.needsKeys(s) {
		return
	}
	delete(q.header, n.names.Key)
	for name := range q.header {
		if n.spellsTeam(name) {
			delete(q.header, name)
		}
	}
	if team != nil {
		q.team = team
		q.Priority = s.Rank(q.Route, team.Priority)
		q.header[n.names.Team] = []string{team.Name}
	}
}

// spellsTeam tells whether a header may be taken for that of the team: some servers take underscores for dashes.
func (n *Node) spellsTeam(name string) bool {
	return len(name) == len(n.names.Team) && strings.EqualFold(strings.ReplaceAll(name, "_", "-"), n.names.Team)
}
