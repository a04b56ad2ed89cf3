package soak

import (
	"context"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rockspoke/rockspoke/pkg/clock"
)

// Options configures a run.
type Options struct {
	Program        string // path of rockspoked
	Dir            string // for settings and logs
	Seed           uint64
	VMs            int
	Network        int           // third number of the loopback addresses, different for concurrent runs
	FaultPeriod    time.Duration // faults begin within it
	RecoveryPeriod time.Duration // without faults, afterwards
	Rate           float64       // requests a second into each VM
	LongRate       float64       // requests a second into each VM on the route whose requests take long now and then
	MemoryMB       int           // bound on the data of each process in MiB; 0: none
	Log            io.Writer
}

// Run runs one seed and reports what the checks found; an error means that the run couldn't be set up.
func Run(ctx context.Context, o Options) (Report, error) {
	s, err := newSite(o)
	if err != nil {
		return Report{}, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer s.openListeners.Wait()
	defer cancel()
	defer s.stopNodes()
	if err := s.start(ctx); err != nil {
		return Report{}, err
	}
	if err := s.waitReady(); err != nil {
		return Report{}, err
	}
	clock.Sleep(ctx, discoveryTime)
	begun := time.Now()
	callers, stop := context.WithCancel(ctx)
	defer stop()
	var callersDone sync.WaitGroup
	for i, v := range s.vms {
		c := &caller{
			vm: v, client: clientFrom(v.ip, callerTimeout+finalAnswerGrace), pick: s.pickRoute,
			rnd: rand.New(rand.NewPCG(o.Seed, uint64(i+2))), keyRand: rand.New(rand.NewPCG(o.Seed, uint64(keyStreamBase+i))),
		}
		callersDone.Go(func() { c.run(callers, o.Rate) })
		if o.LongRate > 0 {
			long := s.newLongCaller(i, v)
			callersDone.Go(func() { long.run(callers, o.LongRate) })
		}
	}
	s.injectFaults(ctx, schedule(o.Seed, o.FaultPeriod), begun)
	calmFrom := time.Now()
	clock.Sleep(ctx, o.RecoveryPeriod)
	stop()
	callersDone.Wait()
	s.callerRequests.Wait() // requests in flight end by their own limits
	s.history.keys = s.teams.allKeys()
	return s.report(calmFrom), nil
}

// newLongCaller returns the caller of routeLong at the VM with index i.
func (s *site) newLongCaller(i int, v *vm) *caller {
	stream := uint64(longStreamBase + i)
	return &caller{
		vm: v, client: clientFrom(v.ip, routeLong.limit()+finalAnswerGrace), pick: func(*rand.Rand) route { return routeLong }, prefix: "l",
		rnd: rand.New(rand.NewPCG(s.opts.Seed, stream)), keyRand: rand.New(rand.NewPCG(s.opts.Seed, stream+keyStreamBase)),
	}
}

// longStreamBase is the first PCG stream of the callers of routeLong.
const longStreamBase = 1 << 20

// keyStreamBase is the first PCG stream used to draw keys; lower ones draw the rest of a caller's requests.
const keyStreamBase = 1 << 16

// discoveryTime is how long the nodes get to discover each other before callers start.
const discoveryTime = time.Second

// injectFaults injects each event's fault at its time after begun and returns when all have ended.
func (s *site) injectFaults(ctx context.Context, events []scheduledFault, begun time.Time) {
	done := make(chan struct{}, len(events))
	for _, e := range events {
		clock.Sleep(ctx, time.Until(begun.Add(e.start)))
		s.log.Info("fault", "kind", e.fault.name, "at", e.start, "lasts", e.duration)
		go func() {
			e.fault.run(s, e.fault.name, rand.New(rand.NewPCG(e.seed, 1)), e.duration)
			done <- struct{}{}
		}()
	}
	for range events {
		<-done
	}
}
