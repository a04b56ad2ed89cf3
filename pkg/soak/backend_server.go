package soak

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/rockspoke/rockspoke/pkg/clock"
	"github.com/rockspoke/rockspoke/pkg/directory"
	"github.com/rockspoke/rockspoke/platform/standin"
)

// serverFault is how a backend server misbehaves; its zero value is a sound one.
type serverFault struct {
	Slow  int     // times its usual work
	Fail  float64 // share of runs that end in a failure
	Shed  float64 // share of requests that it refuses
	Cut   float64 // share of runs whose answer is lost
	Extra float64 // share of answers with more bytes behind them
}

// backendServer is one backend server of the soak.
type backendServer struct {
	vm       *vm
	history  *history
	calls    *http.Client // through the node on its VM
	register *http.Client

	faults overlapping[serverFault]

	mu       sync.Mutex
	instance string
	born     int64 // Unix milliseconds
	life     int
	seq      int64
	draining bool
}

// The servers' constants.
const (
	serverSlots  = 64
	serverWork   = 8 * time.Millisecond
	beatPeriod   = 500 * time.Millisecond
	registerTime = time.Second
	// drainTime is how long requests may still arrive after a leave was acknowledged.
	drainTime = 2 * time.Second
)

// renew begins a new life of the server.
func (b *backendServer) renew() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.life++
	b.instance = fmt.Sprintf("i-%s-%d", b.vm.ip, b.life)
	b.born = time.Now().UnixMilli()
	b.seq, b.draining = 0, false
}

// startAgain begins a new life under the instance that the server has. It returns a heartbeat of the life before, which may still come. It reports false for
// a server that is leaving: what arrives after that is told by its instance, which goes on then.
func (b *backendServer) startAgain() (late directory.Registration, ok bool) {
	late = b.registration()
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.draining {
		return late, false
	}
	b.born = max(time.Now().UnixMilli(), b.born+1)
	b.seq = 0
	return late, true
}

// registration returns the next heartbeat.
func (b *backendServer) registration() directory.Registration {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.seq++
	return directory.Registration{
		Instance: b.instance, StartedMS: b.born, Address: b.vm.at(portBackend), Service: b.vm.service, Zone: b.vm.zone,
		Release: "v1", Slots: serverSlots, Draining: b.draining, CallSeq: b.seq,
	}
}

// state returns what requests need.
func (b *backendServer) state() (instance string, f serverFault) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.instance, b.faults.now()
}

// beat sends one heartbeat; it reports whether it was acknowledged.
func (b *backendServer) beat() bool {
	return standin.Register(b.register, b.vm.at(portControl), b.registration()) == nil
}

// keepBeating sends heartbeats until ctx ends.
func (b *backendServer) keepBeating(ctx context.Context) {
	for clock.Sleep(ctx, beatPeriod) {
		b.beat()
	}
}

// leave says that the server drains, until that is acknowledged or the time is up.
func (b *backendServer) leave() {
	b.mu.Lock()
	b.draining = true
	instance := b.instance
	b.mu.Unlock()
	for end := time.Now().Add(leaveTime); time.Now().Before(end); time.Sleep(beatPeriod) {
		if b.beat() {
			b.history.addLeave(acknowledgedLeave{Instance: instance, At: time.Now()})
			return
		}
	}
}

// leaveTime is how long a server asks for the acknowledgement of its leave.
const leaveTime = 3 * time.Second
