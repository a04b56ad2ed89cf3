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
// A request's files, in order: outbound_server.go, request.go, inner_routes.go,
// admission.go, choose_server.go with sample_of_peers.go, forward.go, repeats.go,
// peer_protocol.go, packed_headers.go, inbound_server.go, backend.go, answer.go.
// What requests need is kept by the others:
//
//   - Requests that end servers (package poison): server_end.go tells that the server on this VM has ended,
//     suspects.go and suspect_trial.go say where a suspect goes and when it runs, suspect_news.go tells all nodes,
//     keep_held.go keeps what is held back in the store, held_back_handler.go shows and lifts it.
//   - The node itself: node.go and mesh_options.go, listeners.go and network.go,
//     control_loop.go, resumed.go, stop_state.go, dump.go, peer.go, peer_silence.go; node_metrics.go with
//     metric_table.go and metrics_text.go.
//   - Who asks, and how much: who_asks.go judges keys and names teams, prove_state.go keeps the proof without which no key passes
//     (package freshness), team_quotas.go takes requests off their teams' quotas and quota_owner.go
//     gives out what this node owns of them (package quota), team_roles.go says which nodes
//     do what for both, ask_node.go asks them.
//   - The store: follow_state.go follows the desired state where package follow says so, and newer_state.go
//     fetches from peers what they have; record_writer.go, write_records.go and sync_records.go keep the
//     records of VMs, ask_peers.go spares a restarted node the reading; store_era.go writes again
//     what a store that came back has lost; store_calls.go counts the calls, and
//     store_watch.go joins what they find.
//   - Exchanges between nodes: exchange.go, exchange_peers.go, talk_period.go,
//     exchange_message.go, exchange_zone_loads.go, record_news.go.
//   - Load, from what one node counts to what the mesh knows: traffic_stats.go,
//     traffic_entries.go, traffic_runs.go and traffic_at_gate.go count,
//     report_own_load.go tells it to the zone as a report of package loads,
//     held_loads.go and loads_that_count.go keep those of all and forget what is old.
//   - The plan of admission: package loads reads the reports and
//     remembers what isn't told any more, capacity_of_services.go is the other
//     side; admission_plan.go works it out and admission_log.go shows it.
//     keep_learned.go keeps what was learned beyond the process, recall_learned.go takes it after a start.
//
// One goroutine owns the control state (control_loop.go) and publishes a view;
// requests read the view and never lock control state.
//
// The words of the users' platform are known to the package at the root of
// the repository that translates them: it hands in HeaderNames, a Store and a
// decoder of the desired state.
package mesh
