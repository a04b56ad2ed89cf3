package httpconn

import (
	"errors"
	"syscall"
)

// isReusable reports whether an idle connection is open and has no unread bytes.
func isReusable(c *conn) bool {
	if c.br.Buffered() > 0 {
		return false
	}
	sc, ok := c.raw.(syscall.Conn)
	if !ok {
		return true // not a socket; the exchange itself will show
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	ok = false
	err = rc.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, rerr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		ok = errors.Is(rerr, syscall.EAGAIN)
		return true
	})
	return err == nil && ok
}
