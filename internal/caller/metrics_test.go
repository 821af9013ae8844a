package caller

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/savoryramp/savoryramp/internal/upstream"
)

// Recording an answer must allocate nothing, and answers with different labels must be
// counted separately.
func TestAnsweredAllocatesNothing(t *testing.T) {
	i := newInstruments(nil)
	assert.Equal(t, testing.AllocsPerRun(100, func() { i.recordAnswer("w", kindRead, upstream.Replica, 1) }), 0.0)
	i.recordAnswer("w", kindRead, upstream.Primary, 1)
	i.recordAnswer("v", kindRead, upstream.Primary, 1)
	assert.Equal(t, len(i.optionsByKey), 3)
}
