// Package priority orders requests under overload.
//
// The entry gives each root request one Priority: its class's tier in the high
// bits, and in the low bits a rank hashed from the request's ID and a coarse
// epoch. The value travels with the call, so every hop of a chain admits and
// refuses the same requests, and no work is spent on a request that a deeper
// hop would refuse. The epoch changes the ranks, which makes them fair over time.
package priority
