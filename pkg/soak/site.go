package soak

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rockspoke/rockspoke/pkg/clock"
	"github.com/rockspoke/rockspoke/pkg/settings"
	"github.com/rockspoke/rockspoke/platform/standin"
)

// The ports of every VM. Others reach a node and a backend server through the proxy's ports.
const (
	portPeers       = 21000 // proxy
	portOutbound    = 21001
	portControl     = 21002
	portBackend     = 21004 // proxy
	portStore       = 21005 // proxy
	portMetrics     = 21006
	portPeersReal   = 21010
	portBackendReal = 21014
	portStoreReal   = 21015
)

// routeHost is the host of all routes.
const routeHost = "soak.example"

// The services, of which the VMs have one each in turn; front calls back.
const (
	serviceFront = "front"
	serviceBill  = "bill"
	serviceBack  = "back"
)

// route is one that callers use.
type route struct {
	path, service string
	once          bool
	probe         bool // was added or dropped during the run
}

// The routes that stay.
var (
	routeRead = route{path: "/read/", service: serviceFront}
	routePay  = route{path: "/pay/", service: serviceBill, once: true}
	routePull = route{path: "/pull/", service: serviceBack}
	routeCall = route{path: "/call/", service: serviceBack}
)

// vm is one VM with its backend server and its process of rockspoked.
type vm struct {
	site              *site
	number            int
	ip, service, zone string
	node              *nodeProcess
	server            *backendServer
}

// at returns an address on the VM.
func (v *vm) at(port int) string { return net.JoinHostPort(v.ip, strconv.Itoa(port)) }

// site is all VMs, the store and the proxy between them.
type site struct {
	opts    Options
	history history
	proxy   linkProxy
	store   standin.MetadataStore
	storeIP string
	vms     []*vm
	log     *slog.Logger
	running sync.WaitGroup // requests and faults
	ending  atomic.Bool

	routesMu sync.Mutex
	routes   []route // besides those that stay
	version  int64
}

// newSite lays out the VMs; nothing runs yet.
func newSite(o Options) (*site, error) {
	base := fmt.Sprintf("127.%d.%d.", soakNetwork, o.Network)
	s := &site{opts: o, storeIP: base + "250", log: slog.New(slog.NewTextHandler(o.Log, nil)).With("seed", o.Seed)}
	services := []string{serviceFront, serviceBill, serviceBack}
	for i := range o.VMs {
		v := &vm{site: s, number: i + 1, ip: base + strconv.Itoa(i+1), service: services[i%len(services)], zone: fmt.Sprint("zone-", i/len(services)%soakZones)}
		v.server = &backendServer{
			vm: v, history: &s.history,
			calls: clientFrom(v.ip, callerLimit), register: clientFrom(v.ip, registerTime),
		}
		v.server.renew()
		var err error
		if v.node, err = newNodeProcess(o.Program, o.Dir, s.settingsOf(v)); err != nil {
			return nil, err
		}
		v.node.onExit = func(err error) {
			if !s.ending.Load() {
				s.history.found("process", fmt.Sprintf("%s ended by itself: %v", v.ip, err))
			}
		}
		s.vms = append(s.vms, v)
	}
	return s, nil
}

// The network and the zones of a site.
const (
	soakNetwork = 88 // second number of the loopback addresses
	soakZones   = 3
	seedCount   = 2 // VMs that the settings name
)

func (s *site) settingsOf(v *vm) settings.Settings {
	cfg := settings.Settings{
		VM: v.ip, Zone: v.zone, Service: v.service,
		Backend:  settings.Backend{Address: v.at(portBackend)},
		Platform: settings.Platform{URL: "http://" + net.JoinHostPort(s.storeIP, strconv.Itoa(portStore))},
		Listen: settings.Listen{
			Peers: v.at(portPeersReal), Outbound: v.at(portOutbound), Control: v.at(portControl), Ready: v.at(portControl),
			Metrics: v.at(portMetrics),
		},
		Mesh: &settings.Mesh{PeerPort: portPeers},
	}
	if isPlannedOnly(s.opts.Seed) {
		// A proxy takes connections while the process behind it is gone, where a dead port refuses them.
		cfg.Mesh.PeerPort = portPeersReal
	}
	for i := range min(seedCount, len(s.vms)) {
		cfg.Seeds = append(cfg.Seeds, s.vms[i].at(portControl))
	}
	cfg.Fill()
	return cfg
}

// start starts everything but the callers.
func (s *site) start(ctx context.Context) error {
	storeReal := net.JoinHostPort(s.storeIP, strconv.Itoa(portStoreReal))
	if err := serveHTTP(ctx, storeReal, &s.store); err != nil {
		return err
	}
	if err := s.proxy.serve(ctx, net.JoinHostPort(s.storeIP, strconv.Itoa(portStore)), storeReal, s.storeIP); err != nil {
		return err
	}
	for _, v := range s.vms {
		if err := v.start(ctx); err != nil {
			return err
		}
	}
	return s.changeState(nil)
}

// start starts a VM's backend server, proxies and process.
func (v *vm) start(ctx context.Context) error {
	if err := serveHTTP(ctx, v.at(portBackendReal), v.server); err != nil {
		return err
	}
	if err := v.site.proxy.serve(ctx, v.at(portBackend), v.at(portBackendReal), v.serverLink().to); err != nil {
		return err
	}
	if err := v.site.proxy.serve(ctx, v.at(portPeers), v.at(portPeersReal), v.ip); err != nil {
		return err
	}
	if err := v.node.start(); err != nil {
		return err
	}
	v.site.running.Go(func() {
		for clock.Sleep(ctx, beatPeriod) {
			v.server.beat()
		}
	})
	return nil
}

// serverLink is the link between a VM's node and its backend server.
func (v *vm) serverLink() link { return link{from: v.ip, to: "server " + v.ip} }

// serveHTTP serves an address until ctx ends.
func serveHTTP(ctx context.Context, addr string, h http.Handler) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: callerLimit, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelDebug)}
	context.AfterFunc(ctx, func() { _ = srv.Close() })
	go func() { _ = srv.Serve(ln) }() // it ends when it is closed
	return nil
}

// changeState puts a newer desired state in force: with the given routes besides those that stay.
func (s *site) changeState(routes []route) error {
	s.routesMu.Lock()
	defer s.routesMu.Unlock()
	s.version += 1 + rand.Int64N(5)
	var all []standin.Route
	for _, r := range append([]route{routeRead, routePay, routePull, routeCall}, routes...) {
		all = append(all, standin.Route{
			Name: "r" + r.path, Host: routeHost, Prefix: r.path, Service: r.service, Once: r.once,
			Priority: 1, MaxAttempts: 3, Timeout: 3 * callerLimit,
		})
	}
	row, err := standin.StateRow(s.version, all)
	if err != nil {
		return err
	}
	s.store.Put(row)
	s.routes = routes
	return nil
}

// The share of requests for each route; the rest goes to routes that change.
const (
	shareRead = 0.4
	sharePay  = 0.35
	sharePull = 0.2
)

// pick draws the route of a request.
func (s *site) pick(rnd *rand.Rand) route {
	x := rnd.Float64()
	switch {
	case x < shareRead:
		return routeRead
	case x < shareRead+sharePay:
		return routePay
	case x < shareRead+sharePay+sharePull:
		return routePull
	}
	s.routesMu.Lock()
	defer s.routesMu.Unlock()
	if len(s.routes) == 0 {
		return routePull
	}
	return s.routes[rnd.IntN(len(s.routes))]
}

// callOf returns the path that a run of the service calls, or "".
func (s *site) callOf(service string) string {
	if service == serviceFront {
		return routeCall.path
	}
	return ""
}

// ready waits until every node serves.
func (s *site) ready() error {
	for _, v := range s.vms {
		client := clientFrom(v.ip, registerTime)
		for end := time.Now().Add(startTime); ; time.Sleep(mutedPoll) {
			res, err := client.Get("http://" + v.at(portControl) + standin.ReadyPath)
			if err == nil {
				_ = res.Body.Close()
				if res.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s isn't ready after %v: %w", v.ip, startTime, err)
			}
		}
	}
	return nil
}

// startTime bounds the start of all nodes.
const startTime = 20 * time.Second
