package mesh

import (
	"bytes"
	"io"
	"sync"
)

// messageBuffers holds buffers of type *bytes.Buffer for received messages: decoding copies what it keeps.
var messageBuffers sync.Pool

// maxKeptBuffer is the largest buffer that is kept, in bytes: messages with a large desired state are rare.
const maxKeptBuffer = 256 << 10

// newMessageBuffer returns an empty buffer.
func newMessageBuffer() *bytes.Buffer {
	if b, ok := messageBuffers.Get().(*bytes.Buffer); ok {
		return b
	}
	return &bytes.Buffer{}
}

// releaseMessageBuffer has a buffer used again.
func releaseMessageBuffer(b *bytes.Buffer) {
	if b.Cap() <= maxKeptBuffer {
		b.Reset()
		messageBuffers.Put(b)
	}
}

// readMessage reads a message from a body and closes it.
func readMessage(b *bytes.Buffer, body io.ReadCloser) error {
	defer body.Close() // a failed read has reported the error
	_, err := b.ReadFrom(io.LimitReader(body, maxMessageBytes))
	return err
}
