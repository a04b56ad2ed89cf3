package mesh

import (
	"time"

	"github.com/rockspoke/rockspoke/pkg/directory"
)

// newsTime is how long a changed record goes with every message: some rounds of exchanges, after which
// nearly all have it; a digest finds those who don't.
const newsTime = 2 * time.Second

// recordNews are the records that changed of late; its zero value is empty.
type recordNews struct {
	items []newsItem // the oldest first
}

type newsItem struct {
	record directory.Record
	until  time.Time
}

// add notes records that are news.
func (w *recordNews) add(now time.Time, records ...directory.Record) {
	for _, r := range records {
		w.items = append(w.items, newsItem{record: r, until: now.Add(newsTime)})
	}
}

// recent returns what is still news, and drops the rest.
func (w *recordNews) recent(now time.Time) []directory.Record {
	for len(w.items) > 0 && !now.Before(w.items[0].until) {
		w.items = w.items[1:]
	}
	records := make([]directory.Record, 0, len(w.items))
	for _, i := range w.items {
		records = append(records, i.record)
	}
	return records
}
