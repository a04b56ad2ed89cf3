// Package routing chooses the backend server for each call.
//
// A Pool holds one Server for each VM, with what answers have shown of it: calls
// in progress, load, admission level, failures. Candidates are the servers
// that a policy's targets pick, by weight, with the bounded subset already
// taken. Pick prefers the caller's own zone, compares two random servers, and
// spills to other zones when the near ones are at their level.
package routing
