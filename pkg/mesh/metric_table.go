package mesh

// MetricInfo describes one metric of a mesh node.
type MetricInfo struct {
	Name   string
	Kind   string // counter, gauge or histogram
	Labels string
	Help   string
}

// Metrics lists the metrics of a mesh node.
var Metrics = []MetricInfo{
	{"requests_total", "counter", "route, service, outcome, reason", "Requests that began at this node, by outcome and reason."},
	{"arrivals_total", "counter", "service, outcome, reason", "Requests that other nodes or this one sent to the local backend server."},
	{"server_ends_total", "counter", "", "Unannounced ends of the local backend server with requests in flight."},
	{"heartbeats_refused_total", "counter", "", "Rejected heartbeats: from another writer, or malformed."},
	{"client_connections_closed_total", "counter", "", "Idle client connections that were closed to make room for new ones."},
	{"pipelined_requests_total", "counter", "", "Requests that were served while an earlier request on the same client connection was not answered."},
	{"answers_broken_total", "counter", "sender", "Answers of the local backend server (sender server) or another node (node) that began and broke off or were no valid answer."},
	{"answers_cut_total", "counter", "", "Answers of which this node couldn't pass on the whole body: the sender broke off or the receiver left."},
	{"panics_total", "counter", "", "Panics while a request or message was handled, whose connection was closed without an answer."},
	{"answers_unbuffered_total", "counter", "", "Answers that were passed on as they arrived, since the node held too many bytes of answers; a broken one of them isn't retried."},
	{"answer_bytes", "gauge", "", "Bytes of answers that the node holds."},
	{"memory_bytes", "gauge", "", "Memory that the process holds from the system, without what C code holds."},
	{"reserved_headers_total", "counter", "sender", "Headers reserved for nodes that a client or the local backend server sent, and that were dropped."},
	{"suspensions_total", "counter", "", "Suspensions of this VM."},
	{"held_back_total", "counter", "route", "Requests that were quarantined because backend servers had crashed under the same request."},
	{"suspects", "gauge", "", "Suspect requests, under which backend servers crashed, that are tried in isolation or quarantined."},
	{"quota_questions_total", "counter", "near", "Requests for tokens to quota owners, in this availability zone or another."},
	{"repeats_total", "counter", "service", "Retries: requests that were sent to another backend server."},
	{"repeats_denied_total", "counter", "service", "Retries not sent because the retry budget was exhausted."},
	{"peers_aside_total", "counter", "", "Times that a peer was backed off after a failure."},
	{"bodies_lost_total", "counter", "cause", "Request bodies that stalled or broke off while this node read them."},
	{"bodies_refused_total", "counter", "", "Requests refused before their body was read, since the node held too many bytes of bodies."},
	{"body_bytes", "gauge", "", "Bytes of request bodies that the node holds."},
	{"requests_lost_total", "counter", "", "Requests that a peer didn't have when asked, after their connection became unresponsive."},
	{"store_calls_total", "counter", "call", "Calls to the store, by kind; reading all records is several calls."},
	{"store_errors_total", "counter", "", "Calls to the store that failed."},
	{"store_eras_total", "counter", "", "Times that the store was restored from a copy and began a new epoch."},
	{"state_version", "gauge", "", "Version of the desired state in force."},
	{"state_problems", "gauge", "effect", "Entries of the desired state in force that are invalid, by what that means for requests; absent until there was one."},
	{"servers_known", "gauge", "", "Backend servers that accept requests, as known to this node."},
	{"gate_running", "gauge", "", "Requests running at the local backend server."},
	{"gate_held", "gauge", "", "Slots of the local backend server held by requests that the gate doesn't have running, as the server's answers show."},
	{"gate_queued", "gauge", "", "Requests queued at the gate of the local backend server."},
	{"room_part", "gauge", "", "Usable fraction of the local backend server's slots, in thousandths; above 1000 where slots stay free."},
	{"learned_stored_total", "counter", "", "Times that learned call statistics were stored."},
	{"runs_total", "counter", "route, outcome", "Requests sent to the local backend server, by outcome there; slot_ms_total divided by this is the mean slot hold time."},
	{"server_away", "gauge", "", "1 while nothing listens at the local backend server's address, 0 otherwise."},
	{"server_rate_limit", "gauge", "", "Rate limit that the local backend server advertises, in thousandths of a request a second; -1: none, absent until one was advertised."},
	{"server_rate_use", "gauge", "", "Requests that arrive for the local backend server relative to its rate limit, in thousandths; 0 without one."},
	{"server_pace", "gauge", "", "Pace that the local backend server told last, in percent of the usual time of work; it ages to 100, and is absent until one was told."},
	{"server_slowdown", "gauge", "", "Slot hold time expected at the local backend server now, in percent of the same kinds at all servers; absent until it told a pace."},
	{"server_headers_invalid_total", "counter", "", "Answers of the local backend server with an unusable header about itself."},
	{"slot_ms_total", "counter", "route, outcome", "Slot hold time of requests at the local backend server in milliseconds, by outcome there."},
	{"team_requests_not_admitted_total", "counter", "team", "Requests of a team that were refused since the plan limits their kind."},
	{"admitted_share", "gauge", "route", "Admitted share of first attempts, in thousandths; absent until it has been below 1000."},
	{"request_success", "gauge", "route", "Probability that all calls of an admitted request succeed, in thousandths; absent until it has been below 1000."},
	{"budget_refused_total", "counter", "route, place", "Calls refused at the local gate (place gate) only because their requests couldn't end in time after them, and client requests refused where they began (place entry) because they couldn't end in time."},
	{"request_seconds", "histogram", "route", "Time from the arrival of a served request to its answer."},
}
