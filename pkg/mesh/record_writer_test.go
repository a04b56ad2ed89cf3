package mesh

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/rockspoke/rockspoke/pkg/directory"
)

// What peers know of a node's own record is taken for stored after a restart; where the store lacks it the next reading of
// all records shows that, and it is written.
func TestWhatWasTakenForStoredAndIsntIsWritten(t *testing.T) {
	c := qt.New(t)
	var w recordWriter
	w.init()
	w.markDurable(7)
	w.requestWrite(directory.Record{Host: "n", Generation: 7})
	<-w.changed
	_, pending := w.pending()
	c.Assert(pending, qt.IsFalse)
	w.reconcile(6)
	<-w.changed
	r, pending := w.pending()
	c.Assert(pending, qt.IsTrue)
	c.Assert(r.Generation, qt.Equals, int64(7))
	w.markDurable(7)
	w.reconcile(7)
	_, pending = w.pending()
	c.Assert(pending, qt.IsFalse)
}
