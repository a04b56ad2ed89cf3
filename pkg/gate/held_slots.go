package gate

import (
	"slices"
	"time"
)

const (
	// heldWindow is how long a server must have named more requests than the Gate has running before they count: answers are read in another
	// order than they were written, which looks the same for some milliseconds.
	heldWindow = 150 * time.Millisecond
	// heldExpiry is how long the last answer speaks for the slots; it is how long a server's load is valid.
	heldExpiry = 600 * time.Millisecond
)

// heldSlots estimates how many slots of the server are held by requests that aren't running for the Gate: their callers left while the server
// went on, or they were sent before this process started. It is the least number in the answers of the last one to two windows, and at least
// the number of runs that were left before their usual time, until that has passed or an answer shows fewer. Nothing is estimated of a server
// that doesn't name its load, since nothing would correct it.
type heldSlots struct {
	left              []time.Time // when the runs that were left usually end
	began, last       time.Time   // of the current window, and of the newest answer
	previous, current int         // least numbers in the previous and the current window
	known             bool        // there was a previous window
}

// add records that the server named n requests more than are running for the Gate.
func (h *heldSlots) add(now time.Time, n int) {
	n = max(n, 0)
	h.left = h.left[max(len(h.left)-n, 0):]
	switch {
	case h.last.IsZero() || now.Sub(h.last) > heldExpiry:
		*h = heldSlots{left: h.left, began: now, current: n}
	case now.Sub(h.began) >= heldWindow:
		*h = heldSlots{left: h.left, began: now, previous: h.current, current: n, known: true}
	default:
		h.current = min(h.current, n)
	}
	h.last = now
}

// leave records that the caller of a run left, which usually ends after the given time; 0 if that is unknown.
func (h *heldSlots) leave(now time.Time, rest time.Duration) {
	if rest <= 0 || !h.valid(now) {
		return
	}
	until := now.Add(rest)
	i, _ := slices.BinarySearchFunc(h.left, until, time.Time.Compare)
	h.left = slices.Insert(h.left, i, until)
}

// valid reports whether the server has named its load recently.
func (h *heldSlots) valid(now time.Time) bool {
	return !h.last.IsZero() && now.Sub(h.last) <= heldExpiry
}

// count returns the number of held slots.
func (h *heldSlots) count(now time.Time) int {
	if !h.valid(now) {
		h.left = nil
		return 0
	}
	for len(h.left) > 0 && !h.left[0].After(now) {
		h.left = h.left[1:]
	}
	if !h.known {
		return len(h.left)
	}
	return max(min(h.previous, h.current), len(h.left))
}

// nextFree returns the time until the next run that was left usually ends; ok is false if there is none.
func (h *heldSlots) nextFree(now time.Time) (wait time.Duration, ok bool) {
	if h.count(now) == 0 || len(h.left) == 0 {
		return 0, false
	}
	return h.left[0].Sub(now), true
}

// NoteServerLoad records how many requests, running and waiting, the server named in the answer to a request that the Gate still counts as
// running. It returns the number of slots that others hold. A server that names another number of slots speaks of something else, and
// changes nothing.
func (g *Gate) NoteServerLoad(now time.Time, requests, slots int) int {
	if slots == g.slots {
		g.held.add(now, requests-g.running)
	}
	return g.held.count(now)
}

// HeldSlots returns how many slots are held by requests that aren't running for the Gate, as far as the server's answers show.
func (g *Gate) HeldSlots(now time.Time) int { return g.held.count(now) }

// hasFreeSlot reports whether one more request may run. One always may, since only answers show that held slots are free again.
func (g *Gate) hasFreeSlot(now time.Time) bool {
	return float64(g.running) < max(g.limit-float64(g.held.count(now)), 1)
}
