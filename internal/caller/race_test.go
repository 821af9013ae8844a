//go:build race

package caller_test

// poolAllocations bounds what the driver's pool of read buffers allocates for each row
// larger than its usual buffer: under the race detector a pool loses buffers at random,
// and each row takes a large one and goes back to the usual one, two allocations each.
const poolAllocations = 4
