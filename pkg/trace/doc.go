// Package trace reads the logs of several nodes and tells one request's story, or why requests weren't served.
//
// Lines may come with something before the JSON object, such as a time and a
// node's name; what stands before it is kept as the line's source. A line
// without a JSON object, or with one that isn't a log line, is left out and
// counted.
//
// read_lines.go reads logs, request_timeline.go orders the lines about one request, refusal_causes.go
// groups those that weren't served.
package trace
