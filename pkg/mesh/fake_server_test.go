package mesh

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// testNames are headers of the tests' own.
var testNames = HeaderNames{
	AttemptID: "X-Attempt", TimeLeft: "X-Time-Left", Instance: "X-Instance",
	NotRun: "X-Not-Run", Caller: "X-Caller", Key: "Authorization", KeyScheme: "Token", Team: "X-Team",
}

// sealHeader is one that backend servers set and nodes pass on like any other.
const sealHeader = "X-Seal"

// fakeServer is a backend server beside a node.
type fakeServer struct {
	ip, service, instance, zone string
	slots                       int
	work                        time.Duration
	handle                      func(w http.ResponseWriter, r *http.Request) // instead of the usual answer, if set
	calls                       []string                                     // paths that one run calls, one after the other

	mu   sync.Mutex
	seen []string // attempt ids that ran
	srv  *http.Server
	seq  atomic.Int64
	life atomic.Int64 // which of its lives this is
	down atomic.Bool  // it has ended, and the next life hasn't begun
	born atomic.Int64 // when this life began, in Unix milliseconds; 0: it doesn't say
	out  string       // the node's outbound address
	ways *http.Client // to the node
}

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
	time.Sleep(f.work)
	for i, path := range f.calls {
		if !f.call(id, i, path, deadline) {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
	}
	w.Header().Set(sealHeader, "seal-"+f.instance)
	fmt.Fprintf(w, "%s %s", f.service, id)
}

// call makes one call, which ends with its run at the latest.
func (f *fakeServer) call(id string, i int, path string, deadline time.Time) bool {
	req, _ := http.NewRequest(http.MethodGet, "http://"+f.out+path, nil)
	req.Host = "h"
	req.Header.Set(testNames.AttemptID, fmt.Sprintf("%s.%d", id, i))
	req.Header.Set(testNames.TimeLeft, strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	res, err := f.ways.Do(req)
	if err != nil {
		return false
	}
	defer res.Body.Close()
	_, _ = io.Copy(io.Discard, res.Body)
	return res.StatusCode == http.StatusOK
}

// callClient sends from the address of a VM, as its backend server does.
func callClient(ip string) *http.Client {
	v, _ := callClients.LoadOrStore(ip, &http.Client{Transport: &http.Transport{
		DialContext: dialer(ip, time.Second).DialContext, MaxIdleConnsPerHost: 500,
	}})
	return v.(*http.Client)
}

var callClients sync.Map

func (f *fakeServer) ran() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.seen...)
}
