package poison

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// SelectHost returns the index of the host that runs a suspect, the same at every node that knows the same hosts, or -1 if there are none.
// By rendezvous hashing, the suspects of one crashed server are spread over all hosts, and when a host is lost only its suspects move.
func SelectHost(f Fingerprint, hosts []string) int {
	best, most := -1, uint64(0)
	for i, h := range hosts {
		if w := hashWeight(f, h); best < 0 || w > most {
			best, most = i, w
		}
	}
	return best
}

func hashWeight(f Fingerprint, host string) uint64 {
	b := make([]byte, 0, fingerprintBytes+len(host))
	b = append(b, f[:]...)
	b = append(b, host...)
	return xxhash.Sum64(b) ^ binary.BigEndian.Uint64(f[:])
}
