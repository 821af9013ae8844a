package consistency_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jackc/pgx/v5"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/savoryramp/savoryramp/internal/fakenet"
	"github.com/savoryramp/savoryramp/internal/upstream"
)

// answerRows are the numbers of rows in an answer; the largest answer exceeds the
// threshold at which the proxy flushes.
var answerRows = []int{1, 7, 1500}

// queryRows sends a query whose rows contain its number, and checks that the answer is
// complete and belongs to this query. It returns the error if the query failed.
func queryRows(t assert.TestingT, r *cluster, c *pgx.Conn, number, rows int) error {
	sql := "with recursive n(i) as (select 1 union all select i + 1 from n where i < $1) " +
		fmt.Sprintf("select i, %d, 'some text that makes the row longer' from n", number)
	result, err := c.Query(r.ctx, sql, rows)
	if err != nil {
		return err
	}
	defer result.Close()
	nextRow := 1
	for result.Next() {
		var i, owner int
		var text string
		assert.NilError(t, result.Scan(&i, &owner, &text))
		assert.Equal(t, i, nextRow)
		assert.Equal(t, owner, number, "an answer to another request")
		nextRow++
	}
	if result.Err() == nil {
		assert.Equal(t, nextRow, rows+1, "an incomplete answer")
	}
	return result.Err()
}

// TestAnswersAreWholeAndTheRequestsOwn runs queries on many sessions while answers are
// late or come twice, connections close within a row or become silent, and servers
// freeze. Every answer must be complete and belong to its request.
func TestAnswersAreWholeAndTheRequestsOwn(t *testing.T) {
	answered, failed := 0, 0
	rapid.Check(t, func(c *rapid.T) {
		seed := rapid.Uint64().Draw(c, "seed")
		synctest.Test(t, func(t *testing.T) {
			r := startCluster(t, func(r *cluster) { r.share = 2 })
			defer r.stop()
			r.duplicateAnswers(seed)
			var callers sync.WaitGroup
			var mu sync.Mutex
			for n := range 6 {
				random := rand.New(rand.NewPCG(seed, uint64(n)))
				callers.Go(func() {
					c := r.connect([]string{"vm1", "vm2"}[n%2], "")
					for k := range 5 {
						err := queryRows(t, r, c, n*1000+k, answerRows[random.IntN(3)])
						mu.Lock()
						if err == nil {
							answered++
						} else {
							failed++
						}
						mu.Unlock()
						if c.IsClosed() {
							c = r.connect("vm2", "")
						}
					}
				})
			}
			random := rand.New(rand.NewPCG(seed, 99))
			for range 5 {
				r.injectAnswerFault(random)
			}
			callers.Wait()
		})
	})
	t.Logf("%d whole answers, %d errors", answered, failed)
	assert.Assert(t, answered > failed)
}

// injectAnswerFault disturbs the answers of a random server.
func (r *cluster) injectAnswerFault(random *rand.Rand) {
	s := r.group.Servers[random.IntN(3)]
	time.Sleep(time.Duration(random.IntN(5_000)) * time.Microsecond)
	switch random.IntN(5) {
	case 0:
		s.SetLate(2 * responseTimeout)
		time.Sleep(10 * time.Millisecond)
		s.SetLate(0)
	case 1:
		s.Kill(0)
		s.Start()
	case 2:
		s.Silence()
	case 3:
		r.network.Silence("vm1", fakenet.Host(s.Name))
	case 4:
		s.Freeze(true)
		time.Sleep(time.Duration(random.IntN(3000)) * time.Millisecond)
		s.Freeze(false)
	}
}

// TestSilentConnectionCostsOneDeadline makes all open connections silent while new ones
// work. A session that runs requests one after the other must wait for only one
// timeout.
func TestSilentConnectionCostsOneDeadline(t *testing.T) {
	for name, request := range map[string]func(r *cluster, c *pgx.Conn) error{
		"reads":  func(r *cluster, c *pgx.Conn) error { _, err := r.readValue(c, 1); return err },
		"writes": func(r *cluster, c *pgx.Conn) error { return r.writeValue(c, 1, 1) },
	} {
		t.Run(name, func(t *testing.T) {
			runTest(t, func(r *cluster) { r.readPolicy = upstream.PrimaryOnly{} }, func(t *testing.T, r *cluster) {
				fillPool(r)
				c := r.connect("vm1", "")
				assert.NilError(t, request(r, c))
				r.network.Silence("vm1", "a")
				start := time.Now()
				var errs []error
				for range 10 {
					errs = append(errs, request(r, c))
				}
				elapsed := time.Since(start)
				assert.Assert(t, elapsed < responseTimeout+responseTimeout/2, "ten requests took %v: %v", elapsed, errs)
				for _, err := range errs[1:] {
					assert.NilError(t, err)
				}
			})
		})
	}
}

// fillPool makes the VM open as many connections to the primary as it may.
func fillPool(r *cluster) {
	var sessions sync.WaitGroup
	for range r.share {
		sessions.Go(func() {
			c := r.connect("vm1", "")
			assert.NilError(r.t, simpleQuery(r, c, "begin; select 1 for update"))
			time.Sleep(100 * time.Millisecond)
			assert.NilError(r.t, simpleQuery(r, c, "commit"))
		})
	}
	sessions.Wait()
}

// truncatingConn closes a connection after a number of bytes has been read from it.
type truncatingConn struct {
	net.Conn
	// bytesLeft is shared by all connections; a negative value disables the fault.
	bytesLeft *atomic.Int64
}

// Read returns at most bytesLeft bytes and then closes the connection.
func (c truncatingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	remaining := c.bytesLeft.Load()
	if remaining < 0 || err != nil {
		return n, err
	}
	if int64(n) <= remaining {
		c.bytesLeft.Add(-int64(n))
		return n, nil
	}
	c.bytesLeft.Store(-1)
	_ = c.Conn.Close()
	return int(remaining), io.EOF
}

// TestPartialAnswersAreNotForwarded closes the server connection after every fifth byte
// offset of an answer. The read must be retried and its answer complete.
func TestPartialAnswersAreNotForwarded(t *testing.T) {
	var bytesLeft atomic.Int64
	bytesLeft.Store(-1)
	runTest(t, func(r *cluster) { r.wrapConn = func(c net.Conn) net.Conn { return truncatingConn{c, &bytesLeft} } }, func(t *testing.T, r *cluster) {
		c := r.connect("vm1", "")
		assert.NilError(t, queryRows(t, r, c, 0, 7))
		for n := 0; n < 600; n += 5 {
			bytesLeft.Store(int64(n))
			assert.NilError(t, queryRows(t, r, c, n, 7))
			time.Sleep(time.Second)
		}
	})
}

// TestLateAnswerReachesNoOtherSession lets an answer arrive after its request has timed
// out. Another session's next query must not receive it.
func TestLateAnswerReachesNoOtherSession(t *testing.T) {
	runTest(t, func(r *cluster) { r.share, r.readPolicy = 1, upstream.PrimaryOnly{} }, func(t *testing.T, r *cluster) {
		first, second := r.connect("vm1", ""), r.connect("vm1", "")
		assert.NilError(t, queryRows(t, r, first, 1, 7))
		for _, late := range []time.Duration{responseTimeout + responseTimeout/8, 2 * responseTimeout} {
			r.server("a").SetLate(late)
			done := make(chan error)
			go func() { done <- queryRows(t, r, first, 2, 7) }()
			time.Sleep(10 * time.Millisecond)
			r.server("a").SetLate(0)
			assert.NilError(t, <-done)
			for n := range 5 {
				assert.NilError(t, queryRows(t, r, second, n+3, 7))
				time.Sleep(300 * time.Millisecond)
			}
		}
	})
}
