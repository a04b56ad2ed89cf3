package mesh

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rockspoke/rockspoke/pkg/desired"
	"github.com/rockspoke/rockspoke/pkg/directory"
	"github.com/rockspoke/rockspoke/pkg/settings"
)

// site is some nodes with their backend servers on loopback addresses.
type site struct {
	t       testing.TB
	store   *fakeStore
	nodes   []*Node
	servers []*fakeServer
	base    string
	port    int
	clients *http.Client
	network *memoryNetwork // nil: loopback
	seeds   []string
	first   bool                       // the whole system starts for the first time
	clocks  map[string]*suspendedClock // of the VMs that have one of their own
	log     io.Writer
	tune    func(m *settings.Mesh) // changes the settings of the nodes, if set
}

var siteCount atomic.Int64

func newSite(t testing.TB) *site {
	k := siteCount.Add(1)
	return &site{
		t: t, store: newFakeStore(), base: fmt.Sprintf("127.77.%d.", k), port: 21000, log: io.Discard,
		clients: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1000}},
	}
}

// newMemorySite is a site on a network within the process, which runs in made-up time as well.
func newMemorySite(t testing.TB) *site {
	s := newSite(t)
	s.network = &memoryNetwork{}
	s.clients = s.network.client("127.0.0.1")
	s.t.Cleanup(s.clients.CloseIdleConnections)
	return s
}

// add starts a node beside a server of the service.
func (s *site) add(service, zone string, slots int) (*Node, *fakeServer) {
	c := qt.New(s.t)
	ip := s.base + strconv.Itoa(len(s.nodes)+1)
	f := &fakeServer{ip: ip, service: service, zone: zone, slots: slots, instance: "i-" + ip, work: 2 * time.Millisecond, out: s.at(ip, 1)}
	f.ways = s.waysFrom(ip)
	f.srv = &http.Server{Addr: s.at(ip, 4), Handler: f}
	ln, err := s.wire().listen(f.srv.Addr)
	c.Assert(err, qt.IsNil)
	go f.srv.Serve(ln)
	s.servers = append(s.servers, f)
	s.nodes = append(s.nodes, nil)
	s.start(len(s.nodes) - 1)
	s.t.Cleanup(func() {
		s.nodes[slices.Index(s.servers, f)].halt()
		f.srv.Close()
	})
	return s.nodes[len(s.nodes)-1], f
}

// at returns an address of a VM.
func (s *site) at(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(s.port+port)) }

// wire returns what nodes and servers listen on.
func (s *site) wire() Network {
	if s.network == nil {
		return Network{}
	}
	return Network{Listen: s.network.listen, Dial: s.network.dial}
}

// waysFrom returns a client that sends from the address of a VM, as its backend server does.
func (s *site) waysFrom(ip string) *http.Client {
	if s.network == nil {
		return callClient(ip)
	}
	return s.network.client(ip)
}

// start starts the node beside a server, which then sends a heartbeat; one that was halted loses all it knew.
func (s *site) start(i int) {
	s.startNode(i)
	s.beat(i, false)
}

// startNode does the same without a heartbeat.
func (s *site) startNode(i int) {
	n := s.newNode(i)
	qt.New(s.t).Assert(n.Start(context.Background()), qt.IsNil)
	s.nodes[i] = n
}

// newNode returns a node beside a server that isn't started.
func (s *site) newNode(i int) *Node {
	f := s.servers[i]
	cfg := settings.Settings{
		VM: f.ip, Zone: f.zone, Service: f.service, Backend: settings.Backend{Address: s.at(f.ip, 4)},
		Listen: settings.Listen{Peers: s.at(f.ip, 0), Outbound: s.at(f.ip, 1), Control: s.at(f.ip, 2), Ready: s.at(f.ip, 2)},
		Mesh:   &settings.Mesh{Grace: 6 * time.Second, Apply: 3 * time.Second, FirstStart: s.first}, Seeds: s.seeds,
	}
	if s.tune != nil {
		s.tune(cfg.Mesh)
	}
	cfg.Fill()
	n, err := New(Options{
		Settings: cfg, Names: testNames, Store: s.store.storeFor(f.ip), Decode: decodeTestState, Network: s.wire(),
		Control: func(*Node) http.Handler { return http.NotFoundHandler() }, Clock: s.clockOf(f.ip),
		Logger: func(part string) *slog.Logger { return slog.New(slog.NewTextHandler(s.log, nil)).With("node", f.ip) },
	})
	qt.New(s.t).Assert(err, qt.IsNil)
	return n
}

// beat sends a heartbeat of the server.
func (s *site) beat(i int, draining bool) {
	f := s.servers[i]
	s.nodes[i].Heartbeat(context.Background(), directory.Registration{
		Instance: f.instance, Service: f.service, Zone: f.zone, Slots: f.slots, Draining: draining, Call: f.seq.Add(1), Born: f.born.Load(),
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
	addr := s.servers[i].out // the node itself may be started anew meanwhile
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

// three is a site of three servers of one service, with a route of each kind.
func three(t *testing.T) *site {
	s := newSite(t)
	for i := range 3 {
		s.add("a", fmt.Sprint("z", i), 10)
	}
	s.store.put(desired.State{Version: 1, Routes: []desired.Route{
		route("read", desired.Repeatable, "a"), route("pay", desired.Once, "a"),
	}})
	s.settled(1)
	return s
}

// handleAll gives every server the handler.
func (s *site) handleAll(h func(f *fakeServer, w http.ResponseWriter, r *http.Request)) {
	for _, f := range s.servers {
		f.mu.Lock()
		f.handle = func(w http.ResponseWriter, r *http.Request) { h(f, w, r) }
		f.mu.Unlock()
	}
}

func (s *site) allRan() []string {
	var all []string
	for _, f := range s.servers {
		all = append(all, f.ran()...)
	}
	return all
}

func cutOff(w http.ResponseWriter) {
	c, _, _ := w.(http.Hijacker).Hijack()
	c.Close()
}
