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

	"github.com/rockspoke/rockspoke/pkg/settings"
)

// nodeProcess is one VM's process of rockspoked, with its settings file and log.
type nodeProcess struct {
	program  string
	file     string // settings
	log      *os.File
	cfg      settings.Settings
	onExit   func(err error)
	mu       sync.Mutex
	cmd      *exec.Cmd
	exited   chan struct{}
	expected bool // a signal of the soak ends it
	paused   bool // was, since its start

	restarting sync.Mutex // held from the signal to the next start
}

// newNodeProcess writes the settings; the process isn't started.
func newNodeProcess(program, dir string, cfg settings.Settings) (*nodeProcess, error) {
	p := &nodeProcess{program: program, file: filepath.Join(dir, cfg.VM+".yaml"), cfg: cfg}
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
	return os.WriteFile(p.file, data, 0o600)
}

// start starts the process.
func (p *nodeProcess) start() error {
	cmd := exec.Command(p.program, "-settings", p.file)
	cmd.Env = append(os.Environ(), "GOMAXPROCS=2")
	cmd.Stdout, cmd.Stderr = p.log, p.log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.exited, p.expected, p.paused = cmd, exited, false, false
	p.mu.Unlock()
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		expected := p.expected
		p.mu.Unlock()
		close(exited)
		if !expected {
			p.onExit(err)
		}
	}()
	return nil
}

// signal sends a signal to the process; one that ended before needs none.
func (p *nodeProcess) signal(s syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s == syscall.SIGTERM || s == syscall.SIGKILL {
		p.expected = true
	}
	p.paused = p.paused || s == syscall.SIGSTOP
	if err := p.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	return nil
}

// wasPaused tells whether the process was paused since its start.
func (p *nodeProcess) wasPaused() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.paused
}

// await waits for the end of the process, and reports whether it came in time.
func (p *nodeProcess) await(d time.Duration) bool {
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

// end kills the process and closes its log.
func (p *nodeProcess) end() {
	if p.cmd != nil {
		_ = p.signal(syscall.SIGCONT) // a paused one ends only once it goes on
		_ = p.signal(syscall.SIGKILL)
		p.await(endTime)
	}
	_ = p.log.Close()
}

// endTime bounds the wait for a killed process.
const endTime = 5 * time.Second
