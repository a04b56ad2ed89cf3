package store

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/rockspoke/rockspoke/pkg/member"
)

// Faults are the faults that a Memory can simulate.
type Faults struct {
	Down       bool          `json:"down"`        // reject every call
	LoseAnswer bool          `json:"lose_answer"` // commits take effect, but their responses are lost
	Delay      time.Duration `json:"delay"`       // delay of each call
}

// Memory is a simulated platform in memory; its zero value is empty and has no faults.
type Memory struct {
	mu      sync.Mutex
	rows    map[string]Row
	objects map[string][]byte
	vms     []member.VM
	faults  Faults
	reads   int64
	commits int64
}

// errLostResponse is the cause of simulated lost responses.
var errLostResponse = errors.New("simulated loss of the response")

// SetFaults replaces the simulated faults.
func (m *Memory) SetFaults(f Faults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults = f
}

// SetVMs replaces the list of VMs.
func (m *Memory) SetVMs(vms []member.VM) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.vms = slices.Clone(vms)
}

// Counts returns the numbers of reads and commits served.
func (m *Memory) Counts() (reads, commits int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reads, m.commits
}

// Platform returns functions that operate on the Memory.
func (m *Memory) Platform() Platform {
	return Platform{
		Read: m.read, Commit: m.commit,
		PutObject: m.putObject, GetObject: m.getObject, ListVMs: m.listVMs,
	}
}

// lockOrFail simulates the faults: it waits for the delay and may return a *RefusedError. If it returns nil, it has locked m.mu.
func (m *Memory) lockOrFail(ctx context.Context) error {
	m.mu.Lock()
	f := m.faults
	m.mu.Unlock()
	if f.Delay > 0 {
		select {
		case <-time.After(f.Delay):
		case <-ctx.Done():
			return &RefusedError{ctx.Err().Error()}
		}
	}
	if f.Down {
		return &RefusedError{"down"}
	}
	m.mu.Lock()
	return nil
}

func (m *Memory) read(ctx context.Context, keys []string) (map[string]Row, error) {
	if err := m.lockOrFail(ctx); err != nil {
		return nil, err
	}
	defer m.mu.Unlock()
	m.reads++
	out := map[string]Row{}
	for _, k := range keys {
		if row, ok := m.rows[k]; ok {
			out[k] = row
		}
	}
	return out, nil
}

func (m *Memory) commit(ctx context.Context, tx Tx) error {
	if err := m.lockOrFail(ctx); err != nil {
		return err
	}
	defer m.mu.Unlock()
	m.commits++
	for _, c := range tx.Checks {
		if have := m.rows[c.Key].Version; have != c.Version {
			return &ConflictError{Key: c.Key, Want: c.Version, Have: have}
		}
	}
	if m.rows == nil {
		m.rows = map[string]Row{}
	}
	for _, w := range tx.Writes {
		m.rows[w.Key] = Row{Value: slices.Clone(w.Value), Version: m.rows[w.Key].Version + 1}
	}
	if m.faults.LoseAnswer {
		return &UnknownError{errLostResponse}
	}
	return nil
}

func (m *Memory) putObject(ctx context.Context, name string, data []byte) error {
	if err := m.lockOrFail(ctx); err != nil {
		return err
	}
	defer m.mu.Unlock()
	if m.objects == nil {
		m.objects = map[string][]byte{}
	}
	m.objects[name] = slices.Clone(data)
	return nil
}

func (m *Memory) getObject(ctx context.Context, name string) ([]byte, error) {
	if err := m.lockOrFail(ctx); err != nil {
		return nil, err
	}
	defer m.mu.Unlock()
	data, ok := m.objects[name]
	if !ok {
		return nil, &RefusedError{"there is no object " + name}
	}
	return data, nil
}

func (m *Memory) listVMs(ctx context.Context) ([]member.VM, error) {
	if err := m.lockOrFail(ctx); err != nil {
		return nil, err
	}
	defer m.mu.Unlock()
	return slices.Clone(m.vms), nil
}
