package onceonly

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"
)

// NumRanges is the number of key ranges of a service.
const NumRanges = 64

// KeyHash is the first half of the SHA-256 of a service's name and key.
type KeyHash [16]byte

// HashKey returns the hash of a key; the same key of another service has another hash.
func HashKey(service, key string) KeyHash {
	sum := sha256.Sum256([]byte(service + "\x00" + key))
	return KeyHash(sum[:16])
}

// Range returns the key range that the hash falls in, 0 to NumRanges-1.
func (h KeyHash) Range() int { return int(h[0]) % NumRanges }

// DeriveKey returns the key of an internal call that has none, from the root request's ID, the key of the calling call, the signature
// of the internal call and its index among the calls of that signature.
func DeriveKey(root, parentKey string, signature uint64, index int) string {
	text := root + "\x00" + parentKey + "\x00" + strconv.FormatUint(signature, 16) + "\x00" + strconv.Itoa(index)
	sum := sha256.Sum256([]byte(text))
	return "derived-" + hex.EncodeToString(sum[:16])
}

// RootRequestID returns the ID of the root request with a client's key, the same at every entry VM.
func RootRequestID(service, key string) string {
	h := HashKey(service, key)
	return "key-" + hex.EncodeToString(h[:])
}
