// Package contract shares a limited thing out over the VMs of a fleet: a rate with
// a burst, or a count of units in use.
package contract
