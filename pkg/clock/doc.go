// Package clock is the source of time for every part that measures it.
//
// Decisions take a time.Time as an argument and never read a clock; the shell
// around them reads the Clock it was given, so tests run in virtual time.
package clock
