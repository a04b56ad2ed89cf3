// Package level keeps what a daemon has learned of admission levels below it.
//
// Each answer carries the highest level met in its subtree. A View smooths
// these per service, so that a caller's daemon, and in the end the entry,
// refuses a request that a deeper hop would refuse. What isn't renewed fades.
package level
