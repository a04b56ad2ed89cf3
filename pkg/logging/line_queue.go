package logging

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rockspoke/rockspoke/pkg/clock"
)

// DefaultQueueSize is how many lines may wait to be written: a second of a busy node's.
const DefaultQueueSize = 2048

// leftOutPeriod is the time between lines that say how many were left out.
const leftOutPeriod = 5 * time.Second

// Queue is a writer that never blocks: lines wait in a bounded queue for one goroutine that writes them,
// and those that find it full are counted.
type Queue struct {
	lines   chan []byte
	leftOut atomic.Int64
	stop    chan struct{}
	done    chan struct{}
	once    sync.Once
}

// NewQueue returns a Queue in front of w and starts its goroutine.
func NewQueue(w io.Writer, c clock.Clock, size int) *Queue {
	q := &Queue{lines: make(chan []byte, size), stop: make(chan struct{}), done: make(chan struct{})}
	go q.run(w, c)
	return q
}

// Write takes one line, or counts it as left out; it never fails.
func (q *Queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.leftOut.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were left out and not yet told of.
func (q *Queue) Dropped() int64 { return q.leftOut.Load() }

func (q *Queue) run(w io.Writer, c clock.Clock) {
	ticks, stop := c.NewTicker(leftOutPeriod)
	defer stop()
	defer close(q.done)
	for {
		select {
		case line := <-q.lines:
			_, _ = w.Write(line) // a reader that has gone can't be told so
		case <-q.stop:
			q.drain(w)
			return
		case <-ticks:
			if n := q.leftOut.Swap(0); n > 0 {
				_, _ = fmt.Fprintf(w, `{"time":%q,"level":"WARN","msg":"logging: lines left out","count":%d}`+"\n",
					c.Now().Format(time.RFC3339Nano), n) // as above
			}
		}
	}
}

// drain writes what waits.
func (q *Queue) drain(w io.Writer) {
	for {
		select {
		case line := <-q.lines:
			_, _ = w.Write(line) // as above
		default:
			return
		}
	}
}

// Close writes what waits, for at most the given time.
func (q *Queue) Close(wait time.Duration) {
	q.once.Do(func() { close(q.stop) })
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-q.done:
	case <-t.C:
	}
}
