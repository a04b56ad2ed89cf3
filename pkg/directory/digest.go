package directory

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Digest returns a number that is the same for the same records, and else most likely differs: two nodes
// that have the same need not tell each other their records.
func (d *Directory) Digest() uint64 {
	var sum uint64
	for _, r := range d.records {
		sum ^= r.digest() // in any order
	}
	return sum
}

// digest covers what identifies a state of the record: only its own node changes it, and each change raises
// the generation.
func (r Record) digest() uint64 {
	h := xxhash.New()
	var number [8]byte
	binary.BigEndian.PutUint64(number[:], uint64(r.Generation))
	for _, part := range [][]byte{[]byte(r.Host), {0}, number[:], []byte(r.Instance), {0, byte(r.Phase)}} {
		_, _ = h.Write(part) // a hash never fails to take bytes
	}
	return h.Sum64()
}
