package node

import (
	"sync"
	"sync/atomic"
	"time"
)

// latencyWindow is the time over which a route's least time is learned; two of them are kept.
const latencyWindow = 5 * time.Second

// latencyFloors learns the least time in which each route has been seen to answer; its zero value is ready.
type latencyFloors struct{ routes sync.Map }

type routeLatency struct {
	mu            sync.Mutex
	start         time.Time
	windowMin     time.Duration // least in the window that runs, 0 if none
	prevWindowMin time.Duration // least in the window before
	floor         atomic.Int64
}

// observe notes the time that an answered call took.
func (t *latencyFloors) observe(now time.Time, route string, d time.Duration) {
	x, ok := t.routes.Load(route)
	if !ok {
		x, _ = t.routes.LoadOrStore(route, &routeLatency{start: now})
	}
	nd := x.(*routeLatency)
	nd.mu.Lock()
	defer nd.mu.Unlock()
	if age := now.Sub(nd.start); age >= latencyWindow {
		nd.prevWindowMin = nd.windowMin
		if age >= 2*latencyWindow {
			nd.prevWindowMin = 0
		}
		nd.start, nd.windowMin = now, 0
	}
	if nd.windowMin == 0 || d < nd.windowMin {
		nd.windowMin = d
	}
	least := nd.windowMin
	if nd.prevWindowMin != 0 {
		least = min(least, nd.prevWindowMin)
	}
	nd.floor.Store(int64(least))
}

// floor returns the time below which the route has not been seen to answer, or 0.
func (t *latencyFloors) floor(route string) time.Duration {
	x, ok := t.routes.Load(route)
	if !ok {
		return 0
	}
	return time.Duration(x.(*routeLatency).floor.Load())
}
