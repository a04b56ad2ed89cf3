package mesh

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rockspoke/rockspoke/pkg/advertised"
	"github.com/rockspoke/rockspoke/pkg/directory"
)

// testNames are the header names that the tests use.
var testNames = HeaderNames{
	AttemptID: "X-Attempt", TimeLeft: "X-Time-Left", Instance: "X-Instance",
	NotRun: "X-Not-Run", Caller: "X-Caller", Key: "Authorization", KeyScheme: "Token", Team: "X-Team",
	Advertised: advertised.Names{RateLimit: "X-Rate-Limit", Leaving: "X-Leaving", Load: "X-Load"},
}

// sealHeader is a header that backend servers set and nodes pass on like any other.
const sealHeader = "X-Seal"

// fakeServer is the backend server of a node.
type fakeServer struct {
	ip, service, instance, zone string
	slots                       int
	workTime                    time.Duration
	handle                      func(w http.ResponseWriter, r *http.Request) // instead of the usual answer, if set
	calls                       []string                                     // paths that one run calls, one after the other

	mu             sync.Mutex
	seen           []string // attempt ids that ran
	srv            *http.Server
	heartbeatSeq   atomic.Int64
	lifetimeNumber atomic.Int64 // number of its current lifetime
	down           atomic.Bool  // it has crashed, and its next lifetime hasn't begun
	startedAt      atomic.Int64 // start of this lifetime, in Unix milliseconds; 0: not reported
	outboundAddr   string       // the node's outbound address
	client         *http.Client // for calls to the node
}

// ServeHTTP records the attempt, makes the calls of the run and answers, or calls the handler if one is set.
func (f *fakeServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(testNames.AttemptID)
	deadline := time.Now().Add(parseMillis(r.Header.Get(testNames.TimeLeft)))
	f.mu.Lock()
	f.seen = append(f.seen, id)
	handle := f.handle
	f.mu.Unlock()
	w.Header().Set(testNames.AttemptID, id)
	if handle != nil {
		handle(w, r)
		return
	}
	time.Sleep(f.workTime)
	for i, path := range f.calls {
		if !f.call(id, i, path, deadline) {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
	}
	w.Header().Set(sealHeader, "seal-"+f.instance)
	fmt.Fprintf(w, "%s %s", f.service, id)
}

// call makes one call, whose time limit is the deadline of its run; it reports whether the call succeeded.
func (f *fakeServer) call(id string, i int, path string, deadline time.Time) bool {
	req, _ := http.NewRequest(http.MethodGet, "http://"+f.outboundAddr+path, nil)
	req.Host = "h"
	req.Header.Set(testNames.AttemptID, fmt.Sprintf("%s.%d", id, i))
	req.Header.Set(testNames.TimeLeft, strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	res, err := f.client.Do(req)
	if err != nil {
		return false
	}
	defer res.Body.Close()
	_, _ = io.Copy(io.Discard, res.Body)
	return res.StatusCode == http.StatusOK
}

// callClient returns the client that sends from the address of a VM, as its backend server does.
func callClient(ip string) *http.Client {
	v, _ := callClients.LoadOrStore(ip, &http.Client{Transport: &http.Transport{
		DialContext: newDialer(ip, time.Second).DialContext, MaxIdleConnsPerHost: 500,
	}})
	return v.(*http.Client)
}

var callClients sync.Map

// registration returns the server's next heartbeat.
func (f *fakeServer) registration(draining bool) directory.Registration {
	return directory.Registration{
		Instance: f.instance, Service: f.service, Zone: f.zone, Slots: f.slots, Draining: draining, HeartbeatSeq: f.heartbeatSeq.Add(1), StartedMS: f.startedAt.Load(),
	}
}

// ran returns the attempt ids that ran here.
func (f *fakeServer) ran() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.seen...)
}
