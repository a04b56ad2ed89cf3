// Package trace reads the logs of several nodes, and returns the timeline of one request or the causes of requests
// that weren't served.
//
// A line may have a prefix before its JSON object, such as a time and a node's
// name; the prefix becomes part of the line's source. A line without a JSON
// object, or with an object that isn't a log line, is skipped and reported.
//
// read_lines.go parses logs, request_timeline.go selects the lines of one
// request, refusal_causes.go groups the requests that weren't served.
package trace
