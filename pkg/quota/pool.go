package quota

import (
	"time"

	"github.com/rockspoke/rockspoke/pkg/overload"
)

// prefetchFraction is the fraction of TokenLifetime for which a node prefetches tokens at its recent arrival rate; with more, tokens would expire.
const prefetchFraction = 0.5

// Pool holds the tokens that were granted to a node. Its zero value is empty. It isn't safe for concurrent use.
type Pool struct {
	teams map[string]*teamTokens
}

// teamTokens is a node's state for one team.
type teamTokens struct {
	tokens          int
	until           time.Time             // when the tokens expire
	arrivals        overload.DecayingRate // requests
	queriesInFlight int                   // queries to owners
	emptyUntil      map[string]time.Time  // by zone whose owner had no token
}

// Take counts a request and takes a token. Without one it counts a query in flight and returns how many tokens to query for; AddGranted ends the query.
func (p *Pool) Take(now time.Time, team string) (ok bool, ask int) {
	h := p.tokensOf(team)
	h.arrivals.Add(now, 1)
	if h.tokens > 0 && now.Before(h.until) {
		h.tokens--
		return true, 0
	}
	h.tokens = 0
	h.queriesInFlight++
	if h.queriesInFlight > 1 {
		return false, 1
	}
	return false, 1 + int(h.arrivals.PerSecond(now)*TokenLifetime.Seconds()*prefetchFraction)
}

// AddGranted ends a query that was sent at the time asked. One of the tokens is used at once. The others are kept until TokenLifetime
// after the query, or for as long as the tokens that are held already if these expire earlier.
func (p *Pool) AddGranted(asked time.Time, team string, tokens int) {
	h := p.tokensOf(team)
	h.queriesInFlight--
	if tokens == 0 {
		return
	}
	if until := asked.Add(TokenLifetime); h.tokens == 0 || until.Before(h.until) {
		h.until = until
	}
	h.tokens += tokens - 1
}

// ReturnToken puts back the token of a request that didn't run, unless the held tokens have expired.
func (p *Pool) ReturnToken(now time.Time, team string) {
	h := p.tokensOf(team)
	if now.Before(h.until) {
		h.tokens++
	}
}

// MarkEmpty notes that the owner in a zone has no token for the team until a time.
func (p *Pool) MarkEmpty(team, zone string, until time.Time) {
	h := p.tokensOf(team)
	if h.emptyUntil == nil {
		h.emptyUntil = make(map[string]time.Time)
	}
	h.emptyUntil[zone] = until
}

// MayHaveTokens reports whether the owner in a zone is worth a query.
func (p *Pool) MayHaveTokens(now time.Time, team, zone string) bool {
	return !now.Before(p.tokensOf(team).emptyUntil[zone])
}

// RetainTeams drops the teams that a new desired state doesn't have.
func (p *Pool) RetainTeams(has func(team string) bool) {
	for team := range p.teams {
		if !has(team) {
			delete(p.teams, team)
		}
	}
}

func (p *Pool) tokensOf(team string) *teamTokens {
	h := p.teams[team]
	if h == nil {
		if p.teams == nil {
			p.teams = make(map[string]*teamTokens)
		}
		h = &teamTokens{}
		p.teams[team] = h
	}
	return h
}
