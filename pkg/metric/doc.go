// Package metric defines a daemon's metrics and writes them as JSON and in the Prometheus text format.
//
// The table Metrics lists every metric once, with its unit and meaning; a test
// compares docs/METRICS.md with that table.
package metric
