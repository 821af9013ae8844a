package contract

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestShortBurstKeepsSpareRefill: peers refuse requests based on the spare refill that a
// lender reports, so a few requests at the lender must not reduce it to nothing.
func TestShortBurstKeepsSpareRefill(t *testing.T) {
	now := time.Now()
	b := NewUnsharedBucket(Rate{PerSecond: 10, Burst: 7}, time.Second, func() time.Time { return now })
	now = now.Add(time.Second)
	for range 4 {
		assert.Assert(t, b.TryTake())
		now = now.Add(10 * time.Millisecond)
	}
	assert.Assert(t, b.lend(1, 1, time.Second).SpareRefill > 8*microPerToken)
	for range 300 {
		b.TryTake()
		now = now.Add(50 * time.Millisecond)
	}
	assert.Equal(t, b.lend(1, 2, time.Second).SpareRefill, Refill(0))
}
