// Package member knows which VMs and nodes there are.
//
// The platform's list of VMs lags, so a Roster keeps the last good list,
// refuses one that looks implausibly empty, and corrects it by what nodes say
// of themselves: each NodeInfo carries the node's present life and whether it
// is leaving, spreads between daemons, and merges in any order.
package member
