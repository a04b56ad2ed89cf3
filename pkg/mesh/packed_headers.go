package mesh

import (
	"context"
	"maps"
	"net"
	"net/http"

	"github.com/rockspoke/rockspoke/pkg/headerpack"
)

// peerConnHeaders holds the header compression state of a connection that a peer opened: for the headers of its
// requests, and for those of the answers.
type peerConnHeaders struct {
	unpacker headerpack.Unpacker
	packer   headerpack.Packer
}

// peerConnKey is the context key of the peerConnHeaders of a request's connection.
type peerConnKey struct{}

// newPeerServer returns the HTTP server for other nodes. Headers of requests from other availability zones are packed,
// and so are those of the answers, since traffic between zones is charged for.
func (n *Node) newPeerServer(addr string) *http.Server {
	s := n.newServer(addr, n.withPackedHeaders(n.inboundHandler()))
	s.ConnContext = func(ctx context.Context, _ net.Conn) context.Context {
		return context.WithValue(ctx, peerConnKey{}, &peerConnHeaders{})
	}
	return s
}

// withPackedHeaders returns a handler that unpacks the headers of requests before next handles them, and packs the
// headers of the answers. A node that packs headers packs headerCall too. With an open headerCall, the packed header isn't the node's:
// a node of an earlier release may have passed it on from its client.
func (n *Node) withPackedHeaders(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		text := r.Header.Get(headerpack.HeaderName)
		_, open := r.Header[headerCall]
		c, ok := r.Context().Value(peerConnKey{}).(*peerConnHeaders)
		if text == "" || open || !ok {
			next.ServeHTTP(w, r)
			return
		}
		h, err := c.unpacker.Unpack(text)
		if _, isRequest := h[headerCall]; err == nil && !isRequest {
			err = &ProtocolError{headerCall, ""}
		}
		if err != nil {
			n.callLog.Warn("invalid peer request", "err", err, "peer", r.RemoteAddr)
			w.Header().Set("Connection", "close") // the tables of the two sides no longer match
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		delete(r.Header, headerpack.HeaderName)
		maps.Copy(r.Header, h)
		next.ServeHTTP(&packingWriter{ResponseWriter: w, conn: c}, r)
	})
}

// packingWriter is a response writer that packs the headers of one answer.
type packingWriter struct {
	http.ResponseWriter
	conn   *peerConnHeaders
	packed bool
}

// framingHeaders are sent unpacked, since the peer's HTTP library needs them.
var framingHeaders = []string{"Content-Length", "Transfer-Encoding", "Connection"}

// Unwrap returns the writer below, whose connection an http.ResponseController controls.
func (w *packingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader packs the headers before the first status line is sent.
func (w *packingWriter) WriteHeader(status int) {
	if !w.packed {
		w.packed = true
		w.pack()
	}
	w.ResponseWriter.WriteHeader(status)
}

// pack replaces all headers but those for framing with a single packed header.
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
	h["Date"], h["Content-Type"] = nil, nil // net/http would add its own
	h.Set(headerpack.HeaderName, w.conn.packer.Pack(rest))
}

// Write sends the headers first if they haven't been sent.
func (w *packingWriter) Write(b []byte) (int, error) {
	if !w.packed {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(b)
}
