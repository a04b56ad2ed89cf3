package mesh

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rockspoke/rockspoke/pkg/desired"
	"github.com/rockspoke/rockspoke/pkg/settings"
)

// site is a set of nodes with their backend servers, on loopback addresses or within the process.
type site struct {
	t          testing.TB
	store      *fakeStore
	nodes      []*Node
	servers    []*fakeServer
	base       string
	port       int
	clients    *http.Client
	network    *memoryNetwork // nil: loopback
	seeds      []string
	firstStart bool                         // the whole system starts for the first time
	clocks     map[string]*suspendableClock // clocks of the VMs that have their own
	log        io.Writer
	tune       func(m *settings.Mesh) // changes the settings of the nodes, if set
	seed       uint64                 // 0: nodes and the test draw from the global source
	draws      *rand.Rand             // the test's own draws; safe for concurrent use
}

// seededSource is a source of random numbers that is safe for concurrent use.
type seededSource struct {
	mu  sync.Mutex
	src rand.Source
}

// Uint64 returns the next number.
func (s *seededSource) Uint64() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.src.Uint64()
}

// newSeededSource returns the source of one part of a site with the seed; part 0 is the test itself, the others are its nodes.
func newSeededSource(seed uint64, part int) *seededSource {
	return &seededSource{src: rand.NewPCG(seed, uint64(part))}
}

// seedDraws makes the nodes that start from now on, and the test, draw from sources with the seed.
func (s *site) seedDraws(seed uint64) {
	s.seed = seed
	s.draws = rand.New(newSeededSource(seed, 0))
}

// random returns the random numbers of a node.
func (s *site) random(i int) func() uint64 {
	if s.seed == 0 {
		return nil
	}
	return newSeededSource(s.seed, i+1).Uint64
}

var siteCount atomic.Int64

// newSite returns a site on loopback addresses, without nodes.
func newSite(t testing.TB) *site {
	k := siteCount.Add(1)
	return &site{
		t: t, draws: globalRandom, store: newFakeStore(), base: fmt.Sprintf("127.77.%d.", k), port: 21000, log: io.Discard,
		clients: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1000}},
	}
}

// newMemorySite returns a site on a network within the process, which also runs in simulated time.
func newMemorySite(t testing.TB) *site {
	s := newSite(t)
	s.network = &memoryNetwork{}
	s.clients = s.network.client("127.0.0.1")
	s.t.Cleanup(s.clients.CloseIdleConnections)
	return s
}

// add starts a node with a local backend server of the service.
func (s *site) add(service, zone string, slots int) (*Node, *fakeServer) {
	c := qt.New(s.t)
	ip := s.base + strconv.Itoa(len(s.nodes)+1)
	f := &fakeServer{ip: ip, service: service, zone: zone, slots: slots, instance: "i-" + ip, workTime: 2 * time.Millisecond, outboundAddr: s.at(ip, 1)}
	f.client = s.clientFrom(ip)
	f.srv = &http.Server{Addr: s.at(ip, 4), Handler: f}
	ln, err := s.nodeNetwork().listen(f.srv.Addr)
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

// at returns an address of a VM; port is an offset.
func (s *site) at(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(s.port+port)) }

// nodeNetwork returns the network of nodes and servers.
func (s *site) nodeNetwork() Network {
	if s.network == nil {
		return Network{}
	}
	return Network{Listen: s.network.listen, Dial: s.network.dial}
}

// clientFrom returns a client that sends from the address of a VM, as its backend server does.
func (s *site) clientFrom(ip string) *http.Client {
	if s.network == nil {
		return callClient(ip)
	}
	return s.network.client(ip)
}

// start starts the node of a server and sends a heartbeat of the server; a node that was halted starts without its earlier state.
func (s *site) start(i int) {
	s.startNode(i)
	s.heartbeat(i, false)
}

// startNode does the same without a heartbeat.
func (s *site) startNode(i int) {
	n := s.newNode(i)
	qt.New(s.t).Assert(n.Start(context.Background()), qt.IsNil)
	s.nodes[i] = n
}

// newNode returns the node of a server without starting it.
func (s *site) newNode(i int) *Node {
	f := s.servers[i]
	cfg := settings.Settings{
		VM: f.ip, Zone: f.zone, Service: f.service, Backend: settings.Backend{Address: s.at(f.ip, 4)},
		Listen: settings.Listen{Peers: s.at(f.ip, 0), Outbound: s.at(f.ip, 1), Control: s.at(f.ip, 2), Ready: s.at(f.ip, 2)},
		Mesh:   &settings.Mesh{Grace: 6 * time.Second, Apply: 3 * time.Second, FirstStart: s.firstStart}, Seeds: s.seeds,
	}
	if s.tune != nil {
		s.tune(cfg.Mesh)
	}
	cfg.SetDefaults()
	n, err := New(Options{
		Settings: cfg, Names: testNames, Store: s.store.storeFor(f.ip), Decode: decodeTestState, Network: s.nodeNetwork(),
		Control: func(*Node) http.Handler { return http.NotFoundHandler() }, Clock: s.clockOf(f.ip),
		Random: s.random(i),
		Logger: func(part string) *slog.Logger { return slog.New(slog.NewTextHandler(s.log, nil)).With("node", f.ip) },
	})
	qt.New(s.t).Assert(err, qt.IsNil)
	return n
}

// heartbeat sends a heartbeat of a server to its node.
func (s *site) heartbeat(i int, draining bool) {
	f := s.servers[i]
	err := s.nodes[i].Heartbeat(context.Background(), f.registration(draining))
	qt.Check(s.t, err, qt.IsNil)
}

// waitFor waits up to 20 seconds for a condition.
func (s *site) waitFor(what string, ok func() bool) {
	s.t.Helper()
	for end := time.Now().Add(20 * time.Second); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			s.t.Fatalf("not in time: %s", what)
		}
	}
}

// waitUntilKnown waits until all nodes have the state and know every server.
func (s *site) waitUntilKnown(version int64) {
	s.t.Helper()
	s.waitFor("all nodes know all", func() bool {
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

// request sends a request to a node as a client; it returns the status, 0 if the connection broke, the body or the error, and the header.
func (s *site) request(i int, method, path, id string, left time.Duration) (int, string, http.Header) {
	addr := s.servers[i].outboundAddr // the node may be restarted meanwhile
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

// newThreeServerSite returns a site of three servers of one service, with a route of each kind.
func newThreeServerSite(t *testing.T) *site {
	s := newSite(t)
	for i := range 3 {
		s.add("a", fmt.Sprint("z", i), 10)
	}
	s.store.put(desired.State{Version: 1, Routes: []desired.Route{
		route("read", desired.Repeatable, "a"), route("pay", desired.AtMostOnce, "a"),
	}})
	s.waitUntilKnown(1)
	return s
}

// handleAll sets the handler of every server.
func (s *site) handleAll(h func(f *fakeServer, w http.ResponseWriter, r *http.Request)) {
	for _, f := range s.servers {
		f.mu.Lock()
		f.handle = func(w http.ResponseWriter, r *http.Request) { h(f, w, r) }
		f.mu.Unlock()
	}
}

// allRan returns the attempt ids that ran at any server.
func (s *site) allRan() []string {
	var all []string
	for _, f := range s.servers {
		all = append(all, f.ran()...)
	}
	return all
}

// closeConnection closes the connection of a request without an answer.
func closeConnection(w http.ResponseWriter) {
	c, _, _ := w.(http.Hijacker).Hijack()
	c.Close()
}
