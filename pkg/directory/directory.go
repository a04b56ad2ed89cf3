package directory

import (
	"cmp"
	"slices"
)

// Directory holds the newest Record of each VM; its zero value is empty. It isn't safe for concurrent use.
type Directory struct {
	records map[string]Record
}

// Merge adds received records and returns those that were valid and newer than the ones held.
func (d *Directory) Merge(received ...Record) []Record {
	if d.records == nil {
		d.records = make(map[string]Record)
	}
	var updates []Record
	for _, r := range received {
		if r.Check() != nil {
			continue // no node writes such a record
		}
		if old, ok := d.records[r.Host]; ok && !r.supersedes(old) {
			continue
		}
		d.records[r.Host] = r
		updates = append(updates, r)
	}
	return updates
}

// All returns every record in order of host.
func (d *Directory) All() []Record {
	all := make([]Record, 0, len(d.records))
	for _, r := range d.records {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b Record) int { return cmp.Compare(a.Host, b.Host) })
	return all
}
