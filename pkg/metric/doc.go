// Package metric names a daemon's metrics and serves them as JSON and as text for scrapers.
//
// Every metric stands once in the table Metrics, with its unit and meaning, and
// docs/METRICS.md is checked against that table.
package metric
