// Package cli is the operators' command line.
//
// Each command has a file of the same shape: help text, a runner with the
// flags, the constructor, the run method. The table commands in cli_main.go
// lists them all, commands that change something before queries. A new command
// needs a file, a line in that table and its name in commandNames.
package cli
