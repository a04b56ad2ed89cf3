package onceonly

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"
)

// NumRanges is the number of key ranges of a service.
const NumRanges = 64

// KeyHash is the first half of a key's SHA-256, with the service mixed in.
type KeyHash [16]byte

// HashKey returns the hash of a service's key.
func HashKey(service, key string) KeyHash {
	sum := sha256.Sum256([]byte(service + "\x00" + key))
	return KeyHash(sum[:16])
}

// Range returns the key range that the hash falls in, 0 to NumRanges-1.
func (h KeyHash) Range() int { return int(h[0]) % NumRanges }

// DeriveKey returns the key of a call without one of its own: from the root request, the calling
// call's key, what is called, and the place of the call among the same ones.
func DeriveKey(root, parentKey string, signature uint64, place int) string {
	text := root + "\x00" + parentKey + "\x00" + strconv.FormatUint(signature, 16) + "\x00" + strconv.Itoa(place)
	sum := sha256.Sum256([]byte(text))
	return "derived-" + hex.EncodeToString(sum[:16])
}

// RootRequestID returns the identity of the root request that a caller's key names, the same at every entry.
func RootRequestID(service, key string) string {
	h := HashKey(service, key)
	return "key-" + hex.EncodeToString(h[:])
}
