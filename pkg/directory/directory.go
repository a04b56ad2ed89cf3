package directory

import (
	"cmp"
	"slices"
)

// Directory holds the newest Record of each VM; its zero value is empty. It isn't safe for concurrent use.
type Directory struct {
	records map[string]Record
}

// Merge takes records that were heard and returns those that were news.
func (d *Directory) Merge(heard ...Record) []Record {
	if d.records == nil {
		d.records = make(map[string]Record)
	}
	var news []Record
	for _, r := range heard {
		if r.Check() != nil {
			continue // it names no server
		}
		if old, ok := d.records[r.Host]; ok && !r.newer(old) {
			continue
		}
		d.records[r.Host] = r
		news = append(news, r)
	}
	return news
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
