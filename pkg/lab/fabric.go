package lab

import (
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// Fabric is the network between the lab's daemons, by loopback address; it cuts and freezes on request.
type Fabric struct {
	mu     sync.RWMutex
	cut    func(from, to netip.Addr) bool
	frozen map[netip.Addr]bool
	active atomic.Bool
}

// errCut reports a connection across a cut.
var errCut = errors.New("cut off")

// Cut sets which addresses can't reach which; nil heals all.
func (f *Fabric) Cut(fn func(from, to netip.Addr) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut = fn
	f.active.Store(f.cut != nil || len(f.frozen) > 0)
}

// Freeze stops all that goes in and out of an address until it is thawed.
func (f *Fabric) Freeze(a netip.Addr, v bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.frozen == nil {
		f.frozen = map[netip.Addr]bool{}
	}
	if v {
		f.frozen[a] = true
	} else {
		delete(f.frozen, a)
	}
	f.active.Store(f.cut != nil || len(f.frozen) > 0)
}

// blocked tells whether nothing gets from one address to the other.
func (f *Fabric) blocked(from, to netip.Addr) bool {
	if !f.active.Load() {
		return false
	}
	f.mu.RLock()
	defer f.mu.RUnlock()
	if f.frozen[from] || f.frozen[to] {
		return true
	}
	return f.cut != nil && (f.cut(from, to) || f.cut(to, from))
}

// ListenPacket opens a socket whose packets the fabric can drop.
func (f *Fabric) ListenPacket(address string) (net.PacketConn, error) {
	c, err := net.ListenPacket("udp", address)
	if err != nil {
		return nil, err
	}
	ap, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	return &fabricConn{UDPConn: c.(*net.UDPConn), fabric: f, self: ap.Addr()}, nil
}

type fabricConn struct {
	*net.UDPConn
	fabric *Fabric
	self   netip.Addr
}

// WriteTo drops a packet that can't get through.
func (c *fabricConn) WriteTo(p []byte, to net.Addr) (int, error) {
	if u, ok := to.(*net.UDPAddr); ok && c.fabric.blocked(c.self, u.AddrPort().Addr().Unmap()) {
		return len(p), nil
	}
	return c.UDPConn.WriteTo(p, to)
}

// WriteMsgUDP drops a packet that can't get through.
func (c *fabricConn) WriteMsgUDP(p, oob []byte, to *net.UDPAddr) (int, int, error) {
	if c.fabric.blocked(c.self, to.AddrPort().Addr().Unmap()) {
		return len(p), len(oob), nil
	}
	return c.UDPConn.WriteMsgUDP(p, oob, to)
}

// awaitThaw waits while the address is frozen.
func (f *Fabric) awaitThaw(a netip.Addr) {
	for f.blocked(a, a) {
		time.Sleep(5 * time.Millisecond)
	}
}
