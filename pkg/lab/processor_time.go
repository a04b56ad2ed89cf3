package lab

import (
	"runtime"
	"syscall"
	"time"
)

// meter measures how much of the machine's processors this process uses.
type meter struct {
	at  time.Time
	cpu time.Duration
}

func startMeter() meter { return meter{time.Now(), processorTime()} }

// share returns the part of all processors used since the start, 0 to 1.
func (m meter) share() float64 {
	wall := time.Since(m.at)
	return float64(processorTime()-m.cpu) / float64(wall) / float64(runtime.NumCPU())
}

func processorTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
