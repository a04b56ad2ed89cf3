package onceonly

import (
	"slices"
	"time"

	"github.com/rockspoke/rockspoke/pkg/wire"
)

// ensureCapacity drops the oldest generations of expired keys until one more key fits in MaxKeys, and reports whether it fits. Records
// within their retry window are never dropped.
func (m *KeyMemory) ensureCapacity() bool {
	for m.recent.size+m.expiredKeys >= m.maxKeys() && len(m.expired) > 0 {
		m.expiredKeys -= m.expired[0].size
		m.expired = m.expired[1:]
	}
	return m.recent.size+m.expiredKeys < m.maxKeys()
}

// expireRecords replaces records whose retry window has ended by expired keys, of which only the state is held.
func (m *KeyMemory) expireRecords(now time.Time) {
	n := 0
	for ; n < len(m.expiries) && !m.expiries[n].at.After(now); n++ {
		m.expireRecord(now, m.expiries[n].key)
	}
	if n > len(m.expiries)/2 {
		m.expiries = slices.Clone(m.expiries[n:]) // frees the memory of the others
	} else if n > 0 {
		m.expiries = m.expiries[n:]
	}
}

// expireRecord replaces a record by an expired key if its time has passed; a closed key is dropped.
func (m *KeyMemory) expireRecord(now time.Time, key KeyHash) {
	rec, ok := m.recent.get(key)
	if !ok || rec.runsHere() || rec.Until.After(now) {
		return
	}
	if rec.State == Running {
		rec.lose()
	}
	m.recent.remove(key)
	m.releaseAnswer(rec)
	if rec.State == Closed {
		return
	}
	if len(m.expired) == 0 || now.Sub(m.newestExpiredStart) >= time.Hour {
		m.expired = append(m.expired, &keyTable[State]{})
		m.newestExpiredStart = now
	}
	if len(m.expired) > maxExpiredGenerations {
		m.expiredKeys -= m.expired[0].size
		m.expired = m.expired[1:]
	}
	m.expired[len(m.expired)-1].put(key, rec.State)
	m.expiredKeys++
}

// expiredState returns the state of an expired key, and false if the key isn't among them.
func (m *KeyMemory) expiredState(key KeyHash) (State, bool) {
	for _, g := range m.expired {
		if st, ok := g.get(key); ok {
			return st, true
		}
	}
	return 0, false
}

// decideExpired returns the decision on an attempt with an expired key, whose answer isn't held any more.
func decideExpired(st State) Decision {
	if st == Finished {
		return Decision{Action: Replay, Outcome: wire.Ran, Answer: &RecordedAnswer{}}
	}
	return Decision{Action: Refuse, Outcome: wire.Unknown, Reason: wire.ReasonAnswerLost}
}

// Knows reports whether the memory holds a record or an expired state of the key.
func (m *KeyMemory) Knows(key KeyHash) bool {
	if _, ok := m.recent.get(key); ok {
		return true
	}
	_, ok := m.expiredState(key)
	return ok
}
