// Package config holds what operators decide: services, routes, request
// classes, policies and labels of VMs.
//
// Objects are read from YAML, checked whole, and kept as one Document with a
// version. A Register holds the newest Document that a daemon knows and never
// takes a lower version. A Document is compiled into a Plan, which answers the
// questions of the call path without locks: which route, which class, which
// policy, which targets.
package config
