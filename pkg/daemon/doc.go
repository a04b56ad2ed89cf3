// Package daemon wires a node, its operators' API and its keys together with fx.
package daemon
