// Package lab runs real daemons on loopback among fakes, and measures them.
//
// A Graph describes services, their backend servers and request classes. A
// Cluster runs the fakes of the graph, and for the system under test its
// daemons, in one process. Fake callers send an open-loop Load and retry hard.
// Callers and backend servers write down every attempt and every run in a
// History, and every figure of a Report is worked out from that, never from
// what daemons say of themselves. Experiments are listed in one table, one file each.
package lab
