package daemon

import (
	"context"
	"io"
	"log/slog"
	"os"
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

// startTimeout limits the start of the daemon, which waits at most for the timeouts of requests to the platform.
const startTimeout = 30 * time.Second

// stopMargin is added to the settings' time limit for calls in progress, to give the stop timeout.
const stopMargin = 10 * time.Second

// App returns the daemon as an fx application that logs to w and handles SIGUSR1 and SIGHUP from signals.
func App(cfg settings.Settings, signals <-chan os.Signal, w io.Writer) *fx.App {
	return fx.New(
		fx.Supply(cfg, signals),
		fx.Supply(fx.Annotate(w, fx.As(new(io.Writer)))),
		fx.Provide(newClock, newLoggerFactory, newKeys, newPlatform, metric.NewSet, newNode, newOperator),
		fx.Invoke(watchSignals, runNode, runOperator),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StartTimeout(startTimeout),
		fx.StopTimeout(cfg.Backend.StopWait+stopMargin),
	)
}

// newClock provides the system clock.
func newClock() clock.Clock { return clock.Real{} }

// newLoggerFactory provides loggers that write to w at the levels of the settings.
func newLoggerFactory(cfg settings.Settings, w io.Writer, c clock.Clock) logging.Factory {
	return logging.Factory{W: w, Levels: logging.Levels{All: cfg.Log.Level, Parts: cfg.Log.Parts}, Clock: c}
}

// newKeys provides the key store and logs the certificates that it rejects; the error is that of reading the key files.
func newKeys(cfg settings.Settings, c clock.Clock, f logging.Factory) (*keys.Store, error) {
	k, err := keys.Open(cfg.Keys, c.Now)
	if err != nil {
		return nil, err
	}
	log := f.Logger("keys")
	k.OnRejected = func(err error) { log.Warn("certificate rejected", "err", err) }
	return k, nil
}

// newPlatform provides the platform's interfaces over HTTP.
func newPlatform(cfg settings.Settings) store.Platform {
	return store.HTTP{URL: cfg.Platform.URL}.Platform()
}

// newNode provides the node.
func newNode(cfg settings.Settings, p store.Platform, k *keys.Store, c clock.Clock, m *metric.Set, f logging.Factory) (*node.Node, error) {
	return node.New(node.Options{
		Settings: cfg, Platform: p, Keys: k, Clock: c, Metrics: m, Logger: f.Logger,
	})
}

// newOperator provides the operators' API.
func newOperator(n *node.Node, k *keys.Store) *operator.Server {
	return &operator.Server{Node: n, Keys: k}
}

// runNode starts and stops the node with the application.
func runNode(lc fx.Lifecycle, n *node.Node) {
	lc.Append(fx.Hook{OnStart: n.Start, OnStop: n.Stop})
}

// runOperator starts and stops the operators' API with the application, if the settings have an address for it.
func runOperator(lc fx.Lifecycle, cfg settings.Settings, s *operator.Server) {
	if cfg.Listen.Operators == "" {
		return
	}
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error { return s.Start(cfg.Listen.Operators) },
		OnStop:  s.Stop,
	})
}

// keyReloadPeriod is the interval at which the key files are reloaded.
const keyReloadPeriod = 30 * time.Second

// watchSignals logs the state on SIGUSR1, and reloads the key files on SIGHUP and every keyReloadPeriod.
func watchSignals(lc fx.Lifecycle, signals <-chan os.Signal, n *node.Node, k *keys.Store, c clock.Clock, f logging.Factory) {
	log := f.Logger("daemon")
	w := &signalWatch{
		signals: signals,
		dump:    func() any { return n.Dump() },
		reload:  func() { reloadKeys(k, log) },
		clock:   c, reloadPeriod: keyReloadPeriod, log: log,
	}
	w.register(lc)
}

// reloadKeys reloads the key files; on an error it logs the error and the old keys stay in use.
func reloadKeys(k *keys.Store, log *slog.Logger) {
	if err := k.Reload(); err != nil {
		log.Error("cannot reload the key files, the old keys stay in use", "err", err)
	}
}
