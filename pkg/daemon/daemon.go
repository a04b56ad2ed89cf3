package daemon

import (
	"context"
	"io"
	"log/slog"
	"time"

	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/rockspoke/rockspoke/pkg/clock"
	"github.com/rockspoke/rockspoke/pkg/keys"
	"github.com/rockspoke/rockspoke/pkg/logging"
	"github.com/rockspoke/rockspoke/pkg/metric"
	"github.com/rockspoke/rockspoke/pkg/node"
	"github.com/rockspoke/rockspoke/pkg/operator"
	"github.com/rockspoke/rockspoke/pkg/settings"
	"github.com/rockspoke/rockspoke/pkg/store"
)

// startTime is the longest time for a start; a start waits for the platform's time-outs at most.
const startTime = 30 * time.Second

// stopMargin is added to the settings' longest wait for calls in progress.
const stopMargin = 10 * time.Second

// App returns the daemon as an fx application; logs go to w.
func App(cfg settings.Settings, w io.Writer) *fx.App {
	return fx.New(
		fx.Supply(cfg),
		fx.Supply(fx.Annotate(w, fx.As(new(io.Writer)))),
		fx.Provide(newClock, newFactory, newKeys, newPlatform, metric.NewSet, newNode, newOperator),
		// The last one in is stopped first: signals are taken until the node has stopped, since one that
		// nobody takes would end the process.
		fx.Invoke(watchSignals, runNode, runOperator),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StartTimeout(startTime),
		fx.StopTimeout(cfg.Backend.StopWait+stopMargin),
	)
}

func newClock() clock.Clock { return clock.Real{} }

func newFactory(cfg settings.Settings, w io.Writer, c clock.Clock) logging.Factory {
	return logging.Factory{W: w, Levels: logging.Levels{All: cfg.Log.Level, Parts: cfg.Log.Parts}, Clock: c}
}

func newKeys(cfg settings.Settings, c clock.Clock, f logging.Factory) (*keys.Store, error) {
	k, err := keys.Open(cfg.Keys, c.Now)
	if err != nil {
		return nil, err
	}
	log := f.Logger("keys")
	k.OnRejected = func(err error) { log.Warn("certificate refused", "err", err) }
	return k, nil
}

func newPlatform(cfg settings.Settings) store.Platform {
	return store.HTTP{URL: cfg.Platform.URL}.Platform()
}

func newNode(cfg settings.Settings, p store.Platform, k *keys.Store, c clock.Clock, m *metric.Set, f logging.Factory) (*node.Node, error) {
	return node.New(node.Options{
		Settings: cfg, Platform: p, Keys: k, Clock: c, Metrics: m, Logger: f.Logger,
	})
}

func newOperator(n *node.Node, k *keys.Store) *operator.Server {
	return &operator.Server{Node: n, Keys: k}
}

func runNode(lc fx.Lifecycle, n *node.Node) {
	lc.Append(fx.Hook{OnStart: n.Start, OnStop: n.Stop})
}

func runOperator(lc fx.Lifecycle, cfg settings.Settings, s *operator.Server) {
	if cfg.Listen.Operators == "" {
		return
	}
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error { return s.Start(cfg.Listen.Operators) },
		OnStop:  s.Stop,
	})
}

// keyPeriod is the time between readings of the key files.
const keyPeriod = 30 * time.Second

// watchSignals dumps the state on SIGUSR1, and reads the keys again on SIGHUP and from time to time.
func watchSignals(lc fx.Lifecycle, n *node.Node, k *keys.Store, c clock.Clock, f logging.Factory) {
	log := f.Logger("daemon")
	w := &signalWatch{
		dump:   func() any { return n.Dump() },
		reload: func() { reloadKeys(k, log) },
		clock:  c, every: keyPeriod, log: log,
	}
	w.follow(lc)
}

func reloadKeys(k *keys.Store, log *slog.Logger) {
	if err := k.Reload(); err != nil {
		log.Error("keys can't be read, the old ones stay in use", "err", err)
	}
}
