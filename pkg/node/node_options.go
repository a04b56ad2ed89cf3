package node

import (
	"context"
	"log/slog"
	"net"

	"github.com/rockspoke/rockspoke/pkg/clock"
	"github.com/rockspoke/rockspoke/pkg/keys"
	"github.com/rockspoke/rockspoke/pkg/metric"
	"github.com/rockspoke/rockspoke/pkg/settings"
	"github.com/rockspoke/rockspoke/pkg/store"
)

// Network opens a daemon's sockets; its functions are seams for faults. Nil ones use the machine's network.
type Network struct {
	Listen       func(address string) (net.Listener, error)
	ListenPacket func(address string) (net.PacketConn, error)
	// DialBackend connects to the backend server on this VM.
	DialBackend func(ctx context.Context, address string) (net.Conn, error)
}

func (w Network) withDefaults() Network {
	if w.Listen == nil {
		w.Listen = func(a string) (net.Listener, error) { return net.Listen("tcp", a) }
	}
	if w.ListenPacket == nil {
		w.ListenPacket = func(a string) (net.PacketConn, error) { return net.ListenPacket("udp", a) }
	}
	if w.DialBackend == nil {
		w.DialBackend = func(ctx context.Context, a string) (net.Conn, error) {
			var d net.Dialer
			return d.DialContext(ctx, "tcp", a)
		}
	}
	return w
}

// Options is what a daemon is made of; Logger and Seed may be left out.
type Options struct {
	Settings settings.Settings
	Platform store.Platform
	Keys     *keys.Store
	Clock    clock.Clock
	Network  Network
	Metrics  *metric.Set
	// Logger returns the logger of a part.
	Logger func(part string) *slog.Logger
	// Seed starts the random choices; 0 takes a random one.
	Seed uint64
}
