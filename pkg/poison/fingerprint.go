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

// fingerprintBytes is the length of a Fingerprint. A caller needs about 2^64 tries to find two requests with the same fingerprint,
// and can't feasibly match the fingerprint of another caller's request.
const fingerprintBytes = 16

// Fingerprint is a hash of a request's content in one scope; requests with the same fingerprint are treated as the same request.
type Fingerprint [fingerprintBytes]byte

// RequestContent is the part of a request that fingerprints are computed from. Of a body that isn't buffered whole, it has the first part and the length.
type RequestContent struct {
	Service string // that runs it; the same request may be harmless to another service
	Method  string
	Host    string
	URI     string // path and query
	Caller  string // the service on whose VM the request began
	Body    []byte
	Length  int64 // in bytes, of a body that isn't buffered whole; -1: unknown, 0: Body is the whole body
}

// Fingerprint scopes, from the narrowest: each wider one leaves out more of the content.
const (
	// Exact covers all content, query and caller included.
	Exact = iota
	// SamePath leaves out the query: a client's retry may have another page number or timestamp, and a poison request
	// crashes servers whatever these are.
	SamePath
	// AnyCaller also leaves out the calling service, since the request may enter the mesh at any VM.
	AnyCaller
	// ScopeCount is the number of scopes.
	ScopeCount
)

// Identity holds a request's fingerprint in each scope. The wider scopes find requests that crash servers by their path. The narrower ones
// find those that do so by their query or for one caller only, as successful requests for the same path clear the wider ones.
type Identity [ScopeCount]Fingerprint

// Identity computes the fingerprints. They are cryptographic hashes, so that no caller can get another caller's requests quarantined.
func (a RequestContent) Identity() Identity {
	var id Identity
	for i, l := range a.scopes() {
		id[i] = a.fingerprint(l, int64(i))
	}
	return id
}

// scope holds the values that differ between fingerprint scopes; all other content counts in each.
type scope struct{ uri, caller string }

func (a RequestContent) scopes() [ScopeCount]scope {
	path, _, _ := strings.Cut(a.URI, "?")
	return [ScopeCount]scope{
		Exact:     {a.URI, a.Caller},
		SamePath:  {path, a.Caller},
		AnyCaller: {path, ""},
	}
}

// Widest returns the fingerprint in the widest scope, which the most requests share.
func (id Identity) Widest() Fingerprint { return id[AnyCaller] }

// fingerprint hashes the request's content in one scope.
func (a RequestContent) fingerprint(l scope, index int64) Fingerprint {
	h := sha256.New()
	writeInt64(h, index)
	for _, part := range []string{a.Service, a.Method, strings.ToLower(a.Host), l.uri, l.caller} {
		writeInt64(h, int64(len(part)))
		_, _ = io.WriteString(h, part) // a hash never returns an error
	}
	writeInt64(h, a.Length)
	_, _ = h.Write(a.Body) // never returns an error
	return Fingerprint(h.Sum(nil)[:fingerprintBytes])
}

// writeInt64 writes n to the hash. A length before each part keeps content from moving between fields unnoticed.
func writeInt64(h hash.Hash, n int64) {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], uint64(n))
	_, _ = h.Write(b[:]) // a hash never returns an error
}

// String returns the fingerprint in hexadecimal digits.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// MarshalText returns the same text as String.
func (f Fingerprint) MarshalText() ([]byte, error) { return []byte(f.String()), nil }

// UnmarshalText parses the output of MarshalText; the error is a *FingerprintError.
func (f *Fingerprint) UnmarshalText(text []byte) error {
	b, err := hex.DecodeString(string(text))
	if err != nil || len(b) != fingerprintBytes {
		return &FingerprintError{string(text)}
	}
	copy(f[:], b)
	return nil
}

// FingerprintError reports a text that isn't a valid fingerprint.
type FingerprintError struct{ Text string }

// Error names the text and the expected length.
func (e *FingerprintError) Error() string {
	return fmt.Sprintf("%q is not a fingerprint of %d hexadecimal digits", e.Text, 2*fingerprintBytes)
}
