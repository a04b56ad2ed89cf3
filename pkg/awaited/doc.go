// Package awaited finds requests whose connection has gone silent.
//
// A connection may stop carrying anything without a reset, while new ones work; a request on it would wait until its time is up.
// So the node that sent requests keeps them in a Table for each peer, and asks on another connection for those that take much longer
// than usual. The peer keeps those that it has in a Present, and tells which of them it doesn't have. One that it lacks twice,
// with time between for an answer that is on its way, is lost.
//
// There is no I/O here.
package awaited
