// Package docpage reads the tables of the Markdown pages under docs, for tests
// that compare them with the code.
package docpage
