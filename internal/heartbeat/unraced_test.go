//go:build !race

package heartbeat

// largestFleet is the number of VMs of the largest deployment.
const largestFleet = 295
