package node

import (
	"sync"
	"sync/atomic"
	"time"
)

// latencyWindow is the period over which a route's minimum latency is tracked; the last two windows count.
const latencyWindow = 5 * time.Second

// latencyFloorTable tracks the minimum latency of each route's answers; its zero value is ready to use.
type latencyFloorTable struct{ routes sync.Map }

// routeLatency tracks one route's minimum latency over the current and the previous window.
type routeLatency struct {
	mu            sync.Mutex
	start         time.Time
	windowMin     time.Duration // minimum in the current window, 0 if none
	prevWindowMin time.Duration // minimum in the previous window, 0 if none
	lastProbe     time.Time     // when a call below the floor was last let through
	floor         atomic.Int64
}

// observe records the latency of an answered call.
func (t *latencyFloorTable) observe(now time.Time, route string, d time.Duration) {
	x, ok := t.routes.Load(route)
	if !ok {
		x, _ = t.routes.LoadOrStore(route, &routeLatency{start: now})
	}
	rl := x.(*routeLatency)
	rl.mu.Lock()
	defer rl.mu.Unlock()
	if age := now.Sub(rl.start); age >= latencyWindow {
		rl.prevWindowMin = rl.windowMin
		if age >= 2*latencyWindow {
			rl.prevWindowMin = 0
		}
		rl.start, rl.windowMin = now, 0
	}
	if rl.windowMin == 0 || d < rl.windowMin {
		rl.windowMin = d
	}
	least := rl.windowMin
	if rl.prevWindowMin != 0 {
		least = min(least, rl.prevWindowMin)
	}
	rl.floor.Store(int64(least))
}

// floor returns the minimum latency seen recently on the route, or 0 if none is known.
func (t *latencyFloorTable) floor(route string) time.Duration {
	x, ok := t.routes.Load(route)
	if !ok {
		return 0
	}
	return time.Duration(x.(*routeLatency).floor.Load())
}

// tooLate reports whether a call with that time left would be answered too late, and the route's minimum latency. One call per minimum latency
// is let through: if all answers that were seen waited for something that is over, only further calls can show it.
func (t *latencyFloorTable) tooLate(now time.Time, route string, left time.Duration) (floor time.Duration, late bool) {
	x, ok := t.routes.Load(route)
	if !ok {
		return 0, left <= 0
	}
	rl := x.(*routeLatency)
	floor = time.Duration(rl.floor.Load())
	return floor, left <= 0 || left < floor && !rl.startProbe(now, floor)
}

// startProbe reports whether a call below the minimum latency may go, and notes that it goes.
func (rl *routeLatency) startProbe(now time.Time, period time.Duration) bool {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	if now.Sub(rl.lastProbe) < period {
		return false
	}
	rl.lastProbe = now
	return true
}
