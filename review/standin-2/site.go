package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Ports of a machine, counted from the port base of the run.
const (
	portInbound = iota
	portApp
	portReady
	portOutbound
	portControl
	portMetrics
	portPeerProxy
	portStore
	portCount
)

// machine is one machine of the deployment: a node process and the backend beside it.
type machine struct {
	s       *site
	name    string
	ip      string
	zone    string
	service string
	app     *backend
	file    string
	log     *os.File

	staleSeeds []string // seeds of the next restarts; nil: other machines

	mu  sync.Mutex
	cmd *exec.Cmd
	up  bool
}

// site is a small deployment with its store.
type site struct {
	rec      *record
	dir      string
	program  string
	net      int // second byte of all addresses
	base     int // port base
	store    *store
	machines []*machine
	mesh     []string // further lines of the settings' mesh section
	proxies  bool     // nodes reach each other over proxies, which can be cut
	cut      sync.Map // ip -> true: cut off from all other machines of the system
	attempts atomic.Int64
}

// newSite returns an empty deployment with a free range of ports.
func newSite(rec *record) (*site, error) {
	dir, err := os.MkdirTemp("", "review-case-")
	if err != nil {
		return nil, err
	}
	s := &site{rec: rec, dir: dir, program: os.Getenv("ROCKSPOKED"), store: newStore(rec)}
	for range 50 {
		s.net, s.base = 20+rand.Intn(200), 20000+10*rand.Intn(1000)
		if s.portsFree() {
			return s, nil
		}
	}
	return nil, errors.New("no free ports")
}

func (s *site) portsFree() bool {
	for host := 10; host < 24; host++ {
		for p := range portCount {
			ln, err := net.Listen("tcp", s.addr(host, p))
			if err != nil {
				return false
			}
			_ = ln.Close()
		}
	}
	return true
}

func (s *site) ip(host int) string         { return fmt.Sprintf("127.%d.0.%d", s.net, host) }
func (s *site) addr(host, port int) string { return fmt.Sprintf("%s:%d", s.ip(host), s.base+port) }
func (m *machine) at(port int) string      { return fmt.Sprintf("%s:%d", m.ip, m.s.base+port) }
func (s *site) storeAddr() string          { return s.addr(10, portStore) }

// add adds a machine with a backend of the service.
func (s *site) add(service, zone string, slots int, work time.Duration) *machine {
	host := 11 + len(s.machines)
	m := &machine{s: s, name: fmt.Sprintf("%s-%d", service, len(s.machines)+1), ip: s.ip(host), zone: zone, service: service}
	m.app = &backend{
		rec: s.rec, name: "backend of " + m.name, id: fmt.Sprintf("i-%08x", rand.Uint32()), service: service, zone: zone,
		addr: m.at(portApp), control: m.at(portControl), slots: slots, workTime: work,
	}
	s.machines = append(s.machines, m)
	return m
}

// writeSettings writes the settings file as the platform fills deploy/settings.yaml.tmpl.
func (m *machine) writeSettings(first bool, seeds []string) error {
	quoted := make([]string, len(seeds))
	for i, x := range seeds {
		quoted[i] = fmt.Sprintf("%q", x)
	}
	text := fmt.Sprintf(`vm: %q
zone: %q
service: %q
listen:
  peers: %q
  outbound: %q
  ready: %q
  control: %q
  metrics: %q
backend:
  address: %q
platform:
  url: "http://%s"
seeds: [%s]
mesh:
  grace: "6s"
  apply: "2000ms"
  retryRatio: 0.2
  retrySlack: 50
  retryWindow: "10s"
  firstStart: %v
`, m.name, m.zone, m.service, m.at(portInbound), m.at(portOutbound), m.at(portReady), m.at(portControl), m.at(portMetrics), m.at(portApp),
		m.s.storeAddr(), strings.Join(quoted, ", "), first)
	for _, l := range m.s.mesh {
		text += "  " + l + "\n"
	}
	if m.s.proxies {
		text += fmt.Sprintf("  peerPort: %d\n", m.s.base+portPeerProxy)
	}
	m.file = filepath.Join(m.s.dir, m.name+".yaml")
	return os.WriteFile(m.file, []byte(text), 0o600)
}

// start starts the node's process with the command of the deploy file.
func (m *machine) start() error {
	if m.log == nil {
		var err error
		if m.log, err = os.Create(filepath.Join(m.s.dir, m.name+".log")); err != nil {
			return err
		}
	}
	cmd := exec.Command(m.s.program)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "ROCKSPOKE_SETTINGS=" + m.file, "GOMAXPROCS=2"}
	cmd.Stdout, cmd.Stderr = m.log, m.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	m.mu.Lock()
	m.cmd, m.up = cmd, true
	m.mu.Unlock()
	m.s.rec.add(m.name, "node starts")
	return nil
}

// kill kills the node's process and waits for its end.
func (m *machine) kill() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.up {
		return
	}
	m.s.rec.add(m.name, "node killed")
	_ = m.cmd.Process.Kill()
	_ = m.cmd.Wait()
	m.up = false
}

// restart starts the node again, with the control addresses of up to three other machines as seeds.
func (m *machine) restart() error {
	var seeds []string
	for _, o := range m.s.machines {
		if o != m && len(seeds) < 3 {
			seeds = append(seeds, o.at(portControl))
		}
	}
	if m.staleSeeds != nil {
		seeds = m.staleSeeds
	}
	if err := m.writeSettings(false, seeds); err != nil {
		return err
	}
	return m.start()
}

// release replaces the backend by one of a new lifetime, as planned work does: the old one leaves and ends, the new one starts.
func (m *machine) release() error {
	old := m.app
	if !old.sayGone() {
		return errors.New("the release was not confirmed")
	}
	time.Sleep(drain + time.Second)
	old.end()
	return m.startNext()
}

// startNext starts a backend of a new lifetime in the place of one that has ended.
func (m *machine) startNext() error {
	old := m.app
	m.app = &backend{
		rec: m.s.rec, name: old.name, id: fmt.Sprintf("i-%08x", rand.Uint32()), service: old.service, zone: old.zone,
		addr: old.addr, control: old.control, slots: old.slots, workTime: old.workTime, deadly: old.deadly, crashed: old.crashed,
	}
	if err := m.app.start(); err != nil {
		return err
	}
	go m.app.keepPinging()
	m.s.rec.add(m.app.name, "a new lifetime has begun:", m.app.id)
	return nil
}

// listenSilently takes connections to an address and never answers, like a machine behind a cut.
func listenSilently(addr string) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(io.Discard, c) }()
		}
	}()
	return nil
}

// ready reports whether the node answers the platform's readiness question with 200.
func (m *machine) ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Get("http://" + m.at(portReady) + "/rockspoke/ready")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// startAll starts the store, the backends and the nodes, and waits until all nodes are ready.
func (s *site) startAll() error {
	ln, err := net.Listen("tcp", s.storeAddr())
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(ln, s.store) }()
	for _, m := range s.machines {
		if err := m.app.start(); err != nil {
			return err
		}
		if s.proxies {
			if err := m.startProxy(); err != nil {
				return err
			}
		}
		if err := m.writeSettings(true, nil); err != nil {
			return err
		}
		if err := m.start(); err != nil {
			return err
		}
		go m.app.keepPinging()
	}
	return s.waitReady(15 * time.Second)
}

func (s *site) waitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); ; time.Sleep(50 * time.Millisecond) {
		all := true
		for _, m := range s.machines {
			all = all && m.ready()
		}
		if all {
			s.rec.add("site", "all nodes are ready")
			return nil
		}
		if time.Now().After(end) {
			return errors.New("not all nodes became ready")
		}
	}
}

// stopAll ends everything that was started.
func (s *site) stopAll() {
	for _, m := range s.machines {
		m.kill()
		if !m.app.ended {
			m.app.end()
		}
	}
	if os.Getenv("KEEP") != "" {
		s.rec.add("site", "logs are kept")
		fmt.Println("logs:", s.dir)
		return
	}
	_ = os.RemoveAll(s.dir)
}

// startProxy starts the proxy over which the other nodes reach this one. While either side is cut off it carries nothing more on open
// connections and accepts new ones without a word, like a network that loses all packets.
func (m *machine) startProxy() error {
	ln, err := net.Listen("tcp", m.at(portPeerProxy))
	if err != nil {
		return err
	}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go m.carry(c)
		}
	}()
	return nil
}

func (m *machine) isCut(peer string) bool {
	_, a := m.s.cut.Load(m.ip)
	_, b := m.s.cut.Load(peer)
	return (a || b) && peer != m.ip
}

func (m *machine) carry(c net.Conn) {
	defer c.Close()
	from, _, _ := net.SplitHostPort(c.RemoteAddr().String())
	if m.isCut(from) { // in a network that loses all packets it would not have come up
		for m.isCut(from) {
			time.Sleep(10 * time.Millisecond)
		}
		return
	}
	d, err := net.Dial("tcp", m.at(portInbound))
	if err != nil {
		return
	}
	defer d.Close()
	done := make(chan struct{}, 2)
	pipe := func(dst, src net.Conn) {
		buf := make([]byte, 32<<10)
		for {
			n, err := src.Read(buf)
			if m.isCut(from) {
				break // what was in flight is lost, and the connection with it
			}
			if n > 0 {
				if _, werr := dst.Write(buf[:n]); werr != nil {
					break
				}
			}
			if err != nil {
				break
			}
		}
		done <- struct{}{}
	}
	go pipe(d, c)
	go pipe(c, d)
	<-done
	for m.isCut(from) {
		time.Sleep(10 * time.Millisecond)
	}
}

// setCut cuts a machine off from all other machines of the system, or heals that.
func (m *machine) setCut(cut bool) {
	m.s.rec.add(m.name, "cut off from all other machines of the system:", cut)
	if cut {
		m.s.cut.Store(m.ip, true)
	} else {
		m.s.cut.Delete(m.ip)
	}
}

// route is a route of the desired state.
type route struct {
	name, host, prefix, kind, service string
	timeout                           string
	public                            bool
}

// tenant is a tenant of the desired state.
type tenant struct {
	name  string
	keys  []string
	rate  float64
	burst float64
}

// configure has the operator write a desired state; it returns when the store has confirmed it.
func (s *site) configure(version int64, routes []route, tenants ...tenant) {
	var resources []any
	services := map[string]bool{}
	entry := func(kind, name string, spec map[string]any) {
		meta := map[string]any{}
		if name != "" {
			meta["name"] = name
		}
		resources = append(resources, map[string]any{"entryKind": kind, "metadata": meta, "spec": spec})
	}
	for _, r := range routes {
		spec := map[string]any{
			"host": r.host, "pathPrefix": r.prefix, "kind": r.kind, "timeout": r.timeout, "goal": "1500ms", "priority": 0, "service": r.service, "maxAttempts": 2,
		}
		if r.public {
			spec["public"] = true
		}
		entry("routes", r.name, spec)
		services[r.service] = true
	}
	for _, m := range s.machines {
		services[m.service] = true
	}
	for name := range services {
		entry("services", name, map[string]any{"healthPath": "/health", "maxConns": 970, "protocol": "h1", "tls": false})
	}
	for _, t := range tenants {
		spec := map[string]any{"apiKeys": t.keys, "priority": 0}
		if t.rate > 0 {
			spec["ratePerS"], spec["burst"] = t.rate, t.burst
		}
		entry("tenants", t.name, spec)
	}
	entry("limits", "", map[string]any{"headerBytes": 16384, "bodyBytes": 67108864, "header": "3000ms", "idle": "15000ms"})
	value, _ := json.Marshal(map[string]any{"version": version, "baseVersion": version - 1, "resources": resources})
	s.store.put(row{Table: "op", Key: "config", Value: value})
	s.rec.add("operator", "desired state", version, "confirmed")
}

// sent is one client attempt.
type sent struct {
	id     string
	at     time.Time
	ended  time.Time
	status int // 0: no complete answer
	seal   string
	body   string
	header http.Header
}

// client sends requests from a machine to the outbound address of that machine.
type client struct {
	m    *machine
	http *http.Client
}

func (m *machine) newClient() *client {
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(m.ip)}, Timeout: time.Second}
	return &client{m: m, http: &http.Client{Transport: &http.Transport{DialContext: d.DialContext, MaxIdleConnsPerHost: 100, DisableCompression: true}}}
}

// send sends one attempt and waits for its answer; it is never sent again.
func (c *client) send(method, host, path, key string, deadline time.Duration) sent {
	id := fmt.Sprintf("%08x%08x", rand.Uint32(), c.m.s.attempts.Add(1))
	var body io.Reader
	if method == http.MethodPost {
		body = strings.NewReader("order " + id)
	}
	x := sent{id: id}
	req, err := http.NewRequest(method, "http://"+c.m.at(portOutbound)+path, body)
	if err != nil {
		return x
	}
	req.GetBody = nil // net/http must not send it again by itself
	req.Host = host
	req.Header.Set("Rockspoke-Attempt-Id", id)
	req.Header.Set("Rockspoke-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	if key != "" {
		req.Header.Set("Authorization", "Token "+key)
	}
	x.at = time.Now()
	c.m.s.rec.add("client", "sends", id, method, host+path, "at", c.m.name)
	res, err := c.http.Do(req)
	if err == nil {
		var b []byte
		b, err = io.ReadAll(res.Body)
		_ = res.Body.Close()
		if err == nil {
			x.status, x.seal, x.body, x.header = res.StatusCode, res.Header.Get("Rockspoke-Response-Seal"), string(b), res.Header
		}
	}
	x.ended = time.Now()
	c.m.s.rec.add("client", "gets", x.status, "for", id, "reason", x.header.Get("Rockspoke-Reason"))
	return x
}
