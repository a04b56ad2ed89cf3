package httpconn

import (
	"errors"
	"net"
	"syscall"
)

// idleCheck looks whether the other side of an idle socket has closed it or sent anything.
type idleCheck struct {
	socket syscall.RawConn // nil: the connection isn't a socket
	err    error
	peek   func(fd uintptr) bool // made once, as a closure for each check is an allocation
	clean  bool                  // result of the last peek
}

// newIdleCheck returns the check of a connection.
func newIdleCheck(raw net.Conn) *idleCheck {
	k := &idleCheck{}
	sc, ok := raw.(syscall.Conn)
	if !ok {
		return k
	}
	k.socket, k.err = sc.SyscallConn()
	k.peek = func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		k.clean = errors.Is(err, syscall.EAGAIN)
		return true
	}
	return k
}

// isReusable reports whether an idle connection is open and has no unread bytes.
func isReusable(c *conn) bool {
	k := c.check
	switch {
	case c.br.Buffered() > 0 || k.err != nil:
		return false
	case k.socket == nil:
		return true // the exchange itself will show
	}
	k.clean = false
	return k.socket.Read(k.peek) == nil && k.clean
}
