package mesh

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/rockspoke/rockspoke/pkg/directory"
)

// After a restart, a local record known from peers counts as stored; if the store lacks it, the next read of all records
// shows that, and the record is written.
func TestARecordMissingInTheStoreIsWrittenAgain(t *testing.T) {
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
