package proxy

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a fault in one session that ends the process, and with it everybody else's session. The connection of
// the session that failed is closed, so that its transaction is rolled back and its place at the server is free.
func TestPanicEndsOnlyItsSession(t *testing.T) {
	tests := map[string]struct {
		inside []Statement
		failed Statement
	}{
		"single write":              {failed: write("fail")},
		"single read":               {failed: read("fail")},
		"write in a transaction":    {inside: []Statement{Begin{}, write("1")}, failed: write("fail")},
		"first statement of one":    {inside: []Statement{Begin{}}, failed: read("fail")},
		"commit of one that failed": {inside: []Statement{Begin{}, write("1")}, failed: Commit{}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			runTest(t, func(tb *testbed) {
				awaitVerifiedPrimary()
				other := tb.openSession(testDatabase)
				c := tb.openSession(testDatabase)
				for _, s := range test.inside {
					assert.Assert(t, c.exec(s).Succeeded())
				}
				text := "COMMIT"
				switch s := test.failed.(type) {
				case Read:
					text = s.Text
				case Write:
					text = s.Text
				}
				for id := range tb.servers {
					fail := onText(text, breakBefore)
					tb.onServer(id, func(s *memServer) {
						s.fault = func(c Command) fault {
							if fail(c) != faultNone {
								panic("test")
							}
							return faultNone
						}
					})
				}
				assert.Equal(t, c.exec(test.failed).Failure, sessionClosed)
				time.Sleep(time.Second)
				for range 20 {
					assert.Assert(t, other.exec(write("2")).Succeeded())
				}
				tb.mu.Lock()
				used := 0
				for _, s := range tb.servers {
					s.fault = nil
				}
				tb.mu.Unlock()
				for _, m := range tb.vm.group(testService).sortedMembers() {
					m.pool.mu.Lock()
					used += m.pool.open
					for _, wp := range m.pool.workspacePools {
						used -= len(wp.idle)
					}
					m.pool.mu.Unlock()
				}
				assert.Equal(t, used, 0, "connections are still in use")
				assert.Equal(t, tb.committedWrites()["WRITE 1 x"], 0)
				other.Close()
			})
		})
	}
}
