// Package awaited finds requests on connections that have become unresponsive.
//
// A connection may stop carrying data without a reset, while new ones work; a request on it would wait until its deadline.
// So the node that sent requests holds them in a Table for each peer, and queries the peer on another connection about those that take much
// longer than usual. The peer holds the requests in progress there in an InProgress, and returns which of them it lacks. A request that it
// lacks twice, with time between for an answer in flight, is lost.
//
// There is no I/O here.
package awaited
