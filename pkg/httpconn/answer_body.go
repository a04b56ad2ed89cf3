package httpconn

import (
	"errors"
	"io"
)

// body is an answer's body; its end gives the connection back.
type body struct {
	io.ReadCloser
	x *exchange
}

// Read reads the body; an error other than io.EOF is an *Error.
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
		return n, b.x.explain(err)
	}
}

// Close gives the exchange up if the body wasn't read to its end.
func (b *body) Close() error {
	b.x.abandon()
	return nil
}
