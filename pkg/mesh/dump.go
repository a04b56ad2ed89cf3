package mesh

import (
	"context"

	"github.com/rockspoke/rockspoke/pkg/desired"
	"github.com/rockspoke/rockspoke/pkg/directory"
	"github.com/rockspoke/rockspoke/pkg/gate"
	"github.com/rockspoke/rockspoke/pkg/settings"
)

// Dump is the state of a node, with the field names that its logs use.
type Dump struct {
	Host     string               `json:"host"`
	Epoch    int64                `json:"epoch"`
	Version  int64                `json:"version"`
	Problems []desired.Problem    `json:"problems,omitempty"` // entries of the desired state that aren't in force as configured, the first 50
	Stopping bool                 `json:"stopping"`
	InFlight int64                `json:"in_progress"`
	Gate     gate.State           `json:"gate"`
	Off      []settings.Mechanism `json:"off,omitempty"` // mechanisms that are switched off
	Records  []directory.Record   `json:"records"`
	Suspects []Suspect            `json:"suspects,omitempty"` // requests under which backend servers crashed
}

// Dump returns the current state of the node.
func (n *Node) Dump() Dump {
	d := Dump{Host: n.ip, Epoch: n.epoch, Version: n.stateVersion(), Stopping: n.stop.stopping(), InFlight: n.stop.inFlight.Load(), Off: n.cfg.Mesh.Off}
	if s := n.state.Load(); s != nil {
		d.Problems = s.Problems[:min(len(s.Problems), maxShownProblems)]
	}
	n.gateMu.Lock()
	d.Gate = n.gate.Snapshot()
	n.gateMu.Unlock()
	d.Suspects = n.suspects()
	var records []directory.Record
	if n.enqueueAndWait(context.Background(), func() { records = n.control.directory.All() }) {
		d.Records = records
	}
	return d
}

// Reload applies the settings that may change while the node runs: the seeds.
func (n *Node) Reload(cfg settings.Settings) {
	n.enqueue(func() {
		n.cfg.Seeds = cfg.Seeds
		n.controlLog.Info("settings", "seeds", cfg.Seeds)
	})
}
