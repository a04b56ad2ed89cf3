package soak

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"go.yaml.in/yaml/v3"
	"golang.org/x/sys/unix"

	"github.com/rockspoke/rockspoke/pkg/settings"
)

// nodeProcess is the rockspoked process of one VM, with its settings file and log.
type nodeProcess struct {
	program          string
	settingsFile     string
	log              *os.File
	cfg              settings.Settings
	memoryMB         int // bound on its data in MiB; 0: none
	onUnexpectedExit func(err error)
	mu               sync.Mutex
	cmd              *exec.Cmd
	exited           chan struct{}
	exitExpected     bool // the soak has sent a signal that ends it
	pausedSinceStart bool

	restarting sync.Mutex // held from the signal to the next start
}

// newNodeProcess writes the settings file and creates the log in dir; it doesn't start the process.
func newNodeProcess(program, dir string, cfg settings.Settings) (*nodeProcess, error) {
	p := &nodeProcess{program: program, settingsFile: filepath.Join(dir, cfg.VM+".yaml"), cfg: cfg}
	var err error
	if p.log, err = os.Create(filepath.Join(dir, cfg.VM+".log")); err != nil {
		return nil, err
	}
	return p, p.writeSettings()
}

func (p *nodeProcess) writeSettings() error {
	data, err := yaml.Marshal(p.cfg)
	if err != nil {
		return err
	}
	return os.WriteFile(p.settingsFile, data, 0o600)
}

// start starts the process; onUnexpectedExit is called if it exits without a SIGTERM or SIGKILL from the soak.
func (p *nodeProcess) start() error {
	cmd := exec.Command(p.program, "-settings", p.settingsFile)
	cmd.Env = append(os.Environ(), "GOMAXPROCS=2")
	cmd.Stdout, cmd.Stderr = p.log, p.log
	if err := cmd.Start(); err != nil {
		return err
	}
	if err := limitResources(cmd.Process.Pid, p.memoryMB); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.exited, p.exitExpected, p.pausedSinceStart = cmd, exited, false, false
	p.mu.Unlock()
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		expected := p.exitExpected
		p.mu.Unlock()
		close(exited)
		if !expected {
			p.onUnexpectedExit(err)
		}
	}()
	return nil
}

// maxDescriptors is the number of file descriptors that a process may have open, as on the smallest VMs.
const maxDescriptors = 4100

// limitResources bounds the descriptors of a process, and its data in MiB unless that is 0.
func limitResources(pid, memoryMB int) error {
	limits := map[int]uint64{unix.RLIMIT_NOFILE: maxDescriptors}
	if memoryMB > 0 {
		limits[unix.RLIMIT_DATA] = uint64(memoryMB) << 20
	}
	for resource, bound := range limits {
		if err := unix.Prlimit(pid, resource, &unix.Rlimit{Cur: bound, Max: bound}, nil); err != nil {
			return err
		}
	}
	return nil
}

// signal sends a signal to the process. It does nothing and returns nil if the process has exited.
func (p *nodeProcess) signal(s syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s == syscall.SIGTERM || s == syscall.SIGKILL {
		p.exitExpected = true
	}
	p.pausedSinceStart = p.pausedSinceStart || s == syscall.SIGSTOP
	if err := p.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	return nil
}

// wasPaused reports whether the process has been paused since its start.
func (p *nodeProcess) wasPaused() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pausedSinceStart
}

// waitForExit waits up to d for the process to exit and reports whether it did.
func (p *nodeProcess) waitForExit(d time.Duration) bool {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	select {
	case <-exited:
		return true
	case <-time.After(d):
		return false
	}
}

// killAndCloseLog kills the process, if it was ever started, and closes its log.
func (p *nodeProcess) killAndCloseLog() {
	if p.cmd != nil {
		_ = p.signal(syscall.SIGCONT) // a paused process exits only once it continues
		_ = p.signal(syscall.SIGKILL)
		p.waitForExit(killTimeout)
	}
	_ = p.log.Close()
}

// killTimeout limits the wait for the exit of a killed process.
const killTimeout = 5 * time.Second
