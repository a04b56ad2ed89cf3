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

// Network opens a daemon's sockets; tests replace its functions to inject faults. Nil functions use the host's network.
type Network struct {
	Listen       func(address string) (net.Listener, error)
	ListenPacket func(address string) (net.PacketConn, error)
	// DialBackend connects to the local backend server.
	DialBackend func(ctx context.Context, address string) (net.Conn, error)
}

// withDefaults returns the network with nil functions replaced by those of the host.
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

// Options configures a daemon; Network, Metrics, Logger and Seed are optional.
type Options struct {
	Settings settings.Settings
	Platform store.Platform
	Keys     *keys.Store
	Clock    clock.Clock
	Network  Network
	Metrics  *metric.Set
	// Logger returns the logger for a part of the daemon; nil discards all logs.
	Logger func(part string) *slog.Logger
	// UnknownMessage reports control messages, by path, that the daemon answers like one of an earlier version; nil means none.
	UnknownMessage func(path string) bool
	// Seed seeds the random source; 0 selects a random seed.
	Seed uint64
}
