// Package settings reads and checks a daemon's settings file.
//
// Parsing reports every error of a file at once, each with file, line and field.
package settings
