// Package advertised reads what a backend server says of itself in the headers of
// its answers: the rate limit that it advertises, its load with the pace of its
// work, and that it is leaving.
//
// notice.go and load.go parse the headers of one answer; Names holds their names, which differ
// between platforms. tracker.go follows the rate limit of one server over many
// answers, which may arrive in another order than they were written.
//
// The package does no I/O and reads no clock. What follows from a notice is decided
// elsewhere: package gate enforces the rate, package mesh stops sending to a server
// that leaves.
package advertised
