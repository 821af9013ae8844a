package proxy

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/savoryramp/savoryramp/internal/clock"

	"gotest.tools/v3/assert"
)

// A VM is cut off with a primary, beside which another is promoted by a platform that
// doesn't depose the first. Its servers go on as if nothing had happened.
func TestPrimaryThatMostCantUse(t *testing.T) {
	tests := map[string]func(t *testing.T, r *rig, endorsed *atomic.Bool){
		"writes are refused and don't run": func(t *testing.T, r *rig, endorsed *atomic.Bool) {
			endorsed.Store(false)
			c := r.call(testDatabase)
			assert.Equal(t, c.do(write("1")).Failure, Busy)
			assert.Equal(t, r.runs("WRITE 1 x"), 0)
			c.Close()
		},
		"strict reads are refused": func(t *testing.T, r *rig, endorsed *atomic.Bool) {
			endorsed.Store(false)
			c := r.call(testDatabase)
			assert.Equal(t, c.do(read("1")).Failure, Busy)
			c.Close()
		},
		"bounded reads end with their bound": func(t *testing.T, r *rig, endorsed *atomic.Bool) {
			endorsed.Store(false)
			c := r.call(boundedDatabase)
			assert.Assert(t, c.do(read("1")).Succeeded())
			clock.Sleep(r.ctx, 2*time.Second)
			assert.Equal(t, c.do(read("2")).Failure, Busy)
			c.Close()
		},
		"a transaction that wrote is rolled back": func(t *testing.T, r *rig, endorsed *atomic.Bool) {
			c := r.call(testDatabase)
			c.do(Begin{})
			assert.Assert(t, c.do(write("1")).Succeeded())
			endorsed.Store(false)
			assert.Equal(t, c.do(Commit{}).Failure, Aborted)
			c.Close()
		},
		"all goes on when most can use it again": func(t *testing.T, r *rig, endorsed *atomic.Bool) {
			endorsed.Store(false)
			c := r.call(testDatabase)
			assert.Equal(t, c.do(write("1")).Failure, Busy)
			endorsed.Store(true)
			assert.Assert(t, c.do(write("2")).Succeeded())
			c.Close()
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var endorsed atomic.Bool
			endorsed.Store(true)
			playWith(t, func(vm *VM) { vm.Endorsed = func(ServiceName) bool { return endorsed.Load() } }, func(r *rig) {
				settle()
				test(t, r, &endorsed)
			})
		})
	}
}
