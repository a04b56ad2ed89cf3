package daemon

import (
	"context"
	"encoding/json"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"go.uber.org/fx"

	"github.com/rockspoke/rockspoke/pkg/clock"
)

// notifySignals registers for the signals that a daemon handles. Without it SIGUSR1 and SIGHUP terminate the process.
func notifySignals() chan os.Signal {
	signals := make(chan os.Signal, signalQueue)
	signal.Notify(signals, syscall.SIGUSR1, syscall.SIGHUP)
	return signals
}

// signalWatch logs the state on SIGUSR1, and reloads files on SIGHUP and at an interval.
type signalWatch struct {
	signals      <-chan os.Signal
	dump         func() any
	reload       func()
	clock        clock.Clock
	reloadPeriod time.Duration // interval of reloads without a signal; 0 means none
	log          *slog.Logger
}

// signalQueue is the capacity of the signal channel, a few more than the two signals handled.
const signalQueue = 4

// register adds hooks that handle signals from the start of the application until it stops.
func (s *signalWatch) register(lc fx.Lifecycle) {
	done := make(chan struct{})
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			ticks, stop := s.ticks()
			go func() {
				defer stop()
				s.loop(s.signals, ticks, done)
			}()
			return nil
		},
		OnStop: func(context.Context) error {
			close(done)
			return nil
		},
	})
}

// ticks returns the channel and the stop function of a ticker; without a reload period the channel is nil, which is
// never ready.
func (s *signalWatch) ticks() (<-chan time.Time, func()) {
	if s.reloadPeriod == 0 {
		return nil, func() {}
	}
	return s.clock.NewTicker(s.reloadPeriod)
}

// loop handles signals and ticks until done is closed.
func (s *signalWatch) loop(signals <-chan os.Signal, ticks <-chan time.Time, done <-chan struct{}) {
	for {
		select {
		case sig := <-signals:
			s.handle(sig)
		case <-ticks:
			s.reload()
		case <-done:
			return
		}
	}
}

// handle logs the state on SIGUSR1 and reloads on any other signal.
func (s *signalWatch) handle(sig os.Signal) {
	if sig == syscall.SIGUSR1 {
		s.logState()
		return
	}
	s.reload()
}

// logState writes the state to the log as JSON.
func (s *signalWatch) logState() {
	b, err := json.Marshal(s.dump())
	if err != nil {
		s.log.Error("cannot encode the state", "err", err)
		return
	}
	s.log.Info("state", "dump", string(b))
}
