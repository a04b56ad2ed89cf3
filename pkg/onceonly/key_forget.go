package onceonly

import (
	"slices"
	"time"

	"github.com/rockspoke/rockspoke/pkg/wire"
)

// makeRoom drops the oldest generation of past keys when the bound is reached; records inside
// their window are never dropped for room.
func (m *Memory) makeRoom() bool {
	for len(m.recent)+m.pastKeys >= m.maxKeys() && len(m.past) > 0 {
		m.pastKeys -= len(m.past[0])
		m.past = m.past[1:]
	}
	return len(m.recent)+m.pastKeys < m.maxKeys()
}

// forget moves records whose window has ended to the past keys, where only their state is kept.
func (m *Memory) forget(now time.Time) {
	n := 0
	for ; n < len(m.order) && !m.order[n].at.After(now); n++ {
		m.retire(now, m.order[n].key)
	}
	if n > len(m.order)/2 {
		m.order = slices.Clone(m.order[n:]) // lets the memory of the others go
	} else if n > 0 {
		m.order = m.order[n:]
	}
}

func (m *Memory) retire(now time.Time, key Hash) {
	rec, ok := m.recent[key]
	if !ok || rec.State == Running || rec.Until.After(now) {
		return
	}
	delete(m.recent, key)
	if rec.Answer != nil && rec.Answer.Kept {
		m.answerBytes -= len(rec.Answer.Body)
	}
	if rec.State == Closed {
		return
	}
	if len(m.past) == 0 || now.Sub(m.pastStart) >= time.Hour {
		m.past = append(m.past, map[Hash]State{})
		m.pastStart = now
	}
	if len(m.past) > generations {
		m.pastKeys -= len(m.past[0])
		m.past = m.past[1:]
	}
	m.past[len(m.past)-1][key] = rec.State
	m.pastKeys++
}

func (m *Memory) inPast(key Hash) (State, bool) {
	for _, g := range m.past {
		if st, ok := g[key]; ok {
			return st, true
		}
	}
	return 0, false
}

func pastDecision(st State) Decision {
	if st == Finished {
		return Decision{Action: Replay, Outcome: wire.Ran, Answer: &Recorded{}}
	}
	return Decision{Action: Refuse, Outcome: wire.Unknown, Reason: wire.ReasonAnswerLost}
}

// Knows tells whether the key was met and not forgotten.
func (m *Memory) Knows(key Hash) bool {
	if _, ok := m.recent[key]; ok {
		return true
	}
	_, ok := m.inPast(key)
	return ok
}
