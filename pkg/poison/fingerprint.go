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

// Fingerprint tells what a request asks for, by one likeness: requests with the same one make a server do the same.
type Fingerprint [fingerprintBytes]byte

// RequestContent is what a request asks for. Of a body that isn't held whole the first part counts, and its length.
type RequestContent struct {
	Service string // that runs it: another one may well survive it
	Method  string
	Host    string
	URI     string // path and query
	Caller  string // the service on whose VM the request began
	Body    []byte
	Length  int64 // of a body that isn't held whole, in bytes; -1: not known, 0: it is held whole
}

// Likenesses of requests, from the narrowest.
const (
	// Exact is that of all that is asked for, query and caller included.
	Exact = iota
	// SamePath leaves the query out: a client that asks again may well give another page or a time, and a request that ends
	// servers does so whatever these are.
	SamePath
	// AnyCaller leaves the service as well beside which the request began: it may come in anywhere.
	AnyCaller
	// ScopeCount is how many there are.
	ScopeCount
)

// Identity has a request's fingerprint by each likeness. What ends servers by its path is found by the wider ones; what does so by its query, or for one
// caller only, by the narrower ones, since the sound requests for the same path clear them of the wider ones.
type Identity [ScopeCount]Fingerprint

// Identity returns the fingerprints. They are cryptographic hashes, so that no caller can have another one's requests held back.
func (a RequestContent) Identity() Identity {
	var id Identity
	for i, l := range a.likenesses() {
		id[i] = a.fingerprint(l, int64(i))
	}
	return id
}

// likeness is what counts of a request by one of them, beside what does by all.
type likeness struct{ uri, caller string }

func (a RequestContent) likenesses() [ScopeCount]likeness {
	path, _, _ := strings.Cut(a.URI, "?")
	return [ScopeCount]likeness{
		Exact:     {a.URI, a.Caller},
		SamePath:  {path, a.Caller},
		AnyCaller: {path, ""},
	}
}

// Widest returns the fingerprint that the most requests share.
func (id Identity) Widest() Fingerprint { return id[AnyCaller] }

// fingerprint returns the one by a likeness.
func (a RequestContent) fingerprint(l likeness, index int64) Fingerprint {
	h := sha256.New()
	addLength(h, index)
	for _, part := range []string{a.Service, a.Method, strings.ToLower(a.Host), l.uri, l.caller} {
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
