package budget

import (
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// Guards against memory that stays reserved for an answer which was dropped.
func TestDroppedReservation(t *testing.T) {
	b := &Budget{Limits: Limits{Total: MB}}
	r := b.Reserve()
	assert.Check(t, r.Grow(100*KB, time.Now().Add(time.Second)))
	assert.Equal(t, b.State().Held, 100*KB)
	runtime.KeepAlive(r)
	r = nil
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		runtime.GC()
		if held := b.State().Held; held > 0 {
			return poll.Continue("%d bytes are held", held)
		}
		return poll.Success()
	})
}
