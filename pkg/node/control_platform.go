package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/rockspoke/rockspoke/pkg/config"
	"github.com/rockspoke/rockspoke/pkg/member"
	"github.com/rockspoke/rockspoke/pkg/onceonly"
	"github.com/rockspoke/rockspoke/pkg/store"
)

// The keys of the platform's table, and the name of the object that holds a copy of the newest configuration.
const (
	keyHead        = "config/head"
	keyVersion     = "config/v/%d"
	keyChange      = "config/change/"
	keyRanges      = "ranges/"
	objectDocument = "config/latest"
)

// head is the row that names the newest configuration.
type head struct {
	Version  int64  `json:"version"`
	ChangeID string `json:"change_id"`
}

// withPlatformTimeout returns the context with the timeout of platform requests.
func (n *Node) withPlatformTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, n.cfg.Platform.Timeout)
}

// loadState fills the control state at start from the platform. If the table can't be read, it takes the configuration
// from the snapshot object.
func (n *Node) loadState(ctx context.Context, s *controlState) {
	if vms, err := n.listVMs(ctx); err == nil {
		s.roster.Refresh(vms)
	} else {
		n.log.control.Warn("list of VMs can't be read", "err", err)
	}
	doc, err := n.readDocument(ctx, 0)
	if err != nil {
		n.log.control.Warn("configuration can't be read from the table", "err", err)
		doc = n.readSnapshotObject(ctx)
	}
	if doc == nil {
		return
	}
	s.offerDocument(doc)
	plan := s.register.Plan()
	if plan == nil {
		return
	}
	for _, row := range n.readRangeRows(ctx, plan.Services()) {
		s.offerRow(row)
	}
}

// listVMs reads the list of VMs from the platform.
func (n *Node) listVMs(ctx context.Context) ([]member.VM, error) {
	ctx, cancel := n.withPlatformTimeout(ctx)
	defer cancel()
	return n.platform.ListVMs(ctx)
}

// readDocument returns the newest configuration in the table, or nil without an error if its version isn't above the
// given one or there is none.
func (n *Node) readDocument(ctx context.Context, above int64) (*config.Document, error) {
	ctx, cancel := n.withPlatformTimeout(ctx)
	defer cancel()
	rows, err := n.platform.Read(ctx, []string{keyHead})
	if err != nil {
		return nil, err
	}
	row, ok := rows[keyHead]
	if !ok {
		return nil, nil
	}
	var h head
	if err := json.Unmarshal(row.Value, &h); err != nil {
		return nil, fmt.Errorf("row %s: %w", keyHead, err)
	}
	if h.Version <= above {
		return nil, nil
	}
	return n.readVersion(ctx, h.Version)
}

// readVersion reads one version from the table; the error is a *NoVersionError if it isn't there.
func (n *Node) readVersion(ctx context.Context, version int64) (*config.Document, error) {
	key := fmt.Sprintf(keyVersion, version)
	rows, err := n.platform.Read(ctx, []string{key})
	if err != nil {
		return nil, err
	}
	row, ok := rows[key]
	if !ok {
		return nil, &NoVersionError{version}
	}
	var doc config.Document
	if err := json.Unmarshal(row.Value, &doc); err != nil {
		return nil, fmt.Errorf("row %s: %w", key, err)
	}
	return &doc, nil
}

// readSnapshotObject returns the configuration copied to the object store, or nil if it can't be read.
func (n *Node) readSnapshotObject(ctx context.Context) *config.Document {
	ctx, cancel := n.withPlatformTimeout(ctx)
	defer cancel()
	data, err := n.platform.GetObject(ctx, objectDocument)
	if err != nil {
		return nil
	}
	var doc config.Document
	if err := json.Unmarshal(data, &doc); err != nil {
		n.log.control.Warn("snapshot object is malformed", "err", err)
		return nil
	}
	return &doc
}

// readRangeRows returns the services' rows of key ranges; it leaves out those that are missing or malformed.
func (n *Node) readRangeRows(ctx context.Context, services []string) []onceonly.OwnerRow {
	ctx, cancel := n.withPlatformTimeout(ctx)
	defer cancel()
	keys := make([]string, len(services))
	for i, s := range services {
		keys[i] = keyRanges + s
	}
	found, err := n.platform.Read(ctx, keys)
	if err != nil {
		n.log.control.Warn("key ranges can't be read", "err", err)
		return nil
	}
	var rows []onceonly.OwnerRow
	for key, r := range found {
		var row onceonly.OwnerRow
		if err := json.Unmarshal(r.Value, &row); err != nil {
			n.log.control.Warn("row of key ranges is malformed", "key", key, "err", err)
			continue
		}
		rows = append(rows, row)
	}
	return rows
}

// pollTable reads a newer configuration and the local service's row of key ranges, and merges them.
func (n *Node) pollTable(ctx context.Context) {
	doc, err := n.readDocument(ctx, n.snapshot.Load().version())
	if err != nil {
		n.log.control.Warn("table can't be read", "err", err)
		return
	}
	var rows []onceonly.OwnerRow
	if n.cfg.Service != "" {
		rows = n.readRangeRows(ctx, []string{n.cfg.Service})
	}
	n.enqueueControl(func(s *controlState) { s.merge(exchange{Doc: doc, Rows: rows}) })
}

// pollVMList reads the list of VMs and publishes its changes. If the platform can't be read, it exchanges with the seeds.
func (n *Node) pollVMList(ctx context.Context) {
	vms, err := n.listVMs(ctx)
	if err != nil {
		n.log.control.Warn("list of VMs can't be read", "err", err)
		n.exchangeWithSeeds(ctx)
		return
	}
	n.enqueueControl(func(s *controlState) {
		before := s.roster.ChangeCount()
		if !s.roster.Refresh(vms) {
			n.log.control.Warn("implausible list of VMs is ignored", "vms", len(vms))
			return
		}
		if s.roster.ChangeCount() != before {
			n.publishSnapshot(s)
		}
	})
}

// vmListPeriodPerVM makes the polling period grow with the list of VMs, so that the bytes read per second don't.
const vmListPeriodPerVM = 50 * time.Millisecond

// vmListPeriod returns the time until the next poll of the list of VMs. It is short while a VM is missing from the last one.
func (s *controlState) vmListPeriod() time.Duration {
	period := s.n.cfg.Control.PollList
	if s.roster.HasPendingRemoval() {
		return period
	}
	return max(period, time.Duration(len(s.n.snapshot.Load().vms))*vmListPeriodPerVM)
}

// exchangeWithSeeds exchanges state with the seeds and fetches their lists of VMs, unless this node already has a plan
// and knows other VMs. It replaces the platform while that can't be read.
func (n *Node) exchangeWithSeeds(ctx context.Context) {
	if len(n.snapshot.Load().vms) > 1 && n.snapshot.Load().plan != nil {
		return
	}
	for _, addr := range n.cfg.Seeds {
		if err := n.exchangeWith(ctx, "", addr); err != nil {
			n.log.control.Debug("exchange with seed failed", "seed", addr, "err", err)
		}
		n.fetchVMList(ctx, addr)
	}
}

// fetchVMList adopts the list of VMs that another daemon uses.
func (n *Node) fetchVMList(ctx context.Context, addr string) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	var list vmList
	if err := n.peers.control(ctx, "", addr, pathVMs, struct{}{}, &list); err != nil || len(list.VMs) == 0 {
		return
	}
	n.enqueueControl(func(s *controlState) {
		if s.roster.Refresh(list.VMs) {
			n.log.control.Info("list of VMs taken from a peer", "peer", addr, "vms", len(list.VMs))
			n.publishSnapshot(s)
		}
	})
}

// vmList is the list of VMs that a daemon uses, sent to one that can't read it from the platform.
type vmList struct {
	VMs []member.VM `json:"vms"`
}

// localVMList returns the list of VMs that this daemon uses.
func (n *Node) localVMList(ctx context.Context) (list vmList, err error) {
	err = n.runOnControl(ctx, func(s *controlState) { list.VMs = s.roster.VMs() })
	return list, err
}

// commitRow writes a row of key ranges and returns the row that is in the table afterwards. After any error but a
// *store.RefusedError, it is unknown whether the row was written or will be.
func (n *Node) commitRow(ctx context.Context, row onceonly.OwnerRow) (onceonly.OwnerRow, error) {
	key := keyRanges + row.Service
	tx := store.Tx{
		Checks: []store.Check{{Key: key, Version: row.Version - 1}},
		Writes: []store.Write{{Key: key, Value: marshal(row)}},
	}
	pctx, cancel := n.withPlatformTimeout(ctx)
	defer cancel()
	err := n.platform.Commit(pctx, tx)
	var conflict *store.ConflictError
	if err == nil || !errors.As(err, &conflict) {
		return row, err
	}
	rows := n.readRangeRows(ctx, []string{row.Service})
	if len(rows) == 0 {
		return onceonly.OwnerRow{}, err
	}
	return rows[0], nil
}

// platformRetryPause is the pause between retries of work that depends on the platform.
const platformRetryPause = time.Second
