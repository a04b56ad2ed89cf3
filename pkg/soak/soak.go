package soak

import (
	"context"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rockspoke/rockspoke/pkg/clock"
)

// Options say what is run.
type Options struct {
	Program string // path of rockspoked
	Dir     string // for settings and logs
	Seed    uint64
	VMs     int
	Network int           // third number of the loopback addresses, so that runs can go on beside each other
	FaultPeriod  time.Duration // in which faults begin
	RecoveryPeriod    time.Duration // afterwards
	Rate    float64       // requests a second into each VM
	Log     io.Writer
}

// Run runs one seed; the error says why it couldn't be run.
func Run(ctx context.Context, o Options) (Report, error) {
	s, err := newSite(o)
	if err != nil {
		return Report{}, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer s.closing.Wait()
	defer cancel()
	defer s.end()
	if err := s.start(ctx); err != nil {
		return Report{}, err
	}
	if err := s.ready(); err != nil {
		return Report{}, err
	}
	clock.Sleep(ctx, settleTime)
	begun := time.Now()
	callers, stop := context.WithCancel(ctx)
	defer stop()
	var callersDone sync.WaitGroup
	for i, v := range s.vms {
		c := &caller{vm: v, client: clientFrom(v.ip, callerLimit+lateTime), rnd: rand.New(rand.NewPCG(o.Seed, uint64(i+2))), keys: rand.New(rand.NewPCG(o.Seed, uint64(keyDraws+i)))}
		callersDone.Go(func() { c.run(callers, o.Rate) })
	}
	s.play(ctx, schedule(o.Seed, o.FaultPeriod), begun)
	calmFrom := time.Now()
	clock.Sleep(ctx, o.RecoveryPeriod)
	stop()
	callersDone.Wait()
	s.asking.Wait() // requests in progress end by themselves
	s.history.keys = s.teams.all()
	return s.report(calmFrom), nil
}

// keyDraws begins the streams of random numbers for keys.
const keyDraws = 1 << 16

// settleTime is given to the nodes to find each other.
const settleTime = time.Second

// play injects the faults and returns when the last is over.
func (s *site) play(ctx context.Context, events []event, begun time.Time) {
	done := make(chan struct{}, len(events))
	for _, e := range events {
		clock.Sleep(ctx, time.Until(begun.Add(e.at)))
		s.log.Info("fault", "kind", e.fault.name, "at", e.at, "lasts", e.lasts)
		go func() {
			e.fault.run(s, e.fault.name, rand.New(rand.NewPCG(e.seed, 1)), e.lasts)
			done <- struct{}{}
		}()
	}
	for range events {
		<-done
	}
}
