package mesh

import (
	"net/http"
	"strings"

	"github.com/rockspoke/rockspoke/pkg/logging"
)

// nodeHeaderPrefix begins the name of every header that only nodes write. Nodes drop such headers from the requests of clients and the
// answers of backend servers, so that those can't pose as nodes.
const nodeHeaderPrefix = "Rs-"

// isNodeHeader reports whether a header is reserved for nodes.
func isNodeHeader(name string) bool {
	return len(name) >= len(nodeHeaderPrefix) && strings.EqualFold(name[:len(nodeHeaderPrefix)], nodeHeaderPrefix)
}

// dropNodeHeaders removes the headers that are reserved for nodes.
func dropNodeHeaders(h http.Header) {
	for name := range h {
		if isNodeHeader(name) {
			delete(h, name)
		}
	}
}

// noteReservedHeaders counts and logs headers that are reserved for nodes, but were sent by a client or by the local backend server.
func (n *Node) noteReservedHeaders(sender, id string, h http.Header) {
	for name := range h {
		if !isNodeHeader(name) {
			continue
		}
		n.metrics.count("reserved_headers_total", "sender", sender)
		if !logging.IsLimited(n.callLog, "reserved header dropped") {
			n.callLog.Warn("reserved header dropped", "request", id, "sender", sender, "header", name)
		}
	}
}
