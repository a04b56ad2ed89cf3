// Package mesh is the daemon on each VM. There is no central proxy: every request enters at a node beside a backend server,
// and the nodes discover each other.
//
// A client, or the local backend server, sends a request to the outbound listener. The route comes from the desired
// state, admission decides whether a root request is admitted, and a server is chosen from the directory. The node
// forwards the request to the node of that server, whose gate makes the final decision on identity, draining and
// concurrency, and which passes it on to the server. Since only that node sends to the server, a refusal by the gate
// is certain: the request goes to another server at no cost. A request that was passed to a server is sent again
// only if it is repeatable, or if the server itself reported that it didn't run.
//
// The files of the request path, in order: outbound_server.go, request.go, request_body.go, internal_routes.go,
// admission.go, choose_server.go with peer_sample.go, forward.go, retry_budget.go,
// peer_protocol.go, node_headers.go, packed_headers.go, inbound_server.go, backend.go, answer.go, broken_answer.go.
// The other files maintain what requests need:
//
//   - Poison requests, which crash servers (package poison): server_crash.go detects that the local backend server has crashed,
//     suspects.go and suspect_trial.go decide where and when a suspect runs, suspect_updates.go reports to all nodes,
//     store_quarantined.go stores the quarantined requests, quarantine_handler.go shows and releases them.
//   - The node itself: node.go and mesh_options.go, listeners.go and network.go,
//     pipelined_requests.go (package pipeline), control_loop.go, suspension.go, planned_stop.go, dump.go, peer.go; unresponsive_peer.go backs off peers that don't
//     answer, and lost_requests.go finds the requests that they don't have; node_metrics.go with metric_table.go and
//     metrics_text.go.
//   - Keys and quotas: authenticate.go checks keys and finds their teams, freshness_proof.go renews the proof without which no key is
//     accepted under strict revocation (package freshness), team_quotas.go charges requests to their teams' quotas, quota_owner.go grants
//     the tokens that this node owns (package quota), team_roles.go assigns both roles to nodes,
//     query_node.go sends the requests between nodes.
//   - The store: follow_state.go follows the desired state as package follow decides, and newer_state.go
//     fetches newer states from peers, state_conflict.go replaces one that the store contradicts;
//     record_writer.go, write_records.go and sync_records.go maintain the
//     records of VMs, query_peers.go gets them from peers after a restart instead of from the store;
//     store_epoch.go detects a store restored from a backup and has lost records written again;
//     store_calls.go counts the calls, and store_availability.go shares their results.
//   - Exchanges between nodes: exchange.go, exchange_peers.go, exchange_period.go,
//     exchange_message.go, exchange_buffers.go, exchange_zone_loads.go,
//     recent_records.go.
//   - Load: traffic_stats.go, traffic_entries.go, traffic_runs.go and traffic_at_gate.go count
//     at one node, lost_at_hop.go decides what counts as lost there, report_local_load.go reports to the zone (package loads),
//     load_reports.go and load_expiry.go hold the reports of all nodes and drop expired ones.
//   - Latency budgets (package budget): latency_budget.go sets the reserves of calls, and refuses client requests that have too little
//     time left.
//   - The admission plan: package loads reads the reports and
//     retains what is no longer reported, service_capacity.go computes
//     the capacity, admission_success.go the probability that requests succeed (package success), admission_plan.go makes the
//     plan and admission_log.go logs it.
//     store_learned.go stores what was learned, restore_learned.go restores it after a start.
//
// One goroutine owns the control state (control_loop.go) and publishes a view;
// requests read the view and never lock control state.
//
// The package at the root of the repository adapts this one to the users' platform: it passes in
// HeaderNames, a Store and a decoder of the desired state.
package mesh
