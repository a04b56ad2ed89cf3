// Package clientconns bounds how many connections of clients a node keeps open: above the bound those that have rested longest are
// closed, and one that carries a request never is.
package clientconns
