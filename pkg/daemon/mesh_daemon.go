package daemon

import (
	"context"
	"io"
	"log/slog"
	"net"
	"os"
	"time"

	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/rockspoke/rockspoke/pkg/clock"
	"github.com/rockspoke/rockspoke/pkg/logging"
	"github.com/rockspoke/rockspoke/pkg/mesh"
	"github.com/rockspoke/rockspoke/pkg/settings"
	"github.com/rockspoke/rockspoke/platform"
)

// MeshApp returns a node of a mesh as an fx application that logs to w, and on SIGHUP from signals reloads the settings file.
func MeshApp(file string, cfg settings.Settings, signals <-chan os.Signal, w io.Writer) *fx.App {
	return fx.New(
		fx.Supply(cfg),
		fx.Supply(fx.Annotate(w, fx.As(new(io.Writer)))),
		fx.Provide(newClock, newMeshLoggerFactory, newMeshNode),
		fx.Invoke(func(lc fx.Lifecycle, n *mesh.Node, f logging.Factory) { watchMeshSignals(lc, signals, file, n, f) }),
		fx.Invoke(runMeshNode),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StartTimeout(startTimeout),
		fx.StopTimeout(cfg.Mesh.Grace+time.Second),
	)
}

// meshLinesPerSecond limits how many log lines with the same message a node writes in a second. While few requests
// are rejected, each of them is logged; while many are, logging takes a bounded share of the CPU.
const meshLinesPerSecond = 25

// flushTimeout limits how long a stop waits for the queued log lines to be written.
const flushTimeout = 200 * time.Millisecond

// newMeshLoggerFactory provides loggers that write JSON lines to w through a queue, which is flushed on stop.
func newMeshLoggerFactory(lc fx.Lifecycle, cfg settings.Settings, w io.Writer, c clock.Clock) logging.Factory {
	q := logging.NewQueue(w, c, logging.DefaultQueueSize)
	lc.Append(fx.Hook{OnStop: func(context.Context) error {
		q.Close(flushTimeout)
		return nil
	}})
	return logging.Factory{
		W: q, Levels: logging.Levels{All: cfg.Log.Level, Parts: cfg.Log.Parts}, Clock: c,
		JSON: true, PerSecond: meshLinesPerSecond,
	}
}

// newMeshNode provides the mesh node; its requests to the platform's store come from the IP address of its peer
// listener. The error is that of a peer address without a port, or of mesh.New.
func newMeshNode(cfg settings.Settings, c clock.Clock, f logging.Factory) (*mesh.Node, error) {
	ip, _, err := net.SplitHostPort(cfg.Listen.Peers)
	if err != nil {
		return nil, err
	}
	store := &platform.StoreClient{URL: cfg.Platform.URL, HTTP: mesh.NewStoreHTTP(ip)}
	return mesh.New(mesh.Options{
		Settings: cfg, Names: platform.Headers, Store: store.Store(), Decode: platform.DecodeState,
		Control: platform.ControlHandler, Clock: c, Logger: f.Logger,
	})
}

// runMeshNode starts and stops the node with the application.
func runMeshNode(lc fx.Lifecycle, n *mesh.Node) {
	lc.Append(fx.Hook{OnStart: n.Start, OnStop: n.Stop})
}

// watchMeshSignals logs the state on SIGUSR1 and reloads the settings file on SIGHUP.
func watchMeshSignals(lc fx.Lifecycle, signals <-chan os.Signal, file string, n *mesh.Node, f logging.Factory) {
	log := f.Logger("daemon")
	w := &signalWatch{
		signals: signals,
		dump:    func() any { return n.Dump() },
		reload:  func() { reloadSettings(file, n, log) },
		log:     log,
	}
	w.register(lc)
}

// reloadSettings reloads the settings file; on an error it logs the error and the old settings stay in use.
func reloadSettings(file string, n *mesh.Node, log *slog.Logger) {
	cfg, err := settings.Load(file)
	if err != nil {
		log.Error("cannot reload the settings, the old ones stay in use", "err", err)
		return
	}
	n.Reload(cfg)
	log.Info("settings read again")
}
