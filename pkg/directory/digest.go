package directory

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Digest returns a hash of all records that doesn't depend on their order: two nodes with the same digest need not exchange
// their records.
func (d *Directory) Digest() uint64 {
	if !d.digestKnown {
		d.digest, d.digestKnown = 0, true
		for _, r := range d.records {
			d.digest ^= r.digest() // XOR doesn't depend on the order
		}
	}
	return d.digest
}

// digest returns a hash of the fields that identify a version of the record. These suffice because only the record's own node
// changes it, and each change raises the generation.
func (r Record) digest() uint64 {
	h := xxhash.New()
	var generation [8]byte
	binary.BigEndian.PutUint64(generation[:], uint64(r.Generation))
	for _, part := range [][]byte{[]byte(r.Host), {0}, generation[:], []byte(r.Instance), {0, byte(r.Phase)}} {
		_, _ = h.Write(part) // xxhash never returns an error
	}
	return h.Sum64()
}
