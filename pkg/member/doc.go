// Package member tracks the VMs of the platform and their nodes.
//
// The platform's list of VMs lags, so a Roster retains the last plausible list,
// rejects one that drops too many VMs at once, and corrects it by the nodes' own
// reports: each NodeInfo holds the node's incarnation and whether it is leaving,
// is exchanged between daemons, and merges in any order.
package member
