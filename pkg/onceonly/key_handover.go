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

// Export returns h with the keys of its ranges added. A running key is exported as Uncertain, because it must not run again; keys of
// tokens are left out, as they belong to this home.
func (m *KeyMemory) Export(now time.Time, h Handover) Handover {
	inRanges := rangeSet(h.Ranges)
	h.QuietMS = map[int]int64{}
	for r := range inRanges {
		if left := m.quietUntil[r].Sub(now); left > 0 {
			h.QuietMS[r] = left.Milliseconds() + 1
		}
	}
	for key, rec := range m.recent {
		if !inRanges[key.Range()] || rec.Pinned {
			continue
		}
		out := Record{State: rec.State, Fingerprint: rec.Fingerprint, Answer: rec.Answer}
		left := rec.Until.Sub(now)
		if rec.State == Running {
			out.State = Uncertain
			left = m.window()
		}
		h.Records = append(h.Records, HandoverRecord{hex.EncodeToString(key[:]), out, left.Milliseconds() + 1})
	}
	for _, g := range m.expired {
		for key, st := range g {
			if inRanges[key.Range()] {
				h.Expired = append(h.Expired, HandoverExpired{hex.EncodeToString(key[:]), st})
			}
		}
	}
	return h
}

// Import adds the keys of a handover; on an error, a *KeyHashError, nothing is added.
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
	for i, hr := range h.Records {
		rec := hr.Record
		rec.Until = now.Add(time.Duration(hr.LeftMS) * time.Millisecond)
		m.put(keys[i], &rec)
		m.expiries = append(m.expiries, expiry{rec.Until, keys[i]})
	}
	if len(h.Expired) > 0 {
		g := map[KeyHash]State{}
		for i, hp := range h.Expired {
			g[expiredKeys[i]] = hp.State
		}
		m.expired = append([]map[KeyHash]State{g}, m.expired...)
		m.expiredKeys += len(g)
	}
	for r, ms := range h.QuietMS {
		if r >= 0 && r < NumRanges {
			m.SetQuiet(r, now.Add(time.Duration(ms)*time.Millisecond))
		}
	}
	return nil
}

// Drop removes the records of the ranges after their handover, except those of running calls and of tokens.
func (m *KeyMemory) Drop(ranges []int) {
	inRanges := rangeSet(ranges)
	for key, rec := range m.recent {
		if inRanges[key.Range()] && rec.State != Running && !rec.Pinned {
			if rec.Answer != nil && rec.Answer.Complete {
				m.answerBytes -= len(rec.Answer.Body)
			}
			delete(m.recent, key)
		}
	}
}

// CountRunning returns the number of running calls in the ranges, tokens aside.
func (m *KeyMemory) CountRunning(ranges []int) int {
	inRanges := rangeSet(ranges)
	n := 0
	for key, rec := range m.recent {
		if rec.State == Running && inRanges[key.Range()] && !rec.Pinned {
			n++
		}
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
