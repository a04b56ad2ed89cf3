// Package pace estimates how long a server takes for work: by the pace that it tells
// in its answers, which changes many times a second, and by its lasting speed, which
// is learned from the slot hold times of its runs.
//
// A pace is a factor on the time of work: 1 is usual, 2.5 is two and a half times as
// long. A slowdown is a factor on the slot hold time of a kind relative to its average
// over all servers. The time that a run waits for its own calls doesn't depend on the
// pace of its server; Factor leaves it out.
//
// told.go keeps the pace told last and ages it, speed.go learns the lasting speed, and
// completion.go combines both with the use of the server's slots.
//
// The package does no I/O and reads no clock. Package gate uses it beside the server,
// package mesh where a server is chosen.
package pace
