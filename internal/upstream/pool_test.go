package upstream

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"
)

// Whoever waits for a server that can't serve is sent away at once, and the turns
// that are given out stay as they were.
func TestEvictSendsWaitersAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &Pool{Limit: func() int { return 1 }, Order: DeficitRoundRobin, MaxQueue: 10}
		assert.NilError(t, p.turn(t.Context(), Request{Workspace: "a"}))
		var waiters sync.WaitGroup
		for range 3 {
			waiters.Go(func() { assert.Check(t, isMoved(p.turn(t.Context(), Request{Workspace: "a"}))) })
		}
		synctest.Wait()
		p.evict()
		waiters.Wait()
		inUse, _, waiting := p.counts()
		assert.Equal(t, inUse, 1)
		assert.Equal(t, waiting, 0)

		p.pass()
		assert.NilError(t, p.turn(t.Context(), Request{Workspace: "b"}))
		ended, cancel := context.WithCancel(t.Context())
		cancel()
		assert.Assert(t, errorx.IsOfType(p.turn(ended, Request{Workspace: "b"}), ErrBusy))
	})
}
