package poison

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// SelectHost returns the index of the host to which a suspect goes, the same at every node that knows the same hosts, and -1 if there are none. Suspects
// of one server that ended are spread over all hosts, and one that a host is lost for is the only one that moves (rendezvous hashing).
func SelectHost(f Fingerprint, hosts []string) int {
	best, most := -1, uint64(0)
	for i, h := range hosts {
		if w := weight(f, h); best < 0 || w > most {
			best, most = i, w
		}
	}
	return best
}

func weight(f Fingerprint, host string) uint64 {
	b := make([]byte, 0, fingerprintBytes+len(host))
	b = append(b, f[:]...)
	b = append(b, host...)
	return xxhash.Sum64(b) ^ binary.BigEndian.Uint64(f[:])
}
