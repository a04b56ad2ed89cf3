package mesh

import (
	"context"
	"maps"
	"net"
	"net/http"

	"github.com/rockspoke/rockspoke/pkg/headerpack"
)

// peerConn is what this node knows of a connection that a peer made: the headers of requests that came on it, and
// those of answers that went back.
type peerConnHeaders struct {
	unpacker headerpack.Unpacker
	packer   headerpack.Packer
}

// peerConnKey is the key of a connection's peerConn among the values of its requests' contexts.
type peerConnKey struct{}

// peerServer returns the server for other nodes. Headers from other availability zones come packed, since bytes
// between zones are paid for, and so go those of the answers.
func (n *Node) newPeerServer(addr string) *http.Server {
	s := n.newServer(addr, n.withPackedHeaders(n.inboundHandler()))
	s.ConnContext = func(ctx context.Context, _ net.Conn) context.Context {
		return context.WithValue(ctx, peerConnKey{}, &peerConnHeaders{})
	}
	return s
}

// unpacked returns a handler that unpacks the headers of requests for another one, and packs those of its answers.
func (n *Node) withPackedHeaders(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		text := r.Header.Get(headerpack.Header)
		c, ok := r.Context().Value(peerConnKey{}).(*peerConnHeaders)
		if text == "" || !ok {
			next.ServeHTTP(w, r)
			return
		}
		h, err := c.unpacker.Unpack(text)
		if err != nil {
			n.callLog.Warn("peer request refused", "err", err, "peer", r.RemoteAddr)
			w.Header().Set("Connection", "close") // the tables of both sides differ from now on
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		delete(r.Header, headerpack.Header)
		maps.Copy(r.Header, h)
		next.ServeHTTP(&packingWriter{ResponseWriter: w, conn: c}, r)
	})
}

// packedAnswer packs the headers of one answer.
type packingWriter struct {
	http.ResponseWriter
	conn   *peerConnHeaders
	packed bool
}

// framing are the headers that the library of the other side has to see.
var framingHeaders = []string{"Content-Length", "Transfer-Encoding", "Connection"}

// WriteHeader packs the headers before the first of them is sent.
func (w *packingWriter) WriteHeader(status int) {
	if !w.packed {
		w.packed = true
		w.pack()
	}
	w.ResponseWriter.WriteHeader(status)
}

// pack puts one header in place of all but those of the framing.
func (w *packingWriter) pack() {
	h := w.Header()
	rest := http.Header{}
	for name, values := range h {
		if len(values) > 0 {
			rest[name] = values
			delete(h, name)
		}
	}
	for _, name := range framingHeaders {
		if v, is := rest[name]; is {
			h[name] = v
			delete(rest, name)
		}
	}
	h["Date"], h["Content-Type"] = nil, nil // the library would add its own
	h.Set(headerpack.Header, w.conn.packer.Pack(rest))
}

// Write sends the header first if that hasn't been done.
func (w *packingWriter) Write(b []byte) (int, error) {
	if !w.packed {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(b)
}
