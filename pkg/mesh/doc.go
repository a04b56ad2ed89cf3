// Package mesh is the daemon where no VM stands in front: every request begins
// beside a backend server, and every node finds the others by itself.
//
// The way of a request: a client, or the backend server on this VM, sends it
// to the outbound listener. The route comes from the desired state, admission
// decides whether a root request is taken in, and a server is chosen among
// those that the directory knows. The request goes to the node beside that
// server, whose gate has the last word on identity, draining and concurrency,
// and from there to the server itself. Since nobody else reaches that server,
// the gate's refusal is certain: the request goes on to another server at no
// cost. A request that a server was handed is sent again only if it may be
// repeated, or if the server itself said that it hasn't run.
//
// A request's files, in order: outbound_server.go, request.go, admission.go,
// choose_server.go, forward.go, peer_protocol.go, inbound_server.go, backend.go,
// answer.go. The others keep what requests need: node.go and listeners.go,
// follow_state.go, record_writer.go and sync_records.go, exchange.go and
// exchange_message.go, load_report.go, stop_state.go, node_metrics.go.
//
// One goroutine owns the control state (control_loop.go) and publishes a view;
// requests read the view and never lock control state.
//
// The words of the users' platform are known to the package at the root of
// the repository that translates them: it hands in HeaderNames, a Store and a
// decoder of the desired state.
package mesh
