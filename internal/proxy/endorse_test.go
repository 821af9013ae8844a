package proxy

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/savoryramp/savoryramp/internal/clock"

	"gotest.tools/v3/assert"
)

// Guards against a split brain on a platform where a promotion doesn't depose the old primary:
// a VM is partitioned together with the old primary, which continues to answer while another
// server is promoted.
func TestPrimaryWithoutQuorum(t *testing.T) {
	tests := map[string]func(t *testing.T, tb *testbed, hasQuorum *atomic.Bool){
		"writes are refused and don't run": func(t *testing.T, tb *testbed, hasQuorum *atomic.Bool) {
			hasQuorum.Store(false)
			c := tb.openSession(testDatabase)
			assert.Equal(t, c.exec(write("1")).Failure, Busy)
			assert.Equal(t, tb.countRuns("WRITE 1 x"), 0)
			c.Close()
		},
		"linearizable reads are refused": func(t *testing.T, tb *testbed, hasQuorum *atomic.Bool) {
			hasQuorum.Store(false)
			c := tb.openSession(testDatabase)
			assert.Equal(t, c.exec(read("1")).Failure, Busy)
			c.Close()
		},
		"bounded reads are refused once the last sample is older than the bound": func(t *testing.T, tb *testbed, hasQuorum *atomic.Bool) {
			hasQuorum.Store(false)
			c := tb.openSession(boundedDatabase)
			assert.Assert(t, c.exec(read("1")).Succeeded())
			clock.Sleep(tb.ctx, 2*time.Second)
			assert.Equal(t, c.exec(read("2")).Failure, Busy)
			c.Close()
		},
		"a transaction that wrote is rolled back": func(t *testing.T, tb *testbed, hasQuorum *atomic.Bool) {
			c := tb.openSession(testDatabase)
			c.exec(Begin{})
			assert.Assert(t, c.exec(write("1")).Succeeded())
			hasQuorum.Store(false)
			assert.Equal(t, c.exec(Commit{}).Failure, Aborted)
			c.Close()
		},
		"requests succeed when the primary has a quorum again": func(t *testing.T, tb *testbed, hasQuorum *atomic.Bool) {
			hasQuorum.Store(false)
			c := tb.openSession(testDatabase)
			assert.Equal(t, c.exec(write("1")).Failure, Busy)
			hasQuorum.Store(true)
			assert.Assert(t, c.exec(write("2")).Succeeded())
			c.Close()
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var hasQuorum atomic.Bool
			hasQuorum.Store(true)
			runTestWith(t, func(vm *VM) { vm.HasQuorum = func(ServiceName) bool { return hasQuorum.Load() } }, func(tb *testbed) {
				awaitVerifiedPrimary()
				test(t, tb, &hasQuorum)
			})
		})
	}
}
