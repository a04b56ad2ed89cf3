package directory

import (
	"cmp"
	"slices"
)

// Directory holds the newest Record of each VM; its zero value is empty. It isn't safe for concurrent use.
type Directory struct {
	records map[string]Record
	// sorted and digest are what All and Digest return, as computed after the last change.
	sorted      []Record
	digest      uint64
	digestKnown bool
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
		old, known := d.records[r.Host]
		if known {
			r = old.mergedWith(r)
		}
		if known && r == old {
			continue
		}
		d.set(r)
		updates = append(updates, r)
	}
	return updates
}

// mergedWith returns the newer of two records of a host, at the later phase if both are of one lifetime: a node that has
// restarted doesn't know that its server was leaving.
func (r Record) mergedWith(received Record) Record {
	next, other := r, received
	if received.supersedes(r) {
		next, other = received, r
	}
	if other.isLaterPhaseOf(next) {
		next.Phase = other.Phase
	}
	return next
}

// MarkDraining records that the server of a VM has said that it is leaving; it returns the record and whether it changed. The
// generation stays: the server's own node raises it once it learns of the change.
func (d *Directory) MarkDraining(host string, at Lifetime) (Record, bool) {
	r, ok := d.records[host]
	if !ok || r.Phase != Serving || !r.Lifetime().SameAs(at) {
		return r, false
	}
	r.Phase = Draining
	d.set(r)
	return r, true
}

// set stores a record.
func (d *Directory) set(r Record) {
	d.records[r.Host] = r
	d.sorted, d.digestKnown = nil, false
}

// All returns every record in order of host; the caller must not change the result.
func (d *Directory) All() []Record {
	if d.sorted != nil {
		return d.sorted
	}
	all := make([]Record, 0, len(d.records))
	for _, r := range d.records {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b Record) int { return cmp.Compare(a.Host, b.Host) })
	d.sorted = all
	return all
}
