// Package onceonly runs each at-most-once call at most once, by its idempotency key.
//
// Each key has one home: a backend server whose node remembers it. A client's
// key hashes to one of a fixed number of key ranges, and one OwnerRow per service
// names the node that owns each range. A Token is a key that names its home
// itself. The home's KeyMemory holds every key that it has received, joins
// retries to the running call, and answers later ones from the record. Ownership
// doesn't expire: it moves by a handover of the key memory, or, when the owner's
// VM was removed, to a new owner that answers "unknown" for one retry window.
package onceonly
