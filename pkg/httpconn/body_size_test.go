package httpconn

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestBodiesOfAllSizesArriveComplete(t *testing.T) {
	c := qt.New(t)
	size := 0
	p, _ := startServer(t, func(n net.Conn, _ int, _ *http.Request) bool {
		return write(n, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size)))
	})
	for _, size = range []int{0, 1, 511, 512, 513, 1000, 4096, 5000, 100_000} {
		body, err := get(p, context.Background())
		c.Assert(err, qt.IsNil)
		c.Assert(len(body), qt.Equals, size)
	}
}
