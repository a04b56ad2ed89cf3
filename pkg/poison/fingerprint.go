package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"hash"
	"io"
	"strings"
)

// fingerprintBytes is the length of a Fingerprint: two requests that a caller makes up have the same one by chance in one
// of 2^64 tries, and one that somebody else sends can't be met at all.
const fingerprintBytes = 16

// Fingerprint tells what a request asks for: requests with the same one make a server do the same.
type Fingerprint [fingerprintBytes]byte

// Asked is what a request asks for. Of a body that isn't held whole the first part counts, and its length.
type Asked struct {
	Service string // that runs it: another one may well survive it
	Method  string
	Host    string
	URI     string // path and query
	Caller  string // the service on whose VM the request began
	Body    []byte
	Length  int64 // of a body that isn't held whole, in bytes; -1: not known, 0: it is held whole
}

// Fingerprint returns the fingerprint. It is a cryptographic hash, so that no caller can have another one's requests held back.
func (a Asked) Fingerprint() Fingerprint {
	h := sha256.New()
	for _, part := range []string{a.Service, a.Method, strings.ToLower(a.Host), a.URI, a.Caller} {
		addLength(h, int64(len(part)))
		_, _ = io.WriteString(h, part) // a hash takes all bytes
	}
	addLength(h, a.Length)
	_, _ = h.Write(a.Body) // as above
	return Fingerprint(h.Sum(nil)[:fingerprintBytes])
}

// addLength keeps the parts apart.
func addLength(h hash.Hash, n int64) {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], uint64(n))
	_, _ = h.Write(b[:]) // a hash takes all bytes
}

// String writes the fingerprint in hexadecimal digits.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// MarshalText writes the fingerprint as String does.
func (f Fingerprint) MarshalText() ([]byte, error) { return []byte(f.String()), nil }

// UnmarshalText reads what MarshalText wrote; the error is a *FingerprintError.
func (f *Fingerprint) UnmarshalText(text []byte) error {
	b, err := hex.DecodeString(string(text))
	if err != nil || len(b) != fingerprintBytes {
		return &FingerprintError{string(text)}
	}
	copy(f[:], b)
	return nil
}

// FingerprintError reports a text that is no fingerprint.
type FingerprintError struct{ Text string }

// Error says so.
func (e *FingerprintError) Error() string {
	return fmt.Sprintf("%q is no fingerprint: %d hexadecimal digits", e.Text, 2*fingerprintBytes)
}
