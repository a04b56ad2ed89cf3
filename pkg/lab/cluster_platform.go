package lab

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/rockspoke/rockspoke/pkg/config"
	"github.com/rockspoke/rockspoke/pkg/member"
	"github.com/rockspoke/rockspoke/pkg/node"
	"github.com/rockspoke/rockspoke/pkg/store"
)

// startPlatform runs the stand-in with the VM list and the first configuration.
func (c *Cluster) startPlatform(ctx context.Context) error {
	addr := netip.AddrFrom4([4]byte{127, c.opts.Base, 0, 1})
	ln, err := net.Listen("tcp", at(addr, 7000))
	if err != nil {
		return err
	}
	c.standIn = &http.Server{Handler: store.Server(c.Platform)}
	go func() { _ = c.standIn.Serve(ln) }() // ends with Stop
	var list []member.VM
	for _, v := range c.All() {
		list = append(list, v.Info)
	}
	c.Platform.SetVMs(list)
	return c.seedConfig(ctx)
}

// seedConfig writes version 1 as an operator's first change would.
func (c *Cluster) seedConfig(ctx context.Context) error {
	doc := config.Document{Version: 1, ChangeID: "lab", Author: "lab", At: time.Now().UTC(), Objects: c.Graph.Objects()}
	if err := config.CheckDocument(doc.Objects); err != nil {
		return err
	}
	return node.WriteInitialDocument(ctx, c.Platform.Platform(), doc)
}

// platformOf gives a VM the stand-in, unless it is cut off from it.
func (c *Cluster) platformOf(v *VM) store.Platform {
	url := "http://" + at(netip.AddrFrom4([4]byte{127, c.opts.Base, 0, 1}), 7000)
	t := &http.Transport{DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
		var d net.Dialer
		return d.DialContext(ctx, network, addr)
	}}
	c.mu.Lock()
	c.outlets = append(c.outlets, t)
	c.mu.Unlock()
	return store.HTTP{URL: url, Client: &http.Client{Transport: &gatedTransport{next: t, cluster: c, vm: v}}}.Platform()
}

// gatedTransport refuses a VM's platform calls while it is cut off or frozen.
type gatedTransport struct {
	next    http.RoundTripper
	cluster *Cluster
	vm      *VM
}

// RoundTrip sends the request unless the VM is cut off.
func (t *gatedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	t.cluster.Fabric.awaitThaw(t.vm.Addr)
	if t.cluster.cutOff(t.vm.Addr) {
		return nil, &net.OpError{Op: "dial", Err: errCut}
	}
	return t.next.RoundTrip(r)
}

// CutPlatform cuts VMs off from the platform, or heals it.
func (c *Cluster) CutPlatform(vms []*VM, cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, v := range vms {
		c.cutFrom[v.Addr] = cut
	}
}

// cutOff tells whether the address can't reach the platform.
func (c *Cluster) cutOff(a netip.Addr) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cutFrom[a]
}
