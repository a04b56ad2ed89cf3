package pipeline

import (
	"io"
	"net/http"
	"time"
)

// closeWait is how long a connection is read after its last answer, when an answer closes it. If it were closed with requests unread, the
// client's kernel could discard the answer. net/http waits as long.
const closeWait = 500 * time.Millisecond

// past is a deadline that ends a read or write at once.
var past = time.Unix(1, 0)

// writeAnswers writes the answers to all requests that ran ahead, in order, while it reads and starts further ones. An error means that no
// further request is read.
func (c *conn) writeAnswers() error {
	c.mu.Lock()
	n, err, deadline := len(c.queue), c.err, c.deadline
	c.mu.Unlock()
	if n == 0 || err != nil {
		return err
	}
	timeout := time.Until(deadline)
	for c.queued() {
		if err := c.writeWhileFilling(); err != nil {
			return err
		}
	}
	if !deadline.IsZero() {
		deadline = time.Now().Add(timeout) // idle only from now on
	}
	if err := c.SetReadDeadline(deadline); err != nil {
		return err
	}
	c.showIdle()
	return nil
}

// queued reports whether answers have to be written.
func (c *conn) queued() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.queue) > 0
}

// showIdle passes on StateIdle if it was hidden.
func (c *conn) showIdle() {
	c.mu.Lock()
	hidden := c.idle
	c.mu.Unlock()
	if hidden {
		c.s.HTTP.ConnState(c, http.StateIdle)
	}
}

// writeWhileFilling writes the queued answers while requests are read in the background.
func (c *conn) writeWhileFilling() error {
	if err := c.SetReadDeadline(time.Time{}); err != nil {
		return err
	}
	filled := make(chan struct{})
	go func() {
		defer close(filled)
		_ = c.fill() // c.err has it
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.err != nil {
			_ = c.SetWriteDeadline(past) // nobody reads the answer that is being written
		}
	}()
	closes, err := c.writeQueue()
	if derr := c.SetReadDeadline(past); err == nil {
		err = derr
	}
	<-filled
	if closes && err == nil {
		c.discardInput()
		return io.EOF
	}
	return err
}

// writeQueue writes queued answers until none is left, or one closes the connection.
func (c *conn) writeQueue() (closes bool, err error) {
	for {
		c.mu.Lock()
		if c.err != nil || len(c.queue) == 0 {
			defer c.mu.Unlock()
			return false, c.err
		}
		a := c.queue[0]
		c.mu.Unlock()
		closes, err := a.writeTo(c.Conn)
		if c.written(closes, err) {
			return closes, err
		}
	}
}

// written removes the first answer of the queue and reports whether no further one may be written.
func (c *conn) written(closes bool, err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return false // writeQueue returns it
	}
	c.queue = c.queue[1:]
	if closes {
		if err == nil {
			err = io.EOF
		}
		c.cancelAll(err)
		return true
	}
	c.startRequests()
	c.changed.Broadcast()
	return false
}

// discardInput ends the sending side and reads what the client has sent until it closes or closeWait is over.
func (c *conn) discardInput() {
	if c.CloseWrite() != nil || c.SetReadDeadline(time.Now().Add(closeWait)) != nil {
		return // the connection is broken
	}
	_, _ = io.Copy(io.Discard, c.Conn) // an error doesn't matter: the connection is closed next
}
