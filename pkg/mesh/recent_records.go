package mesh

import (
	"time"

	"github.com/rockspoke/rockspoke/pkg/directory"
)

// recentRecordTTL is how long a changed record is part of every message: some exchange periods, after which nearly all
// nodes have it. The digest of all records finds those that don't.
const recentRecordTTL = 2 * time.Second

// recentRecords holds the recently changed records. The zero value is empty.
type recentRecords struct {
	items []recentRecord // the oldest first
}

// recentRecord is a record and the time when it expires.
type recentRecord struct {
	record  directory.Record
	expires time.Time
}

// add adds changed records.
func (w *recentRecords) add(now time.Time, records ...directory.Record) {
	for _, r := range records {
		w.items = append(w.items, recentRecord{record: r, expires: now.Add(recentRecordTTL)})
	}
}

// current returns the records that haven't expired, and drops the rest.
func (w *recentRecords) current(now time.Time) []directory.Record {
	for len(w.items) > 0 && !now.Before(w.items[0].expires) {
		w.items = w.items[1:]
	}
	records := make([]directory.Record, 0, len(w.items))
	for _, i := range w.items {
		records = append(records, i.record)
	}
	return records
}
