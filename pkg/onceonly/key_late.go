package onceonly

import (
	"encoding/hex"
	"time"
)

// ExportLate returns h with the record of one key whose run ended after its range had left; it reports false if there is none.
func (m *KeyMemory) ExportLate(now time.Time, key KeyHash, h Handover) (Handover, bool) {
	rec, ok := m.recent.get(key)
	if !ok || rec.State == Running {
		return h, false
	}
	out := Record{State: rec.State, Fingerprint: rec.Fingerprint, Answer: rec.Answer}
	h.Ranges = []int{key.Range()}
	h.Records = []HandoverRecord{{hex.EncodeToString(key[:]), out, rec.Until.Sub(now).Milliseconds() + 1}}
	return h, true
}

// ImportLate completes the records of runs that were in progress elsewhere when their ranges came; the error is a *KeyHashError.
func (m *KeyMemory) ImportLate(now time.Time, h Handover) error {
	for _, hr := range h.Records {
		key, err := parseHash(hr.Key)
		if err != nil {
			return err
		}
		rec, ok := m.recent.get(key)
		if !ok || rec.State != Running || rec.RunAt != h.From {
			continue
		}
		rec.State = hr.Record.State
		rec.RunAt = Owner{}
		rec.Until = now.Add(time.Duration(hr.LeftMS) * time.Millisecond)
		rec.Answer = m.importAnswer(hr.Record.Answer)
		m.expiries = append(m.expiries, expiry{rec.Until, key})
		rec.release()
	}
	return nil
}

// Forget removes the record of a run whose range has left, once its next home has it.
func (m *KeyMemory) Forget(key KeyHash) {
	rec, ok := m.recent.get(key)
	if !ok || rec.State == Running || !rec.exported {
		return
	}
	m.releaseAnswer(rec)
	m.recent.remove(key)
}

// KeepLate notes that the record of a run needn't follow its range, which is back here.
func (m *KeyMemory) KeepLate(key KeyHash) {
	if rec, ok := m.recent.get(key); ok && rec.State != Running {
		rec.exported = false
	}
}

// LoseRuns makes the records of runs uncertain that were in progress at earlier owners which are lost, and returns their number.
func (m *KeyMemory) LoseRuns(now time.Time, lost func(Owner) bool) int {
	n := 0
	for key := range m.elsewhere {
		rec, ok := m.recent.get(key)
		if !ok || rec.State != Running || rec.RunAt == (Owner{}) {
			delete(m.elsewhere, key)
			continue
		}
		if !lost(rec.RunAt) {
			continue
		}
		rec.Until = now.Add(m.window())
		m.expiries = append(m.expiries, expiry{rec.Until, key})
		rec.lose()
		n++
	}
	return n
}

// noteRunElsewhere notes that the key's record is of a run in progress at an earlier owner.
func (m *KeyMemory) noteRunElsewhere(key KeyHash) {
	if m.elsewhere == nil {
		m.elsewhere = map[KeyHash]struct{}{}
	}
	m.elsewhere[key] = struct{}{}
}

// lose makes a record of a run elsewhere uncertain.
func (rec *Record) lose() {
	rec.State = Uncertain
	rec.RunAt = Owner{}
	rec.release()
}
