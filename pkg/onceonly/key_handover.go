package onceonly

import (
	"encoding/hex"
	"fmt"
	"time"
)

// Handover is the message that carries the keys of some ranges to their next owner.
type Handover struct {
	Service string            `json:"service"`
	From    Owner             `json:"from"`
	To      Owner             `json:"to"`
	Ranges  []int             `json:"ranges"`
	QuietMS map[int]int64     `json:"quiet,omitempty"` // remaining quiet window in milliseconds, by range
	Records []HandoverRecord  `json:"records"`
	Expired []HandoverExpired `json:"past,omitempty"`
	// ID is the same in the announcement and the messages of one handover, and no other's.
	ID string `json:"id,omitempty"`
	// Live says that runs in progress stay so in the message; their records follow when they end. Otherwise they are Uncertain.
	Live bool `json:"live,omitempty"`
	// Row is the row that gives the ranges to their next owner, if the message follows its commit.
	Row *OwnerRow `json:"row,omitempty"`
}

// HandoverRecord is one key's record. Its end is sent as the remaining milliseconds, because clocks differ between nodes.
type HandoverRecord struct {
	Key    string `json:"k"`
	Record Record `json:"r"`
	LeftMS int64  `json:"l"`
}

// HandoverExpired is one expired key with its state.
type HandoverExpired struct {
	Key   string `json:"k"`
	State State  `json:"s"`
}

// KeyHashError reports a malformed key hash in a handover.
type KeyHashError struct{ Key string }

// Error shows the malformed hash.
func (e *KeyHashError) Error() string { return fmt.Sprintf("key hash %q is malformed", e.Key) }

// Export returns h with the keys of its ranges added. Unless h is live, a running key is exported as Uncertain, because it must not run
// again; keys of tokens are left out, as they belong to this home.
func (m *KeyMemory) Export(now time.Time, h Handover) Handover {
	h.QuietMS = map[int]int64{}
	for _, r := range h.Ranges {
		if left := m.quietUntil[r].Sub(now); left > 0 {
			h.QuietMS[r] = left.Milliseconds() + 1
		}
		for key, rec := range m.recent.inRange(r) {
			if !rec.Pinned {
				h.Records = append(h.Records, m.exportRecord(now, key, rec, h))
			}
		}
		for _, g := range m.expired {
			for key, st := range g.inRange(r) {
				h.Expired = append(h.Expired, HandoverExpired{hex.EncodeToString(key[:]), st})
			}
		}
	}
	return h
}

// exportRecord returns a key's record for the message.
func (m *KeyMemory) exportRecord(now time.Time, key KeyHash, rec *Record, h Handover) HandoverRecord {
	out := Record{State: rec.State, Fingerprint: rec.Fingerprint, Answer: rec.Answer, RunAt: rec.RunAt}
	left := rec.Until.Sub(now)
	if rec.State == Running {
		out = m.exportRunning(rec, h)
		left = m.window()
	}
	return HandoverRecord{hex.EncodeToString(key[:]), out, left.Milliseconds() + 1}
}

// exportRunning returns the record of a run in progress for the message.
func (m *KeyMemory) exportRunning(rec *Record, h Handover) Record {
	if !h.Live {
		return Record{State: Uncertain, Fingerprint: rec.Fingerprint}
	}
	out := Record{State: Running, Fingerprint: rec.Fingerprint, RunAt: rec.RunAt}
	if out.RunAt == (Owner{}) {
		out.RunAt = h.From
		rec.exported = true
	}
	return out
}

// Import adds the keys of a handover's ranges; on an error, a *KeyHashError, nothing is added.
func (m *KeyMemory) Import(now time.Time, h Handover) error {
	keys := make([]KeyHash, len(h.Records))
	for i, hr := range h.Records {
		k, err := parseHash(hr.Key)
		if err != nil {
			return err
		}
		keys[i] = k
	}
	expiredKeys := make([]KeyHash, len(h.Expired))
	for i, hp := range h.Expired {
		k, err := parseHash(hp.Key)
		if err != nil {
			return err
		}
		expiredKeys[i] = k
	}
	inRanges := rangeSet(h.Ranges)
	for i, hr := range h.Records {
		if !inRanges[keys[i].Range()] {
			continue
		}
		rec := hr.Record
		rec.Until = now.Add(time.Duration(hr.LeftMS) * time.Millisecond)
		m.importRecord(keys[i], rec, h.To)
	}
	for i, hp := range h.Expired {
		if !inRanges[expiredKeys[i].Range()] {
			continue
		}
		m.importExpired(expiredKeys[i], hp.State)
	}
	for r, ms := range h.QuietMS {
		if inRanges[r] && r >= 0 && r < NumRanges {
			m.SetQuiet(r, now.Add(time.Duration(ms)*time.Millisecond))
		}
	}
	return nil
}

// importRecord adds one record of a handover to the given owner. A run that this node itself started before the range had left it is
// known better here.
func (m *KeyMemory) importRecord(key KeyHash, rec Record, to Owner) {
	if rec.State == Running && rec.RunAt == to {
		if _, ok := m.recent.get(key); ok {
			return
		}
		rec.State = Uncertain
		rec.RunAt = Owner{}
	}
	if rec.State == Running {
		m.noteRunElsewhere(key)
	}
	if old, ok := m.recent.get(key); ok {
		m.releaseAnswer(old)
	}
	rec.Answer = m.importAnswer(rec.Answer)
	m.recent.put(key, &rec)
	m.expiries = append(m.expiries, expiry{rec.Until, key})
}

// importExpired adds an expired key to the oldest generation, so that many handovers make no more generations than are held.
func (m *KeyMemory) importExpired(key KeyHash, st State) {
	if len(m.expired) == 0 {
		m.expired = append(m.expired, &keyTable[State]{})
	}
	before := m.expired[0].size
	m.expired[0].put(key, st)
	m.expiredKeys += m.expired[0].size - before
}

// Drop removes the records of the ranges after their handover, except those of tokens and those that must follow it: of calls that run
// here, or ended after the memory was sent. Attempts that wait for a run elsewhere are released with its record as it is, still running.
func (m *KeyMemory) Drop(ranges []int) {
	for _, r := range ranges {
		for key, rec := range m.recent.inRange(r) {
			if !rec.runsHere() && !rec.Pinned && !rec.exported {
				rec.release()
				m.releaseAnswer(rec)
				m.recent.remove(key)
			}
		}
	}
}

// CountRunning returns the numbers of calls of the ranges that run at this home and at earlier owners, tokens aside.
func (m *KeyMemory) CountRunning(ranges []int) (here, elsewhere int) {
	for _, r := range ranges {
		for _, rec := range m.recent.inRange(r) {
			switch {
			case rec.State != Running || rec.Pinned:
			case rec.runsHere():
				here++
			default:
				elsewhere++
			}
		}
	}
	return here, elsewhere
}

// WithoutRuns returns those of the ranges in which no call is running, tokens aside.
func (m *KeyMemory) WithoutRuns(ranges []int) []int {
	return filterRanges(ranges, func(r int) bool {
		here, elsewhere := m.CountRunning([]int{r})
		return here+elsewhere == 0
	})
}

// countKeys returns the number of records and expired keys of the range.
func (m *KeyMemory) countKeys(r int) int {
	n := len(m.recent.inRange(r))
	for _, g := range m.expired {
		n += len(g.inRange(r))
	}
	return n
}

// rangeSet returns the ranges as a set.
func rangeSet(ranges []int) map[int]bool {
	inRanges := make(map[int]bool, len(ranges))
	for _, r := range ranges {
		inRanges[r] = true
	}
	return inRanges
}

// parseHash decodes a hash from hex; the error is a *KeyHashError.
func parseHash(s string) (KeyHash, error) {
	var h KeyHash
	b, err := hex.DecodeString(s)
	if err != nil || len(b) != len(h) {
		return h, &KeyHashError{s}
	}
	copy(h[:], b)
	return h, nil
}
