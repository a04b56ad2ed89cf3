// Package daemon assembles rockspoked with fx.
//
// Main parses the flags and loads the settings. App (daemon.go) builds a node
// with its operators' API and its keys; MeshApp (mesh_daemon.go) builds a node
// of a mesh, and is used when the settings have a mesh section.
// signal_watch.go handles SIGUSR1 and SIGHUP for both.
package daemon
