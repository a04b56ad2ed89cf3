// Package keys loads the keys and certificates of daemons and operators, and
// generates them for tests and first setups.
//
// A certificate names its holder in one URI: rockspoke://vm/NAME?zone=ZONE for
// a VM, rockspoke://operator/NAME?role=read-only or ?role=read-write for an
// operator. Both sides of every connection between daemons, and of the
// operators' API, must present one that the authority has signed.
package keys
