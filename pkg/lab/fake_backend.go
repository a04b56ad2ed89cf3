package lab

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rockspoke/rockspoke/pkg/clock"
	"github.com/rockspoke/rockspoke/pkg/wire"
)

// The headers by which the fakes know requests; daemons pass them on like any others.
const (
	headerLabRequest = "X-Lab-Request"
	headerLabParent  = "X-Lab-Parent"
	headerLabPlace   = "X-Lab-Place"
)

// outgoing is a call that a fake backend server makes.
type outgoing struct {
	service string
	method  string
	path    string
	header  http.Header
}

// reply is what came back; err is set where nothing came.
type reply struct {
	status  int
	outcome wire.Outcome
	reason  wire.Reason
	body    string
	err     error
}

// caller sends a fake's calls into the system under test.
type caller func(ctx context.Context, c outgoing) reply

// Backend is a fake backend server: slots, a first-come first-served queue, and calls of its own.
type Backend struct {
	Name    string
	Address string
	graph   *Graph
	service *Service
	history *History
	call    caller
	seed    uint64

	slots   chan struct{}
	waiting atomic.Int64
	next    atomic.Int64
	slow    atomic.Int64 // service time is multiplied by this over 100; 0 means 100
	down    atomic.Bool
	drain   atomic.Bool
	drop    atomic.Int64 // every n-th answer is lost after the work; 0 means none

	mu     sync.Mutex
	server *http.Server
}

// Start serves at the backend's address.
func (b *Backend) Start() error {
	ln, err := net.Listen("tcp", b.Address)
	if err != nil {
		return err
	}
	b.slots = make(chan struct{}, b.service.Slots)
	s := &http.Server{Handler: http.HandlerFunc(b.serve)}
	b.mu.Lock()
	b.server = s
	b.mu.Unlock()
	go func() { _ = s.Serve(ln) }() // ends with Stop
	return nil
}

// Stop cuts every connection.
func (b *Backend) Stop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.server != nil {
		_ = b.server.Close() // on purpose
	}
}

// Slow multiplies the service time.
func (b *Backend) Slow(factor float64) { b.slow.Store(int64(factor * 100)) }

// Down makes the server break every connection at once, or be well again.
func (b *Backend) Down(v bool) { b.down.Store(v) }

// Drain makes the server say that it drains.
func (b *Backend) Drain(v bool) { b.drain.Store(v) }

// drainPath is where the fakes say whether they drain.
const drainPath = "/drain"

// DropEvery loses every n-th answer after the work is done; 0 loses none.
func (b *Backend) DropEvery(n int) { b.drop.Store(int64(n)) }

func (b *Backend) serviceTime(n int64) time.Duration {
	d := b.service.Time
	if f := b.slow.Load(); f > 0 {
		d = d * time.Duration(f) / 100
	}
	r := rand.New(rand.NewPCG(b.seed, uint64(n)))
	return time.Duration(float64(d) * (0.8 + 0.4*r.Float64()))
}

func (b *Backend) serve(w http.ResponseWriter, r *http.Request) {
	if b.down.Load() {
		panic(http.ErrAbortHandler)
	}
	if r.URL.Path == drainPath {
		w.Header().Set("Rockspoke-Drain", strconv.FormatBool(b.drain.Load()))
		return
	}
	n := b.next.Add(1)
	class := b.graph.class(r.URL.Path[1:])
	_, _ = io.Copy(io.Discard, r.Body) // the fakes' requests carry nothing of interest
	run := b.history.addRun(Run{
		ID: b.Name + "/" + strconv.FormatInt(n, 10), Parent: r.Header.Get(headerLabParent),
		Request: r.Header.Get(headerLabRequest), Service: b.service.Name, Server: b.Name, Class: class.Name,
		Place: r.Header.Get(headerLabPlace), OnceOnly: class.OnceOnly, Arrived: time.Now(),
	})
	if !b.enter(r.Context(), w) {
		return
	}
	b.history.update(func() { run.Started = time.Now() })
	ok := b.work(r, run, class, n)
	<-b.slots
	b.history.update(func() {
		run.Ended = time.Now()
		run.Done = ok
	})
	if every := b.drop.Load(); every > 0 && n%every == 0 {
		panic(http.ErrAbortHandler)
	}
	if !ok {
		http.Error(w, "a call below failed", http.StatusBadGateway)
		return
	}
	_, _ = io.WriteString(w, answerTo(run.Request, b.service.Name)) // a caller that left is written down there
}

// answerTo is the one right answer of a service to a request.
func answerTo(request, service string) string {
	return fmt.Sprintf("answer of %s to %s", service, request)
}

// enter waits for a slot; it reports false if the call was shed or given up.
func (b *Backend) enter(ctx context.Context, w http.ResponseWriter) bool {
	select {
	case b.slots <- struct{}{}:
		return true
	default:
	}
	if b.service.Shed && b.waiting.Load() >= int64(b.service.Slots) {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "busy", http.StatusServiceUnavailable)
		return false
	}
	b.waiting.Add(1)
	defer b.waiting.Add(-1)
	select {
	case b.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// work takes the service time, half before and half after the calls below; it reports whether all went well.
func (b *Backend) work(r *http.Request, run *Run, class *Class, n int64) bool {
	half := b.serviceTime(n) / 2
	if !clock.Sleep(r.Context(), half) {
		return false
	}
	for i, stage := range class.Calls[b.service.Name] {
		if !b.stage(r, run, i, stage) {
			return false
		}
	}
	return clock.Sleep(r.Context(), half)
}

func (b *Backend) stage(r *http.Request, run *Run, i int, stage Stage) bool {
	results := make(chan bool, len(stage))
	for k, c := range stage {
		go func() {
			below := b.graph.class(c.Class)
			h := http.Header{}
			h.Set(headerLabRequest, run.Request)
			h.Set(headerLabParent, run.ID)
			h.Set(headerLabPlace, fmt.Sprintf("%d.%d", i, k))
			h.Set(wire.HeaderRequest, r.Header.Get(wire.HeaderRequest))
			rep := b.call(r.Context(), outgoing{service: c.Service, method: below.method(), path: below.path(), header: h})
			results <- rep.err == nil && rep.status == http.StatusOK && rep.body == answerTo(run.Request, c.Service)
		}()
	}
	ok := true
	for range stage {
		ok = <-results && ok
	}
	return ok
}
