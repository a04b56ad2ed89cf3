// Package daemon wires rockspoked together with fx.
//
// Main reads the flags and the settings. App (daemon.go) is a node with its
// operators' API and its keys; MeshApp (mesh_daemon.go) is a node of a mesh,
// which the settings ask for by their mesh section. signal_watch.go serves the
// signals of both.
package daemon
