// Package clock is the source of time for all code that measures it.
//
// Code that makes decisions takes a time.Time as an argument and never reads a
// clock; its callers read the Clock that they were given, so tests run in
// virtual time.
package clock
