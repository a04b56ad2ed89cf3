package headerpack

import (
	"fmt"
	"net/http"
	"net/textproto"

	"golang.org/x/net/http2/hpack"
)

// Limits of unpacking.
const (
	// tableBytes is the size of a connection's dynamic table: the initial size in HTTP/2.
	tableBytes = 4 << 10
	// MaxBytes is the largest size of one unpacked header block, the same as a node accepts from a client.
	MaxBytes = 64 << 10
)

// Error reports a header that can't be unpacked.
type Error struct {
	Bytes int // size of the packed text
	Cause error
}

// Error returns a message with the size of the packed text and the cause.
func (e *Error) Error() string { return fmt.Sprintf("packed header of %d bytes: %v", e.Bytes, e.Cause) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// sizeError reports an unpacked header block that is larger than limit bytes.
type sizeError struct{ limit int }

// Error returns a message with the largest allowed size.
func (e sizeError) Error() string { return fmt.Sprintf("over %d bytes", e.limit) }

// Unpacker unpacks the headers that one side of a connection receives. Its zero value is ready; it isn't safe for concurrent use.
type Unpacker struct {
	dec *hpack.Decoder
}

// Unpack returns the header block that was packed into text, with canonical names; the error is an *Error.
func (u *Unpacker) Unpack(text string) (http.Header, error) {
	if u.dec == nil {
		u.dec = hpack.NewDecoder(tableBytes, nil)
		u.dec.SetMaxStringLength(MaxBytes)
	}
	packed, err := coding.DecodeString(text)
	if err != nil {
		return nil, &Error{len(text), err}
	}
	h := http.Header{}
	size := 0
	u.dec.SetEmitFunc(func(f hpack.HeaderField) {
		if size += int(f.Size()); size <= MaxBytes {
			name := textproto.CanonicalMIMEHeaderKey(f.Name)
			h[name] = append(h[name], f.Value)
		}
	})
	if _, err := u.dec.Write(packed); err != nil {
		return nil, &Error{len(text), err}
	}
	if err := u.dec.Close(); err != nil {
		return nil, &Error{len(text), err}
	}
	if size > MaxBytes {
		return nil, &Error{len(text), sizeError{MaxBytes}}
	}
	return h, nil
}
