package quota

import (
	"time"

	"github.com/rockspoke/rockspoke/pkg/overload"
)

// askedAhead is the part of the HoldTime for which a node asks tokens in advance, by what came of late: more would lapse.
const askedAhead = 0.5

// Pool is the tokens that a node has in hand. Its zero value has none; it isn't safe for concurrent use.
type Pool struct {
	teams map[string]*holding
}

// holding is what a node has of one team.
type holding struct {
	tokens int
	until  time.Time             // when the tokens lapse
	coming overload.DecayingRate // requests
	asking int                   // questions that are on their way
	none   map[string]time.Time  // zones whose owner had nothing, until when
}

// Take counts a request and takes a token; if there is none, it returns how many to ask for.
func (p *Pool) Take(now time.Time, team string) (ok bool, ask int) {
	h := p.holding(team)
	h.coming.Add(now, 1)
	if h.tokens > 0 && now.Before(h.until) {
		h.tokens--
		return true, 0
	}
	h.tokens = 0
	h.asking++
	if h.asking > 1 {
		return false, 1
	}
	return false, 1 + int(h.coming.PerSecond(now)*TokenLifetime.Seconds()*askedAhead)
}

// AddGranted ends a question that was asked then: one of the tokens is used at once, the others are kept until HoldTime after the
// question, or for as long as those that are in hand already.
func (p *Pool) AddGranted(asked time.Time, team string, tokens int) {
	h := p.holding(team)
	h.asking--
	if tokens == 0 {
		return
	}
	if until := asked.Add(TokenLifetime); h.tokens == 0 || until.Before(h.until) {
		h.until = until
	}
	h.tokens += tokens - 1
}

// ReturnToken returns the token of a request that didn't run.
func (p *Pool) ReturnToken(now time.Time, team string) {
	h := p.holding(team)
	if now.Before(h.until) {
		h.tokens++
	}
}

// MarkEmpty notes that the owner of a zone had no token until a time.
func (p *Pool) MarkEmpty(team, zone string, until time.Time) {
	h := p.holding(team)
	if h.none == nil {
		h.none = make(map[string]time.Time)
	}
	h.none[zone] = until
}

// MayHaveTokens tells whether it is worth asking the owner of a zone.
func (p *Pool) MayHaveTokens(now time.Time, team, zone string) bool {
	return !now.Before(p.holding(team).none[zone])
}

// RetainTeams forgets the teams that a new desired state lacks.
func (p *Pool) RetainTeams(has func(team string) bool) {
	for team := range p.teams {
		if !has(team) {
			delete(p.teams, team)
		}
	}
}

func (p *Pool) holding(team string) *holding {
	h := p.teams[team]
	if h == nil {
		if p.teams == nil {
			p.teams = make(map[string]*holding)
		}
		h = &holding{}
		p.teams[team] = h
	}
	return h
}
