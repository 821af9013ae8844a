package caller_test

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkProcessor reports the processor time of a statement on a direct connection
// and through the proxy, with the caller's and the server's own; the difference is the
// proxy's. Eight connections are busy at a time.
func BenchmarkProcessor(b *testing.B) {
	proxy, direct := startProxy(b)
	for _, way := range []struct{ name, address string }{{"direct", direct}, {"proxy", proxy}} {
		b.Run(way.name, func(b *testing.B) {
			const callers = 8
			work := make(chan struct{})
			var busy sync.WaitGroup
			for range callers {
				c := connectTo(b, way.address)
				busy.Go(func() {
					for range work {
						_, err := c.Exec(context.Background(), "SELECT 1")
						assert.Check(b, err)
					}
				})
			}
			used := processorTime()
			for b.Loop() {
				work <- struct{}{}
			}
			close(work)
			busy.Wait()
			b.ReportMetric(float64((processorTime()-used).Nanoseconds())/1000/float64(b.N), "cpu-us/statement")
		})
	}
}

// BenchmarkRows reports the processor time and allocations of each row that passes
// through the proxy, the caller's and the server's own included: compare with direct.
func BenchmarkRows(b *testing.B) {
	proxy, direct := startProxy(b)
	for _, way := range []struct{ name, address string }{{"direct", direct}, {"proxy", proxy}} {
		b.Run(way.name, func(b *testing.B) {
			c := connectTo(b, way.address)
			sql := fmt.Sprintf("SELECT rows(%d)", rowsOfAnswer)
			b.ReportAllocs()
			used := processorTime()
			for b.Loop() {
				tag, err := c.Exec(context.Background(), sql)
				assert.NilError(b, err)
				assert.Equal(b, tag.RowsAffected(), int64(rowsOfAnswer))
			}
			b.ReportMetric(float64((processorTime()-used).Nanoseconds())/float64(b.N*rowsOfAnswer), "cpu-ns/row")
		})
	}
}

// rowsOfAnswer is how many rows a statement with "rows(" is answered with.
const rowsOfAnswer = 10_000
