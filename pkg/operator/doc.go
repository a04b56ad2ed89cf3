// Package operator serves the operators' HTTP API of a daemon.
//
// Every request uses mutual TLS. Queries are GET requests and need a read-only
// or a read-write certificate; commands are POST requests and need a read-write
// certificate. Errors are returned as a Problem in JSON.
package operator
