// Package config has the configuration that operators write: services, routes,
// request classes, policies and labels of VMs.
//
// Objects are parsed from YAML, validated together and held as one Document
// with a version. A Register holds the newest Document that a daemon knows and
// never accepts a lower version. A Document is compiled into a Plan, in which
// the call path looks up route, class, policies and targets without locks.
package config
