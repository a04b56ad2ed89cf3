package lab

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/rockspoke/rockspoke/pkg/clock"
	"github.com/rockspoke/rockspoke/pkg/keys"
	"github.com/rockspoke/rockspoke/pkg/logging"
	"github.com/rockspoke/rockspoke/pkg/member"
	"github.com/rockspoke/rockspoke/pkg/metric"
	"github.com/rockspoke/rockspoke/pkg/node"
	"github.com/rockspoke/rockspoke/pkg/settings"
	"github.com/rockspoke/rockspoke/pkg/store"
	"github.com/rockspoke/rockspoke/pkg/wire"
)

// The ports that every VM of the lab uses at its own address.
const (
	portCallers  = 8080
	portOutbound = 8081
	portPeers    = 8443
	portBackend  = 9000
)

// VM is a machine of the lab: a fake backend server, a daemon, or both.
type VM struct {
	Info    member.VM
	Addr    netip.Addr
	Backend *Backend
	Node    *node.Node
	cfg     settings.Settings
	keys    *keys.Store
}

// Options change a Cluster from the usual.
type Options struct {
	Seed     uint64
	Log      io.Writer // daemons' logs; nil discards them
	LogLevel string
	// Labels returns a VM's labels.
	Labels func(service string, i int) map[string]string
	// Settings changes a daemon's settings before it starts.
	Settings func(*settings.Settings)
	// UnknownMessage tells which control messages a VM's daemon doesn't know, by path; nil means none.
	UnknownMessage func(vm, path string) bool
	// Watch names a service whose gates are written to standard error while it runs.
	Watch string
	// Base moves the cluster's addresses, so that two can run at once: 127.Base.zone.n.
	Base byte
}

// Cluster is one system under test with its fakes.
type Cluster struct {
	Graph    *Graph
	History  *History
	Fabric   *Fabric
	Platform *store.Memory
	VMs      []*VM
	Entries  []*VM

	opts      Options
	authority *keys.Authority
	zones     []string
	standIn   *http.Server
	cutFrom   map[netip.Addr]bool // addresses that can't reach the platform
	mu        sync.Mutex
	outlets   []*http.Transport
	claims    bool // once-only calls are claimed in the table first
	stopWatch context.CancelFunc
	tokens    *http.Client // callers' connections for tokens
}

// The second bytes of the lab's loopback addresses, so that several labs can run at once.
const (
	firstBase = 40
	bases     = 120
)

// zoneName names the lab's zones a, b, c and so on.
func zoneName(i int) string { return fmt.Sprintf("zone-%c", 'a'+i) }

// newCluster lays out the VMs of a graph; nothing runs yet.
func newCluster(g *Graph, opts Options) (*Cluster, error) {
	a, err := keys.NewAuthority(time.Now())
	if err != nil {
		return nil, err
	}
	if opts.Base == 0 {
		opts.Base = firstBase + byte(os.Getpid()%bases)
	}
	c := &Cluster{
		Graph: g, History: &History{}, Fabric: &Fabric{}, Platform: &store.Memory{},
		opts: opts, authority: a, cutFrom: map[netip.Addr]bool{},
	}
	c.tokens = c.client()
	for z := range g.Zones {
		c.zones = append(c.zones, zoneName(z))
		c.Entries = append(c.Entries, c.layVM("", z, z))
	}
	k := 0
	for _, s := range g.Services {
		for i := range s.Servers {
			c.VMs = append(c.VMs, c.layVM(s.Name, i, k%g.Zones))
			k++
		}
	}
	return c, nil
}

func (c *Cluster) layVM(service string, i, zone int) *VM {
	name := serverName(service, i)
	if service == "" {
		name = fmt.Sprintf("entry-%d", i)
	}
	last := byte(len(c.VMs) + len(c.Entries) + 1)
	addr := netip.AddrFrom4([4]byte{127, c.opts.Base, byte(zone + 1), last})
	v := &VM{Addr: addr, Info: member.VM{
		Name: name, Service: service, Zone: zoneName(zone), Peer: at(addr, portPeers),
	}}
	if c.opts.Labels != nil && service != "" {
		v.Info.Labels = c.opts.Labels(service, i)
	}
	return v
}

func at(a netip.Addr, port uint16) string { return netip.AddrPortFrom(a, port).String() }

// startBackends runs the fakes with the given way of calling on.
func (c *Cluster) startBackends(callerOf func(*VM) caller) error {
	for i, v := range c.VMs {
		v.Backend = &Backend{
			Name: v.Info.Name, Address: at(v.Addr, portBackend), graph: c.Graph,
			service: c.Graph.service(v.Info.Service), history: c.History, call: callerOf(v),
			seed: c.opts.Seed + uint64(i)*7919,
		}
		if err := v.Backend.Start(); err != nil {
			return err
		}
	}
	return nil
}

// StartRockspoke runs the fakes with a daemon on every VM and every entry VM.
func StartRockspoke(ctx context.Context, g *Graph, opts Options) (*Cluster, error) {
	c, err := newCluster(g, opts)
	if err != nil {
		return nil, err
	}
	if err := c.startPlatform(ctx); err != nil {
		return nil, err
	}
	if err := c.startBackends(c.outbound); err != nil {
		return nil, errors.Join(err, c.Stop())
	}
	for _, v := range c.All() {
		if err := c.StartNode(ctx, v); err != nil {
			return nil, errors.Join(err, c.Stop())
		}
	}
	if err := c.awaitReady(ctx); err != nil {
		return nil, errors.Join(err, c.Stop())
	}
	clock.Sleep(ctx, rampTime) // backend servers start cold
	if opts.Watch != "" {
		wctx, cancel := context.WithCancel(ctx)
		c.stopWatch = cancel
		go c.watchGates(wctx, os.Stderr, opts.Watch)
	}
	return c, nil
}

// rampTime is the cold start ramp of the lab's daemons.
const rampTime = time.Second

// All returns the entry VMs and the VMs with backend servers.
func (c *Cluster) All() []*VM { return append(append([]*VM(nil), c.Entries...), c.VMs...) }

// StartNode runs a VM's daemon, in a new life if it ran before.
func (c *Cluster) StartNode(ctx context.Context, v *VM) error {
	m, err := c.authority.Issue(keys.Identity{Role: keys.RoleVM, Name: v.Info.Name, Zone: v.Info.Zone}, time.Hour)
	if err != nil {
		return err
	}
	v.keys = keys.NewStaticStore(m, time.Now)
	v.cfg = settings.Settings{
		VM: v.Info.Name, Zone: v.Info.Zone, Service: v.Info.Service, Labels: v.Info.Labels,
		Listen: settings.Listen{Peers: v.Info.Peer},
	}
	if v.Info.Service == "" {
		v.cfg.Listen.Callers = at(v.Addr, portCallers)
	} else {
		v.cfg.Listen.Outbound = at(v.Addr, portOutbound)
		v.cfg.Backend = settings.Backend{Address: at(v.Addr, portBackend), Ramp: rampTime, DrainPath: drainPath}
	}
	for _, e := range c.Entries {
		v.cfg.Seeds = append(v.cfg.Seeds, e.Info.Peer)
	}
	if c.opts.Settings != nil {
		c.opts.Settings(&v.cfg)
	}
	v.cfg.SetDefaults()
	logs := logging.Factory{W: c.opts.Log, Levels: logging.Levels{All: c.opts.LogLevel}, Clock: clock.Real{}}
	n, err := node.New(node.Options{
		Settings: v.cfg, Platform: c.platformOf(v), Keys: v.keys, Clock: clock.Real{},
		Network: node.Network{ListenPacket: c.Fabric.ListenPacket}, Metrics: metric.NewSet(),
		Logger: func(part string) *slog.Logger { return logs.Logger(part).With("vm", v.Info.Name) },
		UnknownMessage: func(path string) bool {
			return c.opts.UnknownMessage != nil && c.opts.UnknownMessage(v.Info.Name, path)
		},
		Seed: c.opts.Seed + uint64(v.Addr.As4()[3]),
	})
	if err != nil {
		return err
	}
	v.Node = n
	return n.Start(ctx)
}

// readyTime is the longest wait for a new cluster's key ranges and members.
const readyTime = 15 * time.Second

// awaitReady waits until every daemon knows every node and every service's key ranges are dealt out.
func (c *Cluster) awaitReady(ctx context.Context) error {
	end := time.Now().Add(readyTime)
	for time.Now().Before(end) {
		if c.ready() {
			return nil
		}
		if !clock.Sleep(ctx, 50*time.Millisecond) {
			return ctx.Err()
		}
	}
	return errors.New("lab: the cluster isn't ready in time")
}

func (c *Cluster) ready() bool {
	for _, v := range c.All() {
		d := v.Node.Dump()
		if len(d.Nodes) < len(c.All()) || len(d.RangeRows) < len(c.Graph.Services) {
			return false
		}
	}
	return true
}

// outbound makes a VM's fake call through its own daemon.
func (c *Cluster) outbound(v *VM) caller {
	client := c.client()
	base := "http://" + at(v.Addr, portOutbound)
	return func(ctx context.Context, o outgoing) reply { return send(ctx, client, base, o) }
}

// client makes an HTTP client whose connections end with the cluster.
func (c *Cluster) client() *http.Client {
	t := &http.Transport{MaxIdleConnsPerHost: 1024, IdleConnTimeout: 30 * time.Second, DisableCompression: true}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outlets = append(c.outlets, t)
	return &http.Client{Transport: t}
}

// send makes one HTTP request and takes the whole answer.
func send(ctx context.Context, client *http.Client, base string, o outgoing) reply {
	req, err := http.NewRequestWithContext(ctx, o.method, base+o.path, strings.NewReader(""))
	if err != nil {
		return reply{err: err}
	}
	if o.method != http.MethodGet {
		// A body that can't be rewound keeps the client from repeating the request by itself.
		req.Body = io.NopCloser(strings.NewReader("work"))
		req.ContentLength = int64(len("work"))
		req.GetBody = nil
	}
	req.Header = o.header
	req.Host = o.service
	resp, err := client.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return reply{
		status: resp.StatusCode, outcome: wire.Outcome(resp.Header.Get(wire.HeaderOutcome)),
		reason: wire.Reason(resp.Header.Get(wire.HeaderReason)), body: string(body), err: err,
	}
}

// Stop ends everything that the cluster started.
func (c *Cluster) Stop() error {
	if c.stopWatch != nil {
		c.stopWatch()
	}
	var wg sync.WaitGroup
	for _, v := range c.All() {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if v.Node != nil {
				_ = v.Node.Close() // it always ends
			}
			if v.Backend != nil {
				v.Backend.Stop()
			}
		}()
	}
	wg.Wait()
	if c.standIn != nil {
		_ = c.standIn.Close() // on purpose
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range c.outlets {
		t.CloseIdleConnections()
	}
	return nil
}
