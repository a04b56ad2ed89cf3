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

// The teams: one that stays as it is, one whose keys change, and one that sends more than it may.
const (
	teamCalm = iota
	teamRekeyed
	teamHot
	teamCount
)

// The share of requests of each team; the rest is the calm one's. Of the requests of the one whose keys change some come with a key that
// was taken away.
const (
	shareRekeyed = 0.3
	shareHot     = 0.4
	shareOldKey  = 0.3
)

// keyLife is the time in which a key is one of a team.
type keyLife struct {
	Key  string
	Team int
	Gone bool      // the operator writes the state without it from now on
	To   time.Time // when it was confirmed that it was taken away; zero: it wasn't
}

// siteTeams is who may ask what.
type siteTeams struct {
	mu   sync.Mutex
	keys []keyLife
}

// teamName names a team.
func teamName(team int) string { return fmt.Sprint("team-", team) }

// init gives every team a key.
func (t *siteTeams) init() {
	for team := range teamCount {
		t.keys = append(t.keys, keyLife{Key: fmt.Sprintf("first-%d", team), Team: team})
	}
}

// inForce returns the teams as the operator writes them.
func (t *siteTeams) inForce() []desired.Team {
	t.mu.Lock()
	defer t.mu.Unlock()
	teams := make([]desired.Team, teamCount)
	for team := range teams {
		teams[team].Name = teamName(team)
	}
	teams[teamHot].Rate, teams[teamHot].Burst = hotRate, hotBurst
	for _, k := range t.keys {
		if !k.Gone {
			teams[k.Team].Keys = append(teams[k.Team].Keys, desired.Key(k.Key))
		}
	}
	return teams
}

// pick draws whose request one is, and the key that it carries.
func (t *siteTeams) pick(rnd *rand.Rand) keyLife {
	team := teamCalm
	switch x := rnd.Float64(); {
	case x < shareRekeyed:
		team = teamRekeyed
	case x < shareRekeyed+shareHot:
		team = teamHot
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	ofTeam := slices.DeleteFunc(slices.Clone(t.keys), func(k keyLife) bool { return k.Team != team })
	if len(ofTeam) > 1 && rnd.Float64() < shareOldKey {
		return ofTeam[len(ofTeam)-2]
	}
	return ofTeam[len(ofTeam)-1]
}

// add gives a team one more key, and returns the one that it had.
func (t *siteTeams) add(team int, key string) (old string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, k := range t.keys {
		if k.Team == team && !k.Gone {
			old = k.Key
		}
	}
	t.keys = append(t.keys, keyLife{Key: key, Team: team})
	return old
}

// drop has a key left out from now on.
func (t *siteTeams) drop(key string) { t.change(key, func(k *keyLife) { k.Gone = true }) }

// gone notes that a key's end was confirmed.
func (t *siteTeams) gone(key string, at time.Time) { t.change(key, func(k *keyLife) { k.To = at }) }

// change changes what is known of a key.
func (t *siteTeams) change(key string, f func(k *keyLife)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range t.keys {
		if t.keys[i].Key == key {
			f(&t.keys[i])
		}
	}
}

// all returns every key that there was.
func (t *siteTeams) all() []keyLife {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.keys)
}

// tuneTeams sets the bounds of keys and quotas.
func tuneTeams(m *settings.Mesh) {
	m.StrictRevoke, m.Revoke = true, revokeTime
	m.QuotaWindow, m.QuotaExcess, m.QuotaSlack = quotaWindow, quotaExcess, quotaSlack
	for z := range soakZones {
		m.Zones = append(m.Zones, fmt.Sprint("zone-", z))
	}
}

// changeKey gives a team a new key, and takes the old one away a moment later.
func changeKey(s *site, kind string, rnd *rand.Rand, d time.Duration) {
	s.keyMu.Lock()
	defer s.keyMu.Unlock()
	over := s.history.begin(kind, true)
	defer over()
	old := s.teams.add(teamRekeyed, fmt.Sprintf("key-%x", rnd.Uint64()))
	s.writeTeams()
	time.Sleep(d)
	s.teams.drop(old)
	s.writeTeams()
	s.teams.gone(old, time.Now())
}

// storeComesBack has the store be away for a moment and come back from a copy; the operator then writes again what is lost.
func storeComesBack(s *site, kind string, rnd *rand.Rand, d time.Duration) {
	s.keyMu.Lock()
	defer s.keyMu.Unlock()
	s.store.Snapshot()
	time.Sleep(time.Duration(rnd.Float64() * float64(d)))
	s.injectStoreFault(kind, s.vms, standin.Fault{Unresponsive: true}, minFaultDuration)
	s.store.Restore()
	over := s.history.begin(kind, false)
	defer over()
	time.Sleep(minFaultDuration)
	s.writeTeams()
}

// writeTeams puts the state in force with the teams as they are now.
func (s *site) writeTeams() {
	s.routesMu.Lock()
	routes := s.routes
	s.routesMu.Unlock()
	if err := s.changeState(routes); err != nil {
		s.history.found("soak", err.Error())
	}
}
