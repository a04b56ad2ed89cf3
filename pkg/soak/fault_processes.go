package soak

import (
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

// restartPause is the shortest time between the exit of a process and its next start.
const restartPause = 200 * time.Millisecond

// pauseNode stops a process with SIGSTOP for d and then continues it, which simulates a frozen VM.
func pauseNode(s *site, kind string, rnd *rand.Rand, d time.Duration) {
	v := s.randomVM(rnd)
	recordEnd := s.history.beginDisturbance(kind, false)
	endOutage := s.history.beginOutage(v.ip)
	v.signal(syscall.SIGSTOP)
	time.Sleep(d)
	v.signal(syscall.SIGCONT)
	endOutage()
	recordEnd()
}

// killNode kills one process and starts it again after d.
func killNode(s *site, kind string, rnd *rand.Rand, d time.Duration) {
	s.killAndRestart(kind, []*vm{s.randomVM(rnd)}, d)
}

// killManyNodes kills some or all processes and starts them again after d, a second at most.
func killManyNodes(s *site, kind string, rnd *rand.Rand, d time.Duration) {
	vms := s.randomVMs(rnd)
	if rnd.IntN(2) == 0 {
		vms = s.vms
	}
	s.killAndRestart(kind, vms, min(d, time.Second))
}

// killAndRestart kills the processes of vms, starts them again after down and returns when all have been started.
func (s *site) killAndRestart(kind string, vms []*vm, down time.Duration) {
	recordEnd := s.history.beginDisturbance(kind, false)
	var all sync.WaitGroup
	for _, v := range vms {
		all.Go(func() { v.restart(syscall.SIGKILL, down) })
	}
	all.Wait()
	recordEnd()
}

// signal sends a signal to the VM's process. A signal that can't be sent is recorded as a finding.
func (v *vm) signal(sig syscall.Signal) {
	if err := v.node.signal(sig); err != nil {
		v.site.history.addFinding("process", v.ip+" can't be signalled: "+err.Error())
	}
}

// restart signals the process, waits for its exit and starts it again after down, or after restartPause if that is
// longer. A process that outlasts its grace period is killed.
func (v *vm) restart(sig syscall.Signal, down time.Duration) {
	v.node.restarting.Lock()
	defer v.node.restarting.Unlock()
	defer v.site.history.beginOutage(v.ip)()
	v.signal(sig)
	if !v.node.waitForExit(v.node.cfg.Mesh.Grace) {
		if sig == syscall.SIGTERM && !v.node.wasPaused() {
			v.site.history.addFinding("stop", v.ip+" hadn't ended when its time was up")
		}
		v.signal(syscall.SIGKILL)
		v.signal(syscall.SIGCONT)
		v.node.waitForExit(killTimeout)
	}
	time.Sleep(max(down, restartPause))
	if v.site.stopping.Load() {
		return
	}
	if err := v.node.start(); err != nil {
		v.site.history.addFinding("process", v.ip+" doesn't start: "+err.Error())
	}
}
