// Package clientconns limits the number of open client connections of a node: above the limit the connections that have been idle
// longest are closed. A connection with a request in progress is never closed.
package clientconns
