package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rockspoke/rockspoke/pkg/desired"
	"github.com/rockspoke/rockspoke/pkg/settings"
	"github.com/rockspoke/rockspoke/platform/standin"
)

// The bounds that the operator of a site sets for its teams.
const (
	revokeTime  = 3 * time.Second
	quotaWindow = 5 * time.Second
	quotaExcess = 0.1
	quotaSlack  = 20
	// hotRate and hotBurst are the limit of the team that sends far more.
	hotRate, hotBurst = 4.0, 4.0
)

// The teams: one that doesn't change, one whose keys are rotated, and one that exceeds its quota.
const (
	teamSteady = iota
	teamRekeyed
	teamHot
	teamCount
)

// The share of requests of each team; the rest is teamSteady's. shareOldKey of teamRekeyed's requests carry
// the key before the newest.
const (
	shareRekeyed = 0.3
	shareHot     = 0.4
	shareOldKey  = 0.3
)

// keyRecord is a key of a team and when it was revoked.
type keyRecord struct {
	Key       string
	Team      int
	Removed   bool      // left out of every desired state written from now on
	RevokedAt time.Time // when the revocation was confirmed; zero if it wasn't
}

// siteTeams holds the teams' keys, revoked ones too.
type siteTeams struct {
	mu   sync.Mutex
	keys []keyRecord
}

// teamName names a team.
func teamName(team int) string { return fmt.Sprint("team-", team) }

// init gives every team a key.
func (t *siteTeams) init() {
	for team := range teamCount {
		t.keys = append(t.keys, keyRecord{Key: fmt.Sprintf("first-%d", team), Team: team})
	}
}

// desiredTeams returns the teams as the desired state lists them.
func (t *siteTeams) desiredTeams() []desired.Team {
	t.mu.Lock()
	defer t.mu.Unlock()
	teams := make([]desired.Team, teamCount)
	for team := range teams {
		teams[team].Name = teamName(team)
	}
	teams[teamHot].Rate, teams[teamHot].Burst = hotRate, hotBurst
	for _, k := range t.keys {
		if !k.Removed {
			teams[k.Team].Keys = append(teams[k.Team].Keys, desired.Key(k.Key))
		}
	}
	return teams
}

// pickKey draws a request's team and the key that it carries.
func (t *siteTeams) pickKey(rnd *rand.Rand) keyRecord {
	team := teamSteady
	switch x := rnd.Float64(); {
	case x < shareRekeyed:
		team = teamRekeyed
	case x < shareRekeyed+shareHot:
		team = teamHot
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	ofTeam := slices.DeleteFunc(slices.Clone(t.keys), func(k keyRecord) bool { return k.Team != team })
	if len(ofTeam) > 1 && rnd.Float64() < shareOldKey {
		return ofTeam[len(ofTeam)-2]
	}
	return ofTeam[len(ofTeam)-1]
}

// addKey gives a team another key and returns its previous one.
func (t *siteTeams) addKey(team int, key string) (old string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, k := range t.keys {
		if k.Team == team && !k.Removed {
			old = k.Key
		}
	}
	t.keys = append(t.keys, keyRecord{Key: key, Team: team})
	return old
}

// removeKey leaves a key out of the desired states written from now on.
func (t *siteTeams) removeKey(key string) { t.updateKey(key, func(k *keyRecord) { k.Removed = true }) }

// setRevoked records when a key's revocation was confirmed.
func (t *siteTeams) setRevoked(key string, at time.Time) {
	t.updateKey(key, func(k *keyRecord) { k.RevokedAt = at })
}

// updateKey applies f to the record of a key.
func (t *siteTeams) updateKey(key string, f func(k *keyRecord)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range t.keys {
		if t.keys[i].Key == key {
			f(&t.keys[i])
		}
	}
}

// allKeys returns all keys, revoked ones too.
func (t *siteTeams) allKeys() []keyRecord {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.keys)
}

// setTeamBounds sets the bounds of key revocation and quotas, and the zones.
func setTeamBounds(m *settings.Mesh) {
	m.StrictRevoke, m.Revoke = true, revokeTime
	m.QuotaWindow, m.QuotaExcess, m.QuotaSlack = quotaWindow, quotaExcess, quotaSlack
	for z := range soakZones {
		m.Zones = append(m.Zones, fmt.Sprint("zone-", z))
	}
}

// rotateKey gives teamRekeyed a new key and revokes the old one after d.
func rotateKey(s *site, kind string, rnd *rand.Rand, d time.Duration) {
	s.keyMu.Lock()
	defer s.keyMu.Unlock()
	endDisturbance := s.history.beginDisturbance(kind, true)
	defer endDisturbance()
	old := s.teams.addKey(teamRekeyed, fmt.Sprintf("key-%x", rnd.Uint64()))
	s.rewriteState()
	time.Sleep(d)
	s.teams.removeKey(old)
	s.rewriteState()
	s.teams.setRevoked(old, time.Now())
}

// restoreStoreFromCopy makes the store unresponsive for a moment and restores it from an earlier copy; the lost state is then written again.
func restoreStoreFromCopy(s *site, kind string, rnd *rand.Rand, d time.Duration) {
	s.keyMu.Lock()
	defer s.keyMu.Unlock()
	s.store.Snapshot()
	time.Sleep(time.Duration(rnd.Float64() * float64(d)))
	s.injectStoreFault(kind, s.vms, standin.Fault{Unresponsive: true}, minFaultDuration)
	s.store.Restore()
	endDisturbance := s.history.beginDisturbance(kind, false)
	defer endDisturbance()
	time.Sleep(minFaultDuration)
	s.rewriteState()
}

// rewriteState stores the desired state again with the current teams and routes.
func (s *site) rewriteState() {
	s.routesMu.Lock()
	routes := s.routes
	s.routesMu.Unlock()
	if err := s.changeState(routes); err != nil {
		s.history.addFinding("soak", err.Error())
	}
}
