package logging

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rockspoke/rockspoke/pkg/clock"
)

// DefaultQueueSize is the default number of lines that may wait to be written: as many as a busy node logs in a second.
const DefaultQueueSize = 2048

// dropReportPeriod is the time between lines that report how many lines were dropped.
const dropReportPeriod = 5 * time.Second

// Queue is a writer that never blocks: lines wait in a bounded queue for one goroutine that writes them.
// Lines that find the queue full are dropped and counted.
type Queue struct {
	lines   chan []byte
	dropped atomic.Int64 // since the last report
	stop    chan struct{}
	done    chan struct{}
	once    sync.Once
}

// NewQueue returns a Queue of at most size lines in front of w, and starts its goroutine. The clock times the reports of dropped lines.
func NewQueue(w io.Writer, c clock.Clock, size int) *Queue {
	q := &Queue{lines: make(chan []byte, size), stop: make(chan struct{}), done: make(chan struct{})}
	go q.run(w, c)
	return q
}

// Write queues a copy of one line, or drops and counts it if the queue is full; it never fails.
func (q *Queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped and not yet reported in the log.
func (q *Queue) Dropped() int64 { return q.dropped.Load() }

// run writes the queued lines and the reports of dropped lines to w, until Close.
func (q *Queue) run(w io.Writer, c clock.Clock) {
	ticks, stop := c.NewTicker(dropReportPeriod)
	defer stop()
	defer close(q.done)
	for {
		select {
		case line := <-q.lines:
			_, _ = w.Write(line) // there is nowhere else to report a failed write
		case <-q.stop:
			q.drain(w)
			return
		case <-ticks:
			if n := q.dropped.Swap(0); n > 0 {
				_, _ = fmt.Fprintf(w, `{"time":%q,"level":"WARN","msg":"logging: lines left out","count":%d}`+"\n",
					c.Now().Format(time.RFC3339Nano), n) // as above
			}
		}
	}
}

// drain writes the lines that are queued.
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

// Close stops the goroutine and waits, for at most the given time, until it has written the queued lines.
func (q *Queue) Close(wait time.Duration) {
	q.once.Do(func() { close(q.stop) })
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-q.done:
	case <-t.C:
	}
}
