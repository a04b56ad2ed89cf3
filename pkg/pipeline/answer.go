package pipeline

import (
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// answer is a connection in memory that gives an http.Server one request and keeps the bytes of its answer until they can be written.
type answer struct {
	local, remote net.Addr
	buffered      *atomic.Int64 // bytes in out of all answers

	mu       sync.Mutex
	changed  sync.Cond // on mu
	request  []byte    // the part that isn't read yet
	out      []byte    // the part of the answer that isn't written yet
	complete bool      // the answer is complete and the connection may carry further ones
	closed   bool
	canceled bool // closed by this package, not by the http.Server
	deadline time.Time
}

// newAnswer returns the answer to a request without body, whose header is given; buffered counts the bytes that wait.
func newAnswer(local, remote net.Addr, request []byte, buffered *atomic.Int64) *answer {
	a := &answer{local: local, remote: remote, request: request, buffered: buffered}
	a.changed.L = &a.mu
	return a
}

// Read returns the request. A read of one byte after it is net/http's background read, which waits for the end of the connection; a longer
// one asks for the next request, so the answer is complete.
func (a *answer) Read(p []byte) (int, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.request) > 0 {
		n := copy(p, a.request)
		a.request = a.request[n:]
		return n, nil
	}
	if len(p) > 1 {
		a.complete = true
		a.changed.Broadcast()
		return 0, io.EOF
	}
	for !a.closed && !expired(a.deadline) {
		a.changed.Wait()
	}
	if a.closed {
		return 0, net.ErrClosed
	}
	return 0, os.ErrDeadlineExceeded
}

// Write keeps p; without space it waits until earlier bytes have been written.
func (a *answer) Write(p []byte) (int, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	written := 0
	for written < len(p) {
		space := a.space()
		for ; space <= 0 && !a.closed; space = a.space() {
			a.changed.Wait()
		}
		if a.closed {
			return written, net.ErrClosed
		}
		n := min(len(p)-written, space)
		a.out = append(a.out, p[written:written+n]...)
		a.buffered.Add(int64(n))
		written += n
		a.changed.Broadcast()
	}
	return written, nil
}

// space returns how many bytes may be added to out; a.mu is held. It grows again when out is taken, so no writer has to be woken for other answers.
func (a *answer) space() int {
	if a.buffered.Load() >= maxBufferedAnswers {
		return minBufferedAnswer - len(a.out)
	}
	return maxBufferedAnswer - len(a.out)
}

// writeTo writes the answer to w while it is being made. It reports whether the connection must be closed after it.
func (a *answer) writeTo(w io.Writer) (closes bool, err error) {
	var spare []byte
	empty := true
	for {
		chunk, ended := a.take(spare)
		if len(chunk) == 0 && ended {
			a.mu.Lock()
			defer a.mu.Unlock()
			return !a.complete || empty, nil
		}
		if _, err := w.Write(chunk); err != nil {
			a.cancel() // its handler would wait for good to write the rest
			return true, err
		}
		empty = false
		spare = chunk[:0]
	}
}

// take waits for bytes of the answer or its end and returns them; further bytes go to spare.
func (a *answer) take(spare []byte) (chunk []byte, ended bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for len(a.out) == 0 && !a.complete && !a.closed {
		a.changed.Wait()
	}
	if a.canceled {
		return nil, true
	}
	a.buffered.Add(-int64(len(a.out)))
	chunk, a.out = a.out, spare
	a.changed.Broadcast()
	return chunk, a.complete || a.closed
}

// cancel ends the request's context and discards its answer.
func (a *answer) cancel() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.buffered.Add(-int64(len(a.out)))
	a.closed, a.canceled, a.out = true, true, nil
	a.changed.Broadcast()
}

// Close ends the answer.
func (a *answer) Close() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
	a.changed.Broadcast()
	return nil
}

// SetReadDeadline ends a background read if t is in the past; other deadlines have no effect, since the request is at hand.
func (a *answer) SetReadDeadline(t time.Time) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.deadline = t
	a.changed.Broadcast()
	return nil
}

// SetDeadline does what SetReadDeadline does.
func (a *answer) SetDeadline(t time.Time) error { return a.SetReadDeadline(t) }

// SetWriteDeadline has no effect: the connection that the answer is written to has its own.
func (a *answer) SetWriteDeadline(time.Time) error { return nil }

// LocalAddr returns the address at which the request arrived.
func (a *answer) LocalAddr() net.Addr { return a.local }

// RemoteAddr returns the client's address.
func (a *answer) RemoteAddr() net.Addr { return a.remote }

// expired reports whether a read deadline has passed.
func expired(t time.Time) bool { return !t.IsZero() && !t.After(time.Now()) }

// answerListener passes answers to an http.Server.
type answerListener struct {
	pending chan *answer
	done    chan struct{}
	once    sync.Once
}

// init makes the listener usable.
func (l *answerListener) init() {
	l.pending, l.done = make(chan *answer), make(chan struct{})
}

// serve passes an answer to the http.Server, or cancels it if the listener is closed.
func (l *answerListener) serve(a *answer) {
	select {
	case l.pending <- a:
	case <-l.done:
		a.cancel()
	}
}

// Accept returns the next answer.
func (l *answerListener) Accept() (net.Conn, error) {
	select {
	case a := <-l.pending:
		return a, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close ends Accept.
func (l *answerListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

// Addr returns an address without meaning, since connections aren't dialed.
func (l *answerListener) Addr() net.Addr { return &net.TCPAddr{} }
