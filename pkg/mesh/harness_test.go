package mesh

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rockspoke/rockspoke/pkg/clock"
	"github.com/rockspoke/rockspoke/pkg/desired"
	"github.com/rockspoke/rockspoke/pkg/directory"
	"github.com/rockspoke/rockspoke/pkg/settings"
)

// testNames are headers of the tests' own.
var testNames = HeaderNames{
	AttemptID: "X-Attempt", TimeLeft: "X-Time-Left", Instance: "X-Instance",
	NotRun: "X-Not-Run", Caller: "X-Caller",
}

// sealHeader is one that backend servers set and nodes pass on like any other.
const sealHeader = "X-Seal"

// fakeStore is a store in memory that can be told to fail.
type fakeStore struct {
	mu      sync.Mutex
	state   []byte
	version int64
	changed chan struct{}
	records map[string]directory.Record
	down    bool
	writes  int
}

func newFakeStore() *fakeStore {
	return &fakeStore{changed: make(chan struct{}), records: map[string]directory.Record{}}
}

type storeDownError struct{}

func (storeDownError) Error() string { return "store is down" }

func (s *fakeStore) put(st desired.State) {
	data, _ := json.Marshal(st)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = data
	s.version++
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeStore) seam() Store {
	return Store{
		ReadState: func(context.Context) ([]byte, int64, error) {
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.down {
				return nil, 0, storeDownError{}
			}
			return s.state, s.version, nil
		},
		FollowState: func(ctx context.Context, after int64) ([]byte, int64, error) {
			for {
				s.mu.Lock()
				changed, down := s.changed, s.down
				data, v := s.state, s.version
				s.mu.Unlock()
				switch {
				case down:
					return nil, 0, storeDownError{}
				case v > after:
					return data, v, nil
				}
				select {
				case <-changed:
				case <-ctx.Done():
					return nil, 0, ctx.Err()
				}
			}
		},
		ReadRecords: func(context.Context) ([]directory.Record, error) {
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.down {
				return nil, storeDownError{}
			}
			var out []directory.Record
			for _, r := range s.records {
				out = append(out, r)
			}
			return out, nil
		},
		WriteRecord: func(_ context.Context, r directory.Record) error {
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.down {
				return storeDownError{}
			}
			s.records[r.Host] = r
			s.writes++
			return nil
		},
	}
}

func decodeTestState(data []byte) (*desired.State, error) {
	var s desired.State
	if err := json.Unmarshal(data, &s); err != nil {
		return nil, err
	}
	s.Source = data
	return desired.New(s)
}

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
	out  string // the node's outbound address
}

func (f *fakeServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(testNames.AttemptID)
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
		if !f.call(id, i, path, r.Header.Get(testNames.TimeLeft)) {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
	}
	w.Header().Set(sealHeader, "seal-"+f.instance)
	fmt.Fprintf(w, "%s %s", f.service, id)
}

func (f *fakeServer) call(id string, i int, path, left string) bool {
	req, _ := http.NewRequest(http.MethodGet, "http://"+f.out+path, nil)
	req.Host = "h"
	req.Header.Set(testNames.AttemptID, fmt.Sprintf("%s.%d", id, i))
	req.Header.Set(testNames.TimeLeft, left)
	res, err := callClient(f.ip).Do(req)
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

// site is some nodes with their backend servers on loopback addresses.
type site struct {
	t       testing.TB
	store   *fakeStore
	nodes   []*Node
	servers []*fakeServer
	base    string
	port    int
	clients *http.Client
	log     io.Writer
}

var siteCount atomic.Int64

func newSite(t testing.TB) *site {
	k := siteCount.Add(1)
	return &site{
		t: t, store: newFakeStore(), base: fmt.Sprintf("127.77.%d.", k), port: 21000, log: io.Discard,
		clients: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1000}},
	}
}

// add starts a node beside a server of the service.
func (s *site) add(service, zone string, slots int) (*Node, *fakeServer) {
	c := qt.New(s.t)
	ip := s.base + strconv.Itoa(len(s.nodes)+1)
	at := func(p int) string { return net.JoinHostPort(ip, strconv.Itoa(s.port+p)) }
	f := &fakeServer{ip: ip, service: service, zone: zone, slots: slots, instance: "i-" + ip, work: 2 * time.Millisecond, out: at(1)}
	f.srv = &http.Server{Addr: at(4), Handler: f}
	ln, err := net.Listen("tcp", at(4))
	c.Assert(err, qt.IsNil)
	go f.srv.Serve(ln)
	cfg := settings.Settings{
		VM: ip, Zone: zone, Service: service, Backend: settings.Backend{Address: at(4)},
		Listen: settings.Listen{Peers: at(0), Outbound: at(1), Control: at(2), Ready: at(2)},
		Mesh:   &settings.Mesh{Grace: 6 * time.Second},
	}
	cfg.Fill()
	n, err := New(Options{
		Settings: cfg, Names: testNames, Store: s.store.seam(), Decode: decodeTestState,
		Control: func(*Node) http.Handler { return http.NotFoundHandler() }, Clock: clock.Real{},
		Logger: func(part string) *slog.Logger { return slog.New(slog.NewTextHandler(s.log, nil)).With("node", ip) },
	})
	c.Assert(err, qt.IsNil)
	c.Assert(n.Start(context.Background()), qt.IsNil)
	s.nodes = append(s.nodes, n)
	s.servers = append(s.servers, f)
	s.t.Cleanup(func() {
		n.halt()
		f.srv.Close()
	})
	s.beat(len(s.nodes)-1, false)
	return n, f
}

// beat sends a heartbeat of the server.
func (s *site) beat(i int, draining bool) {
	f := s.servers[i]
	s.nodes[i].Heartbeat(context.Background(), directory.Registration{
		Instance: f.instance, Service: f.service, Zone: f.zone, Slots: f.slots, Draining: draining, Call: f.seq.Add(1),
	})
}

// until waits for a condition.
func (s *site) until(what string, ok func() bool) {
	s.t.Helper()
	for end := time.Now().Add(20 * time.Second); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			s.t.Fatalf("not in time: %s", what)
		}
	}
}

// settled waits until all nodes know the state and every server.
func (s *site) settled(version int64) {
	s.t.Helper()
	s.until("all nodes know all", func() bool {
		for _, n := range s.nodes {
			total := 0
			for _, list := range n.view.Load().services {
				total += len(list)
			}
			st := n.state.Load()
			if st == nil || st.Version < version || total != len(s.nodes) {
				return false
			}
		}
		return true
	})
}

// ask sends a request to a node as a client; the status is 0 if the connection broke.
func (s *site) ask(i int, method, path, id string, left time.Duration) (int, string, http.Header) {
	addr := s.nodes[i].cfg.Listen.Outbound
	req, _ := http.NewRequest(method, "http://"+addr+path, nil)
	req.Host = "h"
	req.Header.Set(testNames.AttemptID, id)
	req.Header.Set(testNames.TimeLeft, strconv.FormatInt(left.Milliseconds(), 10))
	res, err := s.clients.Do(req)
	if err != nil {
		return 0, err.Error(), nil
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, err.Error(), res.Header
	}
	return res.StatusCode, string(body), res.Header
}

func route(name string, kind desired.Kind, service string) desired.Route {
	return desired.Route{
		Name: name, Host: "h", Prefix: "/" + name + "/", Kind: kind, MaxAttempts: 3,
		Targets: []desired.Target{{Service: service, Weight: 1}},
	}
}

func mustState(t testing.TB, s desired.State) []byte {
	data, err := json.Marshal(s)
	qt.Assert(t, err, qt.IsNil)
	return data
}
