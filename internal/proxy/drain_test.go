package proxy

import (
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryramp/savoryramp/internal/clock"
)

const (
	// drainGrace is the time that transactions have in a test's drain, drainTime how long the drain takes at most.
	drainGrace, drainTime = 3 * time.Second, 5600 * time.Millisecond
)

// endsDuringDrain runs statements one directly after the other while a VM drains, and returns the first answer that
// isn't a success and when it came.
func (tb *testbed) endsDuringDrain(v *VM, c *client, next func(n int) Statement) (last Answer, at time.Duration) {
	began := time.Now()
	ctx, cancel := context.WithTimeout(tb.ctx, drainTime)
	defer cancel()
	drained := make(chan bool)
	go func() {
		v.Drain(ctx, drainGrace)
		close(drained)
	}()
	for n := 0; n < 1000 && ctx.Err() == nil; n++ {
		last = c.exec(next(n))
		if !last.Succeeded() {
			break
		}
	}
	at = time.Since(began)
	c.exec(Rollback{})
	<-drained
	return last, at
}

// Guards against statements that are cut off at the end of a drain: a transaction whose caller sends each one directly
// after the last answer was never found waiting, and went on until the process ended.
func TestDrainEndsBusyTransactions(t *testing.T) {
	tests := map[string]struct {
		begin Begin
		next  func(n int) Statement
		relay bool
	}{
		"reads":                {begin: Begin{ReadOnly: true}, next: func(int) Statement { return read("1") }},
		"writes":               {next: func(int) Statement { return write("1") }},
		"reads over an owner":  {begin: Begin{ReadOnly: true}, next: func(int) Statement { return read("1") }, relay: true},
		"writes over an owner": {next: func(int) Statement { return write("1") }, relay: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			runTest(t, func(tb *testbed) {
				awaitVerifiedPrimary()
				for id := range tb.servers {
					tb.onServer(id, func(s *memServer) { s.work = 100 * time.Millisecond })
				}
				draining := tb.vm
				if test.relay {
					draining = tb.relayThroughOwner().owner
				}
				c := tb.openSession(boundedDatabase)
				assert.Assert(t, c.exec(test.begin).Succeeded())
				last, at := tb.endsDuringDrain(draining, c, test.next)
				assert.Equal(t, last.Failure, Aborted, "%s", last.Detail)
				assert.Assert(t, drainGrace <= at && at < drainTime, "the transaction was ended after %s", at)
				assert.Equal(t, tb.committedWrites()["WRITE 1 x"], 0)
				c.Close()
			})
		})
	}
}

// Guards against a transaction that may be committed in time but is ended by a drain.
func TestDrainLetsTransactionsCommit(t *testing.T) {
	runTest(t, func(tb *testbed) {
		awaitVerifiedPrimary()
		c := tb.openSession(testDatabase)
		assert.Assert(t, c.exec(Begin{}).Succeeded())
		ctx, cancel := context.WithTimeout(tb.ctx, drainTime)
		defer cancel()
		var drain sync.WaitGroup
		drain.Go(func() { tb.vm.Drain(ctx, drainGrace) })
		for began := time.Now(); time.Since(began) < drainGrace-drainPollInterval; {
			if !c.exec(write("1")).Succeeded() {
				t.Fatal("the transaction was ended early")
			}
		}
		assert.Assert(t, c.exec(Commit{}).Succeeded())
		drain.Wait()
		<-c.closed
	})
}

// Guards against requests of a caller that sends ahead: its session never waits, and went on until the process ended.
func TestDrainRefusesRequestsSentAhead(t *testing.T) {
	runTest(t, func(tb *testbed) {
		awaitVerifiedPrimary()
		c := tb.openSession(testDatabase)
		c.sendsAhead.Store(true)
		last, at := tb.endsDuringDrain(tb.vm, c, func(int) Statement {
			clock.Sleep(tb.ctx, 100*time.Millisecond)
			return write("1")
		})
		assert.Equal(t, last.Failure, Busy, "%s", last.Detail)
		assert.Assert(t, drainGrace <= at && at < drainTime, "the request was refused after %s", at)
	})
}
