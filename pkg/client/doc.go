// Package client sends requests to the operators' API of daemons over mutual TLS.
package client
