package mesh

// MetricInfo describes one metric of a mesh node.
type MetricInfo struct {
	Name   string
	Kind   string // counter, gauge or histogram
	Labels string
	Help   string
}

// Metrics is the table of a mesh node's metrics.
var Metrics = []MetricInfo{
	{"requests_total", "counter", "route, service, outcome, reason", "Requests that began here, by how they ended."},
	{"arrivals_total", "counter", "service, outcome, reason", "Requests that other nodes or this one sent to the server on this VM."},
	{"server_ends_total", "counter", "", "Ends of the server on this VM with runs in progress that weren't announced."},
	{"heartbeats_refused_total", "counter", "", "Heartbeats that name no server: another writer's, or ones that can't be read."},
	{"client_connections_closed_total", "counter", "", "Connections of clients that rested and were closed to make room for others."},
	{"suspensions_total", "counter", "", "Suspensions of this VM."},
	{"held_back_total", "counter", "route", "Requests that were held back since servers had ended under the same request."},
	{"suspects", "gauge", "", "Requests under which servers ended, that are tried apart or held back."},
	{"quota_questions_total", "counter", "near", "Questions to owners of quotas, of this availability zone or another."},
	{"repeats_total", "counter", "service", "Requests that were sent to one more server."},
	{"repeats_denied_total", "counter", "service", "Repeats not made for want of budget."},
	{"peers_aside_total", "counter", "", "Times that a peer was set aside since it failed."},
	{"requests_lost_total", "counter", "", "Requests whose connection to a peer went silent: the peer didn't have them."},
	{"store_calls_total", "counter", "call", "Calls to the store, by kind; reading all records is several calls."},
	{"store_errors_total", "counter", "", "Calls to the store that failed."},
	{"store_eras_total", "counter", "", "Times that the store came back from a copy."},
	{"state_version", "gauge", "", "Desired state in force."},
	{"servers_known", "gauge", "", "Backend servers that take work, as known here."},
	{"gate_running", "gauge", "", "Requests in progress at the server on this VM."},
	{"gate_queued", "gauge", "", "Requests that wait for it."},
	{"room_part", "gauge", "", "Part in a thousand of the own server's room that may be planned for; above a thousand where its slots stay free."},
	{"learned_stored_total", "counter", "", "Times that what was learned of the calls was stored."},
	{"runs_total", "counter", "route, outcome", "Requests that were handed to the server on this VM, by how they ended there: with slot_ms_total, for how long one holds a slot."},
	{"server_away", "gauge", "", "1 while nobody listens at the address of the server on this VM, 0 otherwise."},
	{"slot_ms_total", "counter", "route, outcome", "Milliseconds for which requests held the slots of the server on this VM, by how they ended there."},
	{"admitted_share", "gauge", "route", "Share in a thousand of first attempts that is taken in; only while below all."},
	{"request_seconds", "histogram", "route", "Time from a request's arrival to its answer, of those served."},
}
