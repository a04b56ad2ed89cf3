// Package logging gives each part of a daemon a logger with a fixed prefix and a level of its own.
//
// Lines that repeat within a second are counted instead of written, beyond a number that the Factory sets.
// A Queue before the writer keeps a reader that stalls from holding up whoever logs.
package logging
