package mesh

import (
	"net"
	"net/http"

	"github.com/rockspoke/rockspoke/pkg/desired"
	"github.com/rockspoke/rockspoke/pkg/pipeline"
	"github.com/rockspoke/rockspoke/pkg/settings"
)

// servePipelined makes the clients' server serve pipelined requests concurrently, unless that is switched off.
func (n *Node) servePipelined(s *http.Server) {
	if n.off[settings.Pipelining] {
		return
	}
	n.pipelined = &pipeline.Server{HTTP: s, MayRunAhead: n.mayRunAhead, OnPipelined: n.notePipelined}
	n.pipelined.Init()
}

// mayRunAhead reports whether a request may be served before earlier ones of its connection are answered. A request that may run at most
// once must not run if an earlier answer closes the connection, since the client then sends it again.
func (n *Node) mayRunAhead(host, uri string) bool {
	state := n.state.Load()
	if state == nil {
		return false
	}
	route := state.Match(host, uri)
	return route != nil && route.Kind != desired.AtMostOnce
}

// ranAheadWrongly reports whether a request ran ahead that may run at most once, because the desired state has changed since it was begun.
func (n *Node) ranAheadWrongly(r *http.Request, route *desired.Route) bool {
	return route.Kind == desired.AtMostOnce && pipeline.RunsAhead(r.Context())
}

// notePipelined counts a request that runs ahead, and logs the first one of a connection.
func (n *Node) notePipelined(client net.Addr, first bool) {
	n.metrics.count("pipelined_requests_total")
	if first {
		n.callLog.Info("client pipelines requests", "client", client.String())
	}
}
