package soak

import (
	"fmt"
	"log/slog"
	"net"
	"strconv"
	"sync"
	"sync/atomic"

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

// vm is one VM with its backend server and its process of rockspoked.
type vm struct {
	site              *site
	number            int
	ip, service, zone string
	node              *nodeProcess
	server            *backendServer
	storeFaults       overlappingFaults[standin.Fault]
}

// at returns the VM's address with the port.
func (v *vm) at(port int) string { return net.JoinHostPort(v.ip, strconv.Itoa(port)) }

// site is all VMs, the store and the proxy between them.
type site struct {
	opts           Options
	history        history
	proxy          linkProxy
	store          standin.MetadataStore
	storeIP        string
	vms            []*vm
	log            *slog.Logger
	stopping       atomic.Bool
	openListeners  sync.WaitGroup // listeners that are still open
	callerRequests sync.WaitGroup // callers' requests in flight

	stoppedServersMu sync.Mutex
	stoppedServers   map[string]int // number of servers stopped by planned work, by service

	teams siteTeams
	keyMu sync.Mutex // held while keys change

	routesMu sync.Mutex
	routes   []route // besides the permanent ones
	version  int64
}

// newSite configures the VMs without starting anything.
func newSite(o Options) (*site, error) {
	base := fmt.Sprintf("127.%d.%d.", soakNetwork, o.Network)
	s := &site{opts: o, storeIP: base + "250", log: slog.New(slog.NewTextHandler(o.Log, nil)).With("seed", o.Seed)}
	s.teams.init()
	for i := range o.VMs {
		v, err := s.newVM(i, base)
		if err != nil {
			return nil, err
		}
		s.vms = append(s.vms, v)
	}
	return s, nil
}

// newVM configures the VM with index i, counted from 0; base is the prefix of its address.
func (s *site) newVM(i int, base string) (*vm, error) {
	services := []string{serviceFront, serviceBill, serviceBack}
	v := &vm{
		site: s, number: i + 1, ip: base + strconv.Itoa(i+1),
		service: services[i%len(services)], zone: fmt.Sprint("zone-", i/len(services)%soakZones),
	}
	v.server = &backendServer{
		vm: v, history: &s.history,
		callClient: clientFrom(v.ip, callerTimeout), registerClient: clientFrom(v.ip, registerTimeout),
	}
	v.server.startNewInstance()
	var err error
	if v.node, err = newNodeProcess(s.opts.Program, s.opts.Dir, s.nodeSettings(v)); err != nil {
		return nil, err
	}
	v.node.memoryMB = s.opts.MemoryMB
	v.node.onUnexpectedExit = func(err error) {
		if !s.stopping.Load() {
			s.log.Error("process ended by itself", "vm", v.ip, "err", err)
			s.history.addFinding("process", fmt.Sprintf("%s ended by itself: %v", v.ip, err))
		}
	}
	return v, nil
}

// The network and the zones of a site.
const (
	soakNetwork = 88 // second number of the loopback addresses
	soakZones   = 3
	seedCount   = 2 // VMs listed as seeds in the settings
)

// nodeSettings returns the settings of a VM's rockspoked.
func (s *site) nodeSettings(v *vm) settings.Settings {
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
	if isPlannedOnly(s.opts.Seed) || isPlannedAndStore(s.opts.Seed) {
		// A proxy accepts connections while the process behind it is down; the process's own port refuses them.
		cfg.Mesh.PeerPort = portPeersReal
	}
	for i := range min(seedCount, len(s.vms)) {
		cfg.Seeds = append(cfg.Seeds, s.vms[i].at(portControl))
	}
	setTeamBounds(cfg.Mesh)
	cfg.SetDefaults()
	return cfg
}

// serverLink is the link between a VM's node and its backend server.
func (v *vm) serverLink() link { return link{from: v.ip, to: "server " + v.ip} }
