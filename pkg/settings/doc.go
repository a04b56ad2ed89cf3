// Package settings reads and checks a daemon's settings file.
//
// Every fault is found in one reading and told with file, line and field.
package settings
