// Package client talks to the operators' API of daemons over mutual TLS.
package client
