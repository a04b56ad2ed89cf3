// Package priority orders requests under overload.
//
// The entry gives each root request one Priority: its class's tier in the high
// bits, and below it a rank hashed from the request's identity and a coarse
// epoch. The value travels with the call, so every hop of a chain keeps and
// refuses the same requests, and no work is spent on a request that a deeper
// hop would refuse. The epoch makes the ranks fair over time.
package priority
