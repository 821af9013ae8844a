package caller_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jackc/pgx/v5"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/savoryramp/savoryramp/internal/fakenet"
	"github.com/savoryramp/savoryramp/internal/upstream"
)

// answerRows is how many rows an answer has; some answers are larger than what is
// gathered before it leaves.
var answerRows = []int{1, 7, 1500}

// ask sends a request whose answer is its own number and checks that the answer is
// whole and this request's. An error is an answer, too.
func ask(t assert.TestingT, r *rig, c *pgx.Conn, number, rows int) error {
	sql := "with recursive n(i) as (select 1 union all select i + 1 from n where i < $1) " +
		fmt.Sprintf("select i, %d, 'some text that makes the row longer' from n", number)
	list, err := c.Query(r.ctx, sql, rows)
	if err != nil {
		return err
	}
	defer list.Close()
	next := 1
	for list.Next() {
		var i, whose int
		var text string
		assert.NilError(t, list.Scan(&i, &whose, &text))
		assert.Equal(t, i, next)
		assert.Equal(t, whose, number, "an answer to another request")
		next++
	}
	if list.Err() == nil {
		assert.Equal(t, next, rows+1, "an answer that isn't whole")
	}
	return list.Err()
}

// TestAnswersAreWholeAndTheRequestsOwn asks on many sessions while answers are late,
// connections end within a row or go silent, and servers freeze.
func TestAnswersAreWholeAndTheRequestsOwn(t *testing.T) {
	answered, refused := 0, 0
	rapid.Check(t, func(c *rapid.T) {
		seed := rapid.Uint64().Draw(c, "seed")
		synctest.Test(t, func(t *testing.T) {
			r := begin(t, func(r *rig) { r.share = 2 })
			defer r.stop()
			var callers sync.WaitGroup
			var mu sync.Mutex
			for n := range 6 {
				random := rand.New(rand.NewPCG(seed, uint64(n)))
				callers.Go(func() {
					c := r.connect([]string{"vm1", "vm2"}[n%2], "")
					for k := range 5 {
						err := ask(t, r, c, n*1000+k, answerRows[random.IntN(3)])
						mu.Lock()
						if err == nil {
							answered++
						} else {
							refused++
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
				r.garble(random)
			}
			callers.Wait()
		})
	})
	t.Logf("%d whole answers, %d errors", answered, refused)
	assert.Assert(t, answered > refused)
}

// garble breaks answers of a server in some way.
func (r *rig) garble(random *rand.Rand) {
	s := r.group.Servers[random.IntN(3)]
	time.Sleep(time.Duration(random.IntN(5_000)) * time.Microsecond)
	switch random.IntN(5) {
	case 0:
		s.SetLate(2 * deadline)
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

// TestSilentConnectionCostsOneDeadline makes all present connections silent for good
// while new ones work, and lets requests come one after the other.
func TestSilentConnectionCostsOneDeadline(t *testing.T) {
	for name, request := range map[string]func(r *rig, c *pgx.Conn) error{
		"reads":  func(r *rig, c *pgx.Conn) error { _, err := r.value(c, 1); return err },
		"writes": func(r *rig, c *pgx.Conn) error { return r.put(c, 1, 1) },
	} {
		t.Run(name, func(t *testing.T) {
			in(t, func(r *rig) { r.reads = upstream.PrimaryOnly{} }, func(t *testing.T, r *rig) {
				warm(r)
				c := r.connect("vm1", "")
				assert.NilError(t, request(r, c))
				r.network.Silence("vm1", "a")
				began := time.Now()
				var errs []error
				for range 10 {
					errs = append(errs, request(r, c))
				}
				took := time.Since(began)
				assert.Assert(t, took < deadline+deadline/2, "ten requests took %v: %v", took, errs)
				for _, err := range errs[1:] {
					assert.NilError(t, err)
				}
			})
		})
	}
}

// warm makes the VM keep as many connections to the primary as it may.
func warm(r *rig) {
	var sessions sync.WaitGroup
	for range r.share {
		sessions.Go(func() {
			c := r.connect("vm1", "")
			assert.NilError(r.t, script(r, c, "begin; select 1 for update"))
			time.Sleep(100 * time.Millisecond)
			assert.NilError(r.t, script(r, c, "commit"))
		})
	}
	sessions.Wait()
}
