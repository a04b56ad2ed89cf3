package node

import (
	"sync"
	"sync/atomic"
	"time"
)

// needWindow is the time over which a route's least time is learned; two of them are kept.
const needWindow = 5 * time.Second

// needTable learns the least time in which each route has been seen to answer; its zero value is ready.
type needTable struct{ routes sync.Map }

type need struct {
	mu      sync.Mutex
	start   time.Time
	now     time.Duration // least in the window that runs, 0 if none
	before  time.Duration // least in the window before
	current atomic.Int64
}

// observe notes the time that an answered call took.
func (t *needTable) observe(now time.Time, route string, d time.Duration) {
	x, ok := t.routes.Load(route)
	if !ok {
		x, _ = t.routes.LoadOrStore(route, &need{start: now})
	}
	nd := x.(*need)
	nd.mu.Lock()
	defer nd.mu.Unlock()
	if age := now.Sub(nd.start); age >= needWindow {
		nd.before = nd.now
		if age >= 2*needWindow {
			nd.before = 0
		}
		nd.start, nd.now = now, 0
	}
	if nd.now == 0 || d < nd.now {
		nd.now = d
	}
	least := nd.now
	if nd.before != 0 {
		least = min(least, nd.before)
	}
	nd.current.Store(int64(least))
}

// least returns the time below which the route has not been seen to answer, or 0.
func (t *needTable) least(route string) time.Duration {
	x, ok := t.routes.Load(route)
	if !ok {
		return 0
	}
	return time.Duration(x.(*need).current.Load())
}
