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

func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkProcessor reports the CPU time of a statement on a direct connection and
// through the proxy, with eight busy connections. Both include the client and the
// server; the difference is the proxy's part.
func BenchmarkProcessor(b *testing.B) {
	proxy, direct := startProxy(b)
	for _, target := range []struct{ name, address string }{{"direct", direct}, {"proxy", proxy}} {
		b.Run(target.name, func(b *testing.B) {
			const callers = 8
			work := make(chan struct{})
			var workers sync.WaitGroup
			for range callers {
				c := connectTo(b, target.address)
				workers.Go(func() {
					for range work {
						_, err := c.Exec(context.Background(), "SELECT 1")
						assert.Check(b, err)
					}
				})
			}
			cpuBefore := cpuTime()
			for b.Loop() {
				work <- struct{}{}
			}
			close(work)
			workers.Wait()
			b.ReportMetric(float64((cpuTime()-cpuBefore).Nanoseconds())/1000/float64(b.N), "cpu-us/statement")
		})
	}
}

// BenchmarkRows reports CPU time and allocations per row, on a direct connection and
// through the proxy. Both include the client and the server; the difference is the
// proxy's part.
func BenchmarkRows(b *testing.B) {
	proxy, direct := startProxy(b)
	for _, target := range []struct{ name, address string }{{"direct", direct}, {"proxy", proxy}} {
		b.Run(target.name, func(b *testing.B) {
			c := connectTo(b, target.address)
			sql := fmt.Sprintf("SELECT rows(%d)", rowsPerAnswer)
			b.ReportAllocs()
			cpuBefore := cpuTime()
			for b.Loop() {
				tag, err := c.Exec(context.Background(), sql)
				assert.NilError(b, err)
				assert.Equal(b, tag.RowsAffected(), int64(rowsPerAnswer))
			}
			b.ReportMetric(float64((cpuTime()-cpuBefore).Nanoseconds())/float64(b.N*rowsPerAnswer), "cpu-ns/row")
		})
	}
}

// rowsPerAnswer is the number of rows in the answer to a statement with "rows(".
const rowsPerAnswer = 10_000
