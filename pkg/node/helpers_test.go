package node

import (
	"time"

	"github.com/rockspoke/rockspoke/pkg/metric"
)

// fixedClock is a clock that stands still.
type fixedClock struct{ now time.Time }

// Now returns the fixed time.
func (f fixedClock) Now() time.Time { return f.now }

// NewTicker returns a ticker that never fires.
func (f fixedClock) NewTicker(time.Duration) (<-chan time.Time, func()) { return nil, func() {} }

func newTestMetrics() *metric.Set { return metric.NewSet() }
