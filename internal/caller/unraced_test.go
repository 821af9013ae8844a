//go:build !race

package caller_test

// poolAllocations is 0: without the race detector, the buffer pool of pgproto3 keeps
// its buffers.
const poolAllocations = 0
