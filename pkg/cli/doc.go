// Package cli is the operators' command line.
//
// Each command is a file of the same shape: usage text, flags, constructor,
// work. The table commands lists them, commands and queries apart, so adding
// one is a file and a line.
package cli
