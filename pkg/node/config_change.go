package node

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"k8s.io/apimachinery/pkg/labels"

	"github.com/rockspoke/rockspoke/pkg/clock"
	"github.com/rockspoke/rockspoke/pkg/config"
	"github.com/rockspoke/rockspoke/pkg/store"
)

// NoVersionError reports a configuration version that isn't in the table.
type NoVersionError struct{ Version int64 }

// Error names the version.
func (e *NoVersionError) Error() string { return fmt.Sprintf("there is no version %d", e.Version) }

// RaceError reports a change that lost against another operator's: it was not accepted.
type RaceError struct {
	Base    int64    // version that the change was made for
	Have    int64    // version in force
	By      string   // author of the newest change
	Changed []string // objects that differ between Base and Have
}

// Error says what changed meanwhile.
func (e *RaceError) Error() string {
	return fmt.Sprintf("version is %d, not %d: %s changed %v meanwhile", e.Have, e.Base, e.By, e.Changed)
}

// InDoubtError reports a change of which it isn't known whether it was accepted.
type InDoubtError struct {
	ID    string
	Cause error
}

// Error names the change.
func (e *InDoubtError) Error() string {
	return fmt.Sprintf("it is unknown whether change %s was accepted: %v", e.ID, e.Cause)
}

// Unwrap returns the cause.
func (e *InDoubtError) Unwrap() error { return e.Cause }

// maxCommitAttempts is how often a commit with a lost answer is settled before the operator is told so.
const maxCommitAttempts = 4

// Change makes an operator's change: accepted means committed in the platform's table. The error is a
// *config.InvalidError, *config.NoObjectError, *RaceError, *InDoubtError or *store.RefusedError.
func (n *Node) Change(ctx context.Context, ch config.Change) (*config.Document, error) {
	base, err := n.newestDocument(ctx)
	if err != nil {
		return nil, err
	}
	if v, err := n.versionOfChange(ctx, ch.ID); err == nil && v > 0 {
		return n.applyAcceptedVersion(ctx, v)
	}
	if base.Version != ch.Base {
		return nil, n.raceError(ctx, ch.Base, base)
	}
	objs, err := config.Apply(base, n.resolveSelector(ch, base))
	if err != nil {
		return nil, err
	}
	doc := &config.Document{
		Version: base.Version + 1, ChangeID: ch.ID, Author: ch.Author, At: n.clock.Now().UTC(),
		Note: ch.Note, Objects: objs,
	}
	return n.commitDocument(ctx, doc)
}

// newestDocument returns the newestDocument configuration of the table, or an empty one.
func (n *Node) newestDocument(ctx context.Context) (*config.Document, error) {
	doc, err := n.readDocument(ctx, 0)
	if err != nil {
		return nil, &store.RefusedError{Reason: "the newest configuration can't be read: " + err.Error()}
	}
	if doc == nil {
		return &config.Document{}, nil
	}
	return doc, nil
}

// resolveSelector turns a selector of VMs or other objects into names.
func (n *Node) resolveSelector(ch config.Change, base *config.Document) config.Change {
	if ch.Label == nil || ch.Label.Selector == "" {
		return ch
	}
	sel, err := labels.Parse(ch.Label.Selector)
	if err != nil {
		return ch
	}
	e := *ch.Label
	e.Names = nil
	if e.Kind == config.KindVM {
		for _, c := range n.snapshot.Load().candidates {
			if sel.Matches(c.Labels) {
				e.Names = append(e.Names, c.VM.Name)
			}
		}
	} else {
		for _, o := range base.Objects {
			if o.Kind == e.Kind && sel.Matches(labels.Set(o.Labels)) {
				e.Names = append(e.Names, o.Name)
			}
		}
	}
	ch.Label = &e
	return ch
}

// commitDocument writes a version by compare-and-set on the head row. A commit whose answer was lost is
// made again: the check lets it through only if the first had no effect, and the change's own row tells
// whether it had.
func (n *Node) commitDocument(ctx context.Context, doc *config.Document) (*config.Document, error) {
	tx := documentTx(doc)
	var last error
	doubt := false
	for range maxCommitAttempts {
		pctx, cancel := n.withPlatformTimeout(ctx)
		last = n.platform.Commit(pctx, tx)
		cancel()
		var (
			conflict *store.ConflictError
			refused  *store.RefusedError
		)
		switch {
		case last == nil:
			return doc, n.applyAccepted(ctx, doc)
		case errors.As(last, &conflict):
			return n.resolveConflict(ctx, doc)
		case !errors.As(last, &refused):
			doubt = true
		}
		if !clock.Sleep(ctx, n.jitter(100*time.Millisecond)) {
			break
		}
	}
	if !doubt {
		return nil, last
	}
	return nil, &InDoubtError{doc.ChangeID, last}
}

// resolveConflict tells an own earlier commit from another operator's.
func (n *Node) resolveConflict(ctx context.Context, doc *config.Document) (*config.Document, error) {
	v, err := n.versionOfChange(ctx, doc.ChangeID)
	if err != nil {
		return nil, &InDoubtError{doc.ChangeID, err}
	}
	if v > 0 {
		return n.applyAcceptedVersion(ctx, v)
	}
	now, err := n.newestDocument(ctx)
	if err != nil {
		return nil, &RaceError{Base: doc.Version - 1, Have: doc.Version, By: "another operator"}
	}
	return nil, n.raceError(ctx, doc.Version-1, now)
}

// versionOfChange returns the version that a change became, or 0 if it wasn't accepted.
func (n *Node) versionOfChange(ctx context.Context, id string) (int64, error) {
	ctx, cancel := n.withPlatformTimeout(ctx)
	defer cancel()
	rows, err := n.platform.Read(ctx, []string{keyChange + id})
	if err != nil {
		return 0, err
	}
	row, ok := rows[keyChange+id]
	if !ok {
		return 0, nil
	}
	return strconv.ParseInt(string(row.Value), 10, 64)
}

func (n *Node) applyAcceptedVersion(ctx context.Context, version int64) (*config.Document, error) {
	doc, err := n.DocumentVersion(ctx, version)
	if err != nil {
		return nil, err
	}
	return doc, n.applyAccepted(ctx, doc)
}

// applyAccepted puts a committed version in force here, tells the neighbours, and keeps a copy in the object store.
func (n *Node) applyAccepted(ctx context.Context, doc *config.Document) error {
	err := n.runOnControl(ctx, func(s *controlState) {
		s.merge(exchange{Doc: doc})
		s.exchangeWithNeighbors()
		s.changed = false
	})
	go func() {
		pctx, cancel := n.withPlatformTimeout(n.ctx)
		defer cancel()
		if err := n.platform.PutObject(pctx, objectDocument, marshal(doc)); err != nil {
			n.log.control.Warn("snapshot object can't be written", "err", err)
		}
	}()
	return err
}

func (n *Node) raceError(ctx context.Context, base int64, now *config.Document) error {
	e := &RaceError{Base: base, Have: now.Version, By: now.Author}
	if old, err := n.DocumentVersion(ctx, base); err == nil {
		for _, d := range config.Diff(old.Objects, now.Objects) {
			e.Changed = append(e.Changed, d.ID)
		}
	}
	return e
}

// DocumentVersion returns one version from the table; the error is a *NoVersionError or the platform's.
func (n *Node) DocumentVersion(ctx context.Context, version int64) (*config.Document, error) {
	if version == 0 {
		return &config.Document{}, nil
	}
	ctx, cancel := n.withPlatformTimeout(ctx)
	defer cancel()
	return n.readVersion(ctx, version)
}

// ChangeVersion tells what became of a change: the version that it was accepted as, or 0 if it wasn't.
func (n *Node) ChangeVersion(ctx context.Context, id string) (int64, error) {
	return n.versionOfChange(ctx, id)
}

// Document returns the configuration in force here.
func (n *Node) Document() *config.Document {
	if doc := n.snapshot.Load().doc; doc != nil {
		return doc
	}
	return &config.Document{}
}

// Preview returns what a change would do, without making it.
func (n *Node) Preview(ctx context.Context, ch config.Change) ([]config.Difference, []config.Object, error) {
	base, err := n.newestDocument(ctx)
	if err != nil {
		return nil, nil, err
	}
	objs, err := config.Apply(base, n.resolveSelector(ch, base))
	if err != nil {
		return nil, nil, err
	}
	return config.Diff(base.Objects, objs), objs, nil
}

// WriteInitialDocument writes the first configuration into an empty platform, as a first change would.
func WriteInitialDocument(ctx context.Context, p store.Platform, doc config.Document) error {
	return p.Commit(ctx, documentTx(&doc))
}

// documentTx is the transaction that makes a document the newest version.
func documentTx(doc *config.Document) store.Tx {
	return store.Tx{
		Checks: []store.Check{
			{Key: keyHead, Version: doc.Version - 1},
			{Key: keyChange + doc.ChangeID, Version: 0},
		},
		Writes: []store.Write{
			{Key: keyHead, Value: marshal(head{doc.Version, doc.ChangeID})},
			{Key: fmt.Sprintf(keyVersion, doc.Version), Value: marshal(doc)},
			{Key: keyChange + doc.ChangeID, Value: []byte(strconv.FormatInt(doc.Version, 10))},
		},
	}
}
