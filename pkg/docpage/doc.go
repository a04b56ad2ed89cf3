// Package docpage reads the tables of the pages under docs, for tests that
// hold them against the code.
package docpage
