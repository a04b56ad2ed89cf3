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
func (e *NoVersionError) Error() string {
	return fmt.Sprintf("configuration version %d doesn't exist", e.Version)
}

// RaceError reports a change that wasn't accepted, since another operator's change came first.
type RaceError struct {
	Base    int64    // version that the change was based on
	Have    int64    // newest version in the table
	By      string   // author of the newest change
	Changed []string // objects that differ between Base and Have
}

// Error names both versions, and the author and the objects of the other change.
func (e *RaceError) Error() string {
	return fmt.Sprintf("version is %d, not %d: %s changed %v meanwhile", e.Have, e.Base, e.By, e.Changed)
}

// InDoubtError reports a change that may or may not have been accepted.
type InDoubtError struct {
	ID    string
	Cause error
}

// Error names the change and the cause.
func (e *InDoubtError) Error() string {
	return fmt.Sprintf("it is unknown whether change %s was accepted: %v", e.ID, e.Cause)
}

// Unwrap returns the cause.
func (e *InDoubtError) Unwrap() error { return e.Cause }

// maxCommitAttempts limits the commits of one change before the operator gets the error.
const maxCommitAttempts = 4

// Change makes an operator's change: accepted means committed in the platform's table. The error is a
// *config.InvalidError, *config.ObjectNotFoundError, *RaceError, *InDoubtError or *store.RefusedError.
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

// newestDocument returns the newest configuration in the table, or an empty one if there is none; the error is a
// *store.RefusedError.
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

// resolveSelector returns the change with a label edit's selector replaced by the names of matching VMs or objects.
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

// commitDocument writes a version by compare-and-set on the head row. It retries a commit whose answer was lost:
// the check lets the retry through only if the first commit had no effect, and the row of the change ID tells
// whether it had.
func (n *Node) commitDocument(ctx context.Context, doc *config.Document) (*config.Document, error) {
	tx := documentTx(doc)
	var last error
	inDoubt := false
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
			inDoubt = true
		}
		if !clock.Sleep(ctx, n.jitter(100*time.Millisecond)) {
			break
		}
	}
	if !inDoubt {
		return nil, last
	}
	return nil, &InDoubtError{doc.ChangeID, last}
}

// resolveConflict returns the document if an earlier attempt committed it, and a *RaceError if another operator's
// change came first.
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

// versionOfChange returns the version that a change was accepted as, or 0 if it wasn't accepted.
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

// applyAcceptedVersion reads an accepted version and puts it in force here.
func (n *Node) applyAcceptedVersion(ctx context.Context, version int64) (*config.Document, error) {
	doc, err := n.DocumentVersion(ctx, version)
	if err != nil {
		return nil, err
	}
	return doc, n.applyAccepted(ctx, doc)
}

// applyAccepted puts a committed version in force here, sends it to the neighbors and copies it to the object store.
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

// raceError returns a *RaceError for a change made for version base; now is the newest configuration.
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

// ChangeVersion returns the version that a change was accepted as, or 0 if it wasn't accepted.
func (n *Node) ChangeVersion(ctx context.Context, id string) (int64, error) {
	return n.versionOfChange(ctx, id)
}

// Document returns the configuration in force here, or an empty one.
func (n *Node) Document() *config.Document {
	if doc := n.snapshot.Load().doc; doc != nil {
		return doc
	}
	return &config.Document{}
}

// Preview returns the differences that a change would make and the resulting objects, without making the change.
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

// WriteInitialDocument writes the first configuration into an empty platform.
func WriteInitialDocument(ctx context.Context, p store.Platform, doc config.Document) error {
	return p.Commit(ctx, documentTx(&doc))
}

// documentTx returns the transaction that makes a document the newest version.
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
