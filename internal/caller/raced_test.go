//go:build race

package caller_test

// poolAllocations is the maximum number of allocations per row that is larger than the
// usual read buffer of pgproto3. With the race detector, sync.Pool drops buffers at
// random, and each such row needs a large buffer and then a usual one again, with two
// allocations each.
const poolAllocations = 4
