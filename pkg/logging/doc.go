// Package logging gives each part of a daemon a logger with a fixed prefix and a level of its own.
//
// Lines that repeat within a second are counted instead of written.
package logging
