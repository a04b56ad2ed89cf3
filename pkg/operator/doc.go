// Package operator is the operators' HTTP API of a daemon.
//
// Every request comes over mutual TLS. Queries are GET and open to read-only
// operators; commands are POST and need a read-write one. Errors are a Problem
// in JSON.
package operator
