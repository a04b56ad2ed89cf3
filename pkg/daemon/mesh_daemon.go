package daemon

import (
	"context"
	"io"
	"log/slog"
	"net"
	"time"

	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/rockspoke/rockspoke/pkg/clock"
	"github.com/rockspoke/rockspoke/pkg/logging"
	"github.com/rockspoke/rockspoke/pkg/mesh"
	"github.com/rockspoke/rockspoke/pkg/settings"
	"github.com/rockspoke/rockspoke/platform"
)

// MeshApp returns a node of a mesh as an fx application; logs go to w. The file is read again on SIGHUP.
func MeshApp(file string, cfg settings.Settings, w io.Writer) *fx.App {
	return fx.New(
		fx.Supply(cfg),
		fx.Supply(fx.Annotate(w, fx.As(new(io.Writer)))),
		fx.Provide(newClock, newMeshFactory, newMeshNode),
		// The last one in is stopped first: signals are taken until the node has stopped, since one that
		// nobody takes would end the process.
		fx.Invoke(func(lc fx.Lifecycle, n *mesh.Node, f logging.Factory) { watchMeshSignals(lc, file, n, f) }),
		fx.Invoke(runMeshNode),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StartTimeout(startTime),
		fx.StopTimeout(cfg.Mesh.Grace+time.Second),
	)
}

// meshLinesPerSecond bounds the lines of one message that a node writes in a second: enough to follow
// requests one by one while little is refused, and a bounded share of the processor when much is.
const meshLinesPerSecond = 25

// flushTime is the longest time that the last lines are waited for.
const flushTime = 200 * time.Millisecond

func newMeshFactory(lc fx.Lifecycle, cfg settings.Settings, w io.Writer, c clock.Clock) logging.Factory {
	q := logging.NewQueue(w, c, logging.DefaultQueueSize)
	lc.Append(fx.Hook{OnStop: func(context.Context) error {
		q.Close(flushTime)
		return nil
	}})
	return logging.Factory{
		W: q, Levels: logging.Levels{All: cfg.Log.Level, Parts: cfg.Log.Parts}, Clock: c,
		JSON: true, PerSecond: meshLinesPerSecond,
	}
}

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

func runMeshNode(lc fx.Lifecycle, n *mesh.Node) {
	lc.Append(fx.Hook{OnStart: n.Start, OnStop: n.Stop})
}

// watchMeshSignals dumps the state on SIGUSR1 and reads the settings again on SIGHUP.
func watchMeshSignals(lc fx.Lifecycle, file string, n *mesh.Node, f logging.Factory) {
	log := f.Logger("daemon")
	w := &signalWatch{
		dump:   func() any { return n.Dump() },
		reload: func() { reloadSettings(file, n, log) },
		log:    log,
	}
	w.follow(lc)
}

func reloadSettings(file string, n *mesh.Node, log *slog.Logger) {
	cfg, err := settings.Load(file)
	if err != nil {
		log.Error("settings can't be read, the old ones stay in use", "err", err)
		return
	}
	n.Reload(cfg)
	log.Info("settings read again")
}
