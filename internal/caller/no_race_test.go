//go:build !race

package caller_test

// poolAllocations is 0: without the race detector the driver's pool keeps its buffers.
const poolAllocations = 0
