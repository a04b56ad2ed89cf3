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

// signalWatch answers SIGUSR1 by writing the state to the log, and SIGHUP by reading files again.
type signalWatch struct {
	dump   func() any
	reload func()
	clock  clock.Clock
	every  time.Duration // between readings without a signal; 0: none
	log    *slog.Logger
}

// signalQueue is how many signals may wait: a few more than there are kinds.
const signalQueue = 4

// follow takes signals from the start of the application until it stops.
func (s *signalWatch) follow(lc fx.Lifecycle) {
	signals := make(chan os.Signal, signalQueue)
	done := make(chan struct{})
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			signal.Notify(signals, syscall.SIGUSR1, syscall.SIGHUP)
			ticks, stop := s.ticks()
			go func() {
				defer stop()
				s.serve(signals, ticks, done)
			}()
			return nil
		},
		OnStop: func(context.Context) error {
			signal.Stop(signals)
			close(done)
			return nil
		},
	})
}

// ticks returns a ticker's channel and stop function; the channel is nil, and never ready, without a period.
func (s *signalWatch) ticks() (<-chan time.Time, func()) {
	if s.every == 0 {
		return nil, func() {}
	}
	return s.clock.NewTicker(s.every)
}

func (s *signalWatch) serve(signals <-chan os.Signal, ticks <-chan time.Time, done <-chan struct{}) {
	for {
		select {
		case sig := <-signals:
			s.take(sig)
		case <-ticks:
			s.reload()
		case <-done:
			return
		}
	}
}

func (s *signalWatch) take(sig os.Signal) {
	if sig == syscall.SIGUSR1 {
		s.writeState()
		return
	}
	s.reload()
}

func (s *signalWatch) writeState() {
	b, err := json.Marshal(s.dump())
	if err != nil {
		s.log.Error("state can't be dumped", "err", err)
		return
	}
	s.log.Info("state", "dump", string(b))
}
