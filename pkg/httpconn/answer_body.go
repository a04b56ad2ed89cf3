package httpconn

import (
	"errors"
	"io"
)

// body is an answer's body; when it has been read to the end, the connection goes back to the pool.
type body struct {
	io.ReadCloser
	x *exchange
}

// Read reads up to len(p) bytes of the body; an error other than io.EOF is an *Error.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF):
		b.x.finish()
		return n, io.EOF
	default:
		b.x.abandon()
		return n, b.x.wrapError(err)
	}
}

// Close closes the connection if the body wasn't read to its end; it always returns nil.
func (b *body) Close() error {
	b.x.abandon()
	return nil
}
