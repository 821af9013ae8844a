package proxy

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestRepeatedBeginIsNoSample guards against reads older than their route's bound: the position in a repeated answer to
// a begin was taken for the primary's present one.
func TestRepeatedBeginIsNoSample(t *testing.T) {
	runTest(t, func(tb *testbed) {
		writer, reader := tb.openSession(testDatabase), tb.openSession(boundedDatabase)
		tb.mu.Lock()
		tb.stutter = &stutter{random: rand.New(rand.NewPCG(1, 1)), share: 1, late: 200 * time.Millisecond, repeats: isBegin}
		for _, id := range []ServerID{"b", "c"} {
			tb.servers[id].notReceiving = true
		}
		tb.mu.Unlock()
		transaction := func() {
			writer.exec(Begin{})
			writer.exec(Read{Text: "READ in-transaction"})
			writer.exec(Rollback{})
		}
		for range 60 {
			for range 3 {
				transaction()
			}
			// Another VM commits. The replicas don't receive it.
			tb.onServer("a", func(s *memServer) { s.logEnd.Offset++ })
			committed := time.Now()
			for time.Since(committed) < 250*time.Millisecond {
				transaction()
				time.Sleep(5 * time.Millisecond)
			}
			time.Sleep(time.Until(committed.Add(1005 * time.Millisecond)))
			for time.Since(committed) < 1300*time.Millisecond {
				age := time.Since(committed)
				if a := reader.exec(Read{Text: "READ bounded"}); a.Succeeded() {
					id := tb.lastServer("READ bounded")
					assert.Check(t, id == "a", "%s lacks a commit acknowledged %s before, the bound is 1s", id, age)
				}
				time.Sleep(3 * time.Millisecond)
			}
			for _, id := range []ServerID{"b", "c"} {
				tb.onServer(id, func(s *memServer) { s.logEnd = tb.servers["a"].logEnd })
			}
			time.Sleep(1500 * time.Millisecond)
		}
	})
}
