// Package logging makes a logger for each part of a daemon, with the part's prefix and level.
//
// Beyond a number of lines per second and message, which the Factory sets, lines are counted instead of written.
// A Queue in front of the writer keeps a stalled reader of the log from blocking the code that logs.
package logging
