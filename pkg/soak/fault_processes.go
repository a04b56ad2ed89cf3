package soak

import (
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

// restartPause is the time between the end of a process and its next start.
const restartPause = 200 * time.Millisecond

// pauseNode stops a process for a time, as a machine that freezes.
func pauseNode(s *site, kind string, rnd *rand.Rand, d time.Duration) {
	v := s.oneOf(rnd)
	over := s.history.beginDisturbance(kind, false)
	v.signal(syscall.SIGSTOP)
	time.Sleep(d)
	v.signal(syscall.SIGCONT)
	over()
}

func killNode(s *site, kind string, rnd *rand.Rand, d time.Duration) {
	s.killAll(kind, []*vm{s.oneOf(rnd)}, d)
}

func killMany(s *site, kind string, rnd *rand.Rand, d time.Duration) {
	vms := s.some(rnd)
	if rnd.IntN(2) == 0 {
		vms = s.vms
	}
	s.killAll(kind, vms, min(d, time.Second))
}

// killAll kills processes and starts them again after a time.
func (s *site) killAll(kind string, vms []*vm, down time.Duration) {
	over := s.history.beginDisturbance(kind, false)
	var all sync.WaitGroup
	for _, v := range vms {
		all.Go(func() { v.restart(syscall.SIGKILL, down) })
	}
	all.Wait()
	over()
}

// signal sends a signal to the VM's process unless it is being restarted.
func (v *vm) signal(sig syscall.Signal) {
	if err := v.node.signal(sig); err != nil {
		v.site.history.addFinding("process", v.ip+" can't be signalled: "+err.Error())
	}
}

// restart ends the process by a signal, waits for its end and starts it again.
func (v *vm) restart(sig syscall.Signal, down time.Duration) {
	v.node.restarting.Lock()
	defer v.node.restarting.Unlock()
	v.signal(sig)
	if !v.node.await(v.node.cfg.Mesh.Grace) {
		if sig == syscall.SIGTERM && !v.node.wasPaused() {
			v.site.history.addFinding("stop", v.ip+" hadn't ended when its time was up")
		}
		v.signal(syscall.SIGKILL)
		v.signal(syscall.SIGCONT)
		v.node.await(endTime)
	}
	time.Sleep(max(down, restartPause))
	if v.site.stopping.Load() {
		return
	}
	if err := v.node.start(); err != nil {
		v.site.history.addFinding("process", v.ip+" doesn't start: "+err.Error())
	}
}
