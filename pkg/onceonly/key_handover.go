package onceonly

import (
	"encoding/hex"
	"fmt"
	"time"
)

// Handover is the memory of some key ranges on its way to their next owner.
type Handover struct {
	Service string            `json:"service"`
	From    Owner             `json:"from"`
	To      Owner             `json:"to"`
	Ranges  []int             `json:"ranges"`
	QuietMS map[int]int64     `json:"quiet,omitempty"` // milliseconds of quiet window left, by range
	Records []HandoverRecord  `json:"records"`
	Expired []HandoverExpired `json:"past,omitempty"`
}

// HandoverRecord is one key's record; its times are sent as milliseconds left, since clocks differ.
type HandoverRecord struct {
	Key    string `json:"k"`
	Record Record `json:"r"`
	LeftMS int64  `json:"l"`
}

// HandoverExpired is one old key with its state.
type HandoverExpired struct {
	Key   string `json:"k"`
	State State  `json:"s"`
}

// KeyHashError reports a malformed key hash in a hand-over.
type KeyHashError struct{ Key string }

// Error shows the malformed key.
func (e *KeyHashError) Error() string { return fmt.Sprintf("key hash %q is malformed", e.Key) }

// Export copies the memory of the ranges. A running key goes as Uncertain: it must not run again.
func (m *KeyMemory) Export(now time.Time, h Handover) Handover {
	in := rangeSet(h.Ranges)
	h.QuietMS = map[int]int64{}
	for r := range in {
		if left := m.quietUntil[r].Sub(now); left > 0 {
			h.QuietMS[r] = left.Milliseconds() + 1
		}
	}
	for key, rec := range m.recent {
		if !in[key.Range()] || rec.Pinned {
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
	for _, g := range m.past {
		for key, st := range g {
			if in[key.Range()] {
				h.Expired = append(h.Expired, HandoverExpired{hex.EncodeToString(key[:]), st})
			}
		}
	}
	return h
}

// Import takes the memory of ranges handed over; the error is a *KeyFormError, and then nothing was taken.
func (m *KeyMemory) Import(now time.Time, h Handover) error {
	keys := make([]KeyHash, len(h.Records))
	for i, hr := range h.Records {
		k, err := parseHash(hr.Key)
		if err != nil {
			return err
		}
		keys[i] = k
	}
	pastKeys := make([]KeyHash, len(h.Expired))
	for i, hp := range h.Expired {
		k, err := parseHash(hp.Key)
		if err != nil {
			return err
		}
		pastKeys[i] = k
	}
	for i, hr := range h.Records {
		rec := hr.Record
		rec.Until = now.Add(time.Duration(hr.LeftMS) * time.Millisecond)
		m.put(keys[i], &rec)
		m.order = append(m.order, expiry{rec.Until, keys[i]})
	}
	if len(h.Expired) > 0 {
		g := map[KeyHash]State{}
		for i, hp := range h.Expired {
			g[pastKeys[i]] = hp.State
		}
		m.past = append([]map[KeyHash]State{g}, m.past...)
		m.pastKeys += len(g)
	}
	for r, ms := range h.QuietMS {
		if r >= 0 && r < NumRanges {
			m.SetQuiet(r, now.Add(time.Duration(ms)*time.Millisecond))
		}
	}
	return nil
}

// Drop forgets the ranges after their hand-over is done.
func (m *KeyMemory) Drop(ranges []int) {
	in := rangeSet(ranges)
	for key, rec := range m.recent {
		if in[key.Range()] && rec.State != Running && !rec.Pinned {
			if rec.Answer != nil && rec.Answer.Complete {
				m.answerBytes -= len(rec.Answer.Body)
			}
			delete(m.recent, key)
		}
	}
}

// CountRunning returns how many runs of the ranges have not ended.
func (m *KeyMemory) CountRunning(ranges []int) int {
	in := rangeSet(ranges)
	n := 0
	for key, rec := range m.recent {
		if rec.State == Running && in[key.Range()] && !rec.Pinned {
			n++
		}
	}
	return n
}

func rangeSet(ranges []int) map[int]bool {
	in := make(map[int]bool, len(ranges))
	for _, r := range ranges {
		in[r] = true
	}
	return in
}

func parseHash(s string) (KeyHash, error) {
	var h KeyHash
	b, err := hex.DecodeString(s)
	if err != nil || len(b) != len(h) {
		return h, &KeyHashError{s}
	}
	copy(h[:], b)
	return h, nil
}
