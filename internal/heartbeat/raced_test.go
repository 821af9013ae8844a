//go:build race

package heartbeat

// largestFleet is smaller than the largest deployment: the race detector's own runtime faults with many
// goroutines (script/race.sh), and 295 VMs have over a thousand. The Makefile runs the test without it, too.
const largestFleet = 71
