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

// serverFault is how a backend server misbehaves; the zero value is a healthy one. Fractions are from 0 to 1.
type serverFault struct {
	Slowdown       int     // factor on the usual run time
	FailureRate    float64 // fraction of runs that fail
	RefusalRate    float64 // fraction of requests rejected without a run
	LostAnswerRate float64 // fraction of runs whose response is lost
	ExtraBytesRate float64 // fraction of responses followed by surplus bytes
	EndlessRate    float64 // fraction of responses without end
	EndlessForm    endlessForm
}

// backendServer is one simulated backend server.
type backendServer struct {
	vm             *vm
	history        *history
	callClient     *http.Client // sends calls through the node on its VM
	registerClient *http.Client

	faults overlappingFaults[serverFault]

	mu        sync.Mutex
	instance  string
	startedMS int64 // Unix milliseconds
	lifetime  int
	seq       int64
	draining  bool
	limit     string // rate limit in its answers; empty: none
	leaving   bool   // its answers say that it leaves
	silent    bool   // it has deregistered and sends no more heartbeats
}

// Constants of the backend servers.
const (
	serverSlots   = 64
	serverRunTime = 8 * time.Millisecond
	// longRunTime is the additional time of one in longRunEvery runs of routeLong.
	longRunTime     = 2400 * time.Millisecond
	longRunEvery    = 25
	heartbeatPeriod = 500 * time.Millisecond
	registerTimeout = time.Second
	// drainDuration is how long requests may still arrive after a drain was acknowledged.
	drainDuration = 2 * time.Second
)

// startNewInstance starts a new lifetime of the server under a new instance.
func (b *backendServer) startNewInstance() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lifetime++
	b.instance = fmt.Sprintf("i-%s-%d", b.vm.ip, b.lifetime)
	b.startedMS = time.Now().UnixMilli()
	b.seq, b.draining = 0, false
	b.limit, b.leaving, b.silent = "", false, false
}

// restartSameInstance starts a new lifetime of the server under the same instance. It returns a heartbeat of the
// previous lifetime, to be delivered late. It returns false and changes nothing in the lifetime of a server that is
// draining: the check for requests after a drain goes by the instance, which a restart would keep in use.
func (b *backendServer) restartSameInstance() (late directory.Registration, ok bool) {
	late = b.nextHeartbeat()
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.draining || b.leaving || b.silent {
		return late, false
	}
	b.startedMS = max(time.Now().UnixMilli(), b.startedMS+1)
	b.seq = 0
	b.limit, b.leaving = "", false
	return late, true
}

// nextHeartbeat returns the next heartbeat, with a new sequence number.
func (b *backendServer) nextHeartbeat() directory.Registration {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.seq++
	return directory.Registration{
		Instance: b.instance, StartedMS: b.startedMS, Address: b.vm.at(portBackend), Service: b.vm.service, Zone: b.vm.zone,
		Release: "v1", Slots: serverSlots, Draining: b.draining, HeartbeatSeq: b.seq,
	}
}

// instanceAndFault returns the current instance, a name of its lifetime and the fault in effect.
func (b *backendServer) instanceAndFault() (instance, lifetime string, f serverFault) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.instance, b.lifetimeName(), b.faults.current()
}

// lifetimeName returns a name of the current lifetime that no other lifetime of any server has; b.mu must be held.
func (b *backendServer) lifetimeName() string { return fmt.Sprintf("%s/%d", b.instance, b.startedMS) }

// sendHeartbeat sends one heartbeat and reports whether the node acknowledged it.
func (b *backendServer) sendHeartbeat() bool {
	return standin.Register(b.registerClient, b.vm.at(portControl), b.nextHeartbeat()) == nil
}

// sendHeartbeats sends a heartbeat each heartbeatPeriod until ctx ends.
func (b *backendServer) sendHeartbeats(ctx context.Context) {
	for clock.Sleep(ctx, heartbeatPeriod) {
		if !b.isSilent() {
			b.sendHeartbeat()
		}
	}
}

// isSilent reports whether the server has deregistered.
func (b *backendServer) isSilent() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.silent
}

// drain sends heartbeats that say the server is draining, until one is acknowledged or drainAckTimeout has passed.
func (b *backendServer) drain() {
	b.mu.Lock()
	b.draining = true
	instance := b.instance
	b.mu.Unlock()
	for end := time.Now().Add(drainAckTimeout); time.Now().Before(end); time.Sleep(heartbeatPeriod) {
		if b.sendHeartbeat() {
			b.history.addLeave(acknowledgedLeave{Instance: instance, At: time.Now()})
			return
		}
	}
}

// drainAckTimeout limits the wait for the acknowledgement of a drain.
const drainAckTimeout = 3 * time.Second
