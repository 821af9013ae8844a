package caller

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/savoryramp/savoryramp/internal/upstream"
)

// Counting an answer allocates nothing, and answers that differ are counted apart.
func TestAnsweredAllocatesNothing(t *testing.T) {
	i := newInstruments(nil)
	assert.Equal(t, testing.AllocsPerRun(100, func() { i.answered("w", kindRead, upstream.Replica, 1) }), 0.0)
	i.answered("w", kindRead, upstream.Primary, 1)
	i.answered("v", kindRead, upstream.Primary, 1)
	assert.Equal(t, len(i.labelled), 3)
}
