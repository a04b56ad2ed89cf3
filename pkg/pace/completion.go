package pace

import "time"

// Factor returns the factor of a pace on the slot hold time of a kind whose runs wait for their own calls for a share of it, 0 if
// unknown.
func Factor(pace, callShare float64) float64 { return Usual + (1-callShare)*(pace-Usual) }

// Hold returns the expected slot hold time of a kind at a server.
func Hold(typical time.Duration, slowdown, factor float64) time.Duration {
	return time.Duration(float64(typical) * slowdown * factor)
}

// Constants of the wait for a slot.
const (
	// crowdWeight estimates the wait for a slot, in slot hold times, at a server with free slots as crowdWeight * use^3. What a sender
	// knows of the use is old, and other senders know the same. In trials with 880 senders at 0.9 of the slots, three seeds, the mean
	// time to the end was 187, 177 and 203 ms at 0, 0.25 and 0.5.
	crowdWeight = 0.25
	// queueWeight is the wait in slot hold times for each use beyond all slots. A queue of all slots is one hold time long;
	// more than that counts since a gate rejects what would wait longer than about one hold time.
	queueWeight = 4.0
)

// CompletionTime returns the expected time to the end of a call at a server, in typical slot hold times of its kind. slowdown is that of
// the call there and now; use is 1 when all slots are taken.
func CompletionTime(slowdown, use float64) float64 {
	return slowdown * (1 + crowdWeight*use*use*use + queueWeight*max(use-1, 0))
}

// Bounds of WorkPerSlot. One report must not take most of a server away, nor multiply it.
const (
	minWorkPerSlot = 0.3
	maxWorkPerSlot = 2.5
)

// WorkPerSlot returns the work that one slot of a server does now, relative to that of an average run: by its mean slowdown in recent
// runs, whose told pace had the factor meanFactor, and by the factor now.
func WorkPerSlot(meanSlowdown, meanFactor, factor float64) float64 {
	now := meanSlowdown / meanFactor * factor
	if now <= 0 {
		return 1
	}
	return min(max(1/now, minWorkPerSlot), maxWorkPerSlot)
}
