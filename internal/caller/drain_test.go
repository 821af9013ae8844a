package caller_test

import (
	"context"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jackc/pgx/v5"
	"gotest.tools/v3/assert"

	"github.com/savoryramp/savoryramp/internal/fakenet"
	"github.com/savoryramp/savoryramp/internal/platform"
)

const (
	drainWorkers = 12
	// balancerLag is how long the balancer goes on sending callers to a VM that is
	// no longer ready; the VM waits longer than that before it drains.
	balancerLag = 3 * time.Second
	vmWaits     = 5 * time.Second
	drainTime   = 30 * time.Second
	wayThere    = time.Millisecond
)

// balancer sends callers to the VMs that it believes to be ready.
type balancer struct {
	*fleet
	mu     sync.Mutex
	ready  []*vm
	random *rand.Rand
}

func (b *balancer) pick() *vm {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ready[b.random.IntN(len(b.ready))]
}

// retire takes a VM out after the balancer's lag.
func (b *balancer) retire(v *vm) {
	time.Sleep(balancerLag)
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, other := range b.ready {
		if other == v {
			b.ready = append(b.ready[:i:i], b.ready[i+1:]...)
		}
	}
}

// tally counts what workers saw.
type tally struct {
	mu sync.Mutex
	// answered requests had their whole answer; cut ones had none or a part, though
	// their caller had not been told goodbye when it sent them.
	answered, cut, refusedLogins, reconnects int
	errors                                   []error
}

// work runs requests and transactions like a pooled driver, which looks whether the
// server has said goodbye before it uses a connection again.
func (b *balancer) work(random *rand.Rand, until time.Time, seen *tally) {
	var c *pgx.Conn
	for time.Now().Before(until) {
		time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
		if c != nil && c.PgConn().CheckConn() != nil {
			_ = c.Close(b.ctx)
			c = nil
		}
		if c == nil {
			var err error
			if c, err = b.dial(b.pick(), "one-key", oneSecret, "desk"); err != nil {
				seen.count(&seen.refusedLogins, err)
				continue
			}
			seen.count(&seen.reconnects, nil)
		}
		if err := b.request(c, random); err != nil {
			seen.count(&seen.cut, err)
			_ = c.Close(b.ctx)
			c = nil
			continue
		}
		seen.count(&seen.answered, nil)
	}
	if c != nil {
		_ = c.Close(b.ctx)
	}
}

// request is a read, a write, a slow statement or a transaction with think time.
func (b *balancer) request(c *pgx.Conn, random *rand.Rand) error {
	switch random.IntN(4) {
	case 0:
		_, err := c.Exec(b.ctx, "insert into t values ($1)", random.IntN(1000))
		return err
	case 1:
		_, err := c.Exec(b.ctx, "select pg_sleep(0.4)")
		return err
	case 2:
		tx, err := c.Begin(b.ctx)
		if err != nil {
			return err
		}
		for range 3 {
			time.Sleep(time.Duration(random.IntN(200)) * time.Millisecond)
			if _, err := tx.Exec(b.ctx, "select count(*) from t"); err != nil {
				return err
			}
		}
		return tx.Commit(b.ctx)
	}
	rows, err := c.Query(b.ctx, "with recursive s(n) as (select 1 union all select n + 1 from s where n < 300) select n from s")
	if err != nil {
		return err
	}
	n := 0
	for rows.Next() {
		n++
	}
	if rows.Err() == nil && n != 300 {
		return platform.ErrUnavailable.New("%d of 300 rows", n)
	}
	return rows.Err()
}

func (y *tally) count(what *int, err error) {
	y.mu.Lock()
	defer y.mu.Unlock()
	*what++
	if err != nil {
		y.errors = append(y.errors, err)
	}
}

func TestShutdownCutsNoRequest(t *testing.T) {
	for seed := range uint64(drainSeeds()) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, 3)
			f.share.Store(drainWorkers)
			for _, v := range f.vms {
				f.network.Delay("client", fakenet.Host(v.name), wayThere)
			}
			f.exec(f.one(f.vms[0]), "create table t (n int)")
			b := &balancer{fleet: f, ready: f.list(), random: rand.New(rand.NewPCG(seed, 1))}
			seen := &tally{}
			var workers sync.WaitGroup
			until := time.Now().Add(14 * time.Second)
			for n := range uint64(drainWorkers) {
				workers.Go(func() { b.work(rand.New(rand.NewPCG(seed, n+2)), until, seen) })
			}
			time.Sleep(time.Duration(2000+seed*37%500) * time.Millisecond)
			leaving := f.vms[0]
			go b.retire(leaving)
			time.Sleep(vmWaits)
			began := time.Now()
			drain, cancel := context.WithTimeout(f.ctx, drainTime)
			defer cancel()
			assert.NilError(t, leaving.server.Drain(drain))
			t.Logf("seed %d: drained in %s", seed, time.Since(began))
			leaving.stop()
			workers.Wait()
			t.Logf("seed %d: %d answered, %d cut, %d logins refused, %d logins", seed, seen.answered, seen.cut, seen.refusedLogins, seen.reconnects)
			assert.Equal(t, seen.cut, 0, "%v", seen.errors)
			assert.Equal(t, seen.refusedLogins, 0, "%v", seen.errors)
			assert.Assert(t, seen.answered > 100)
		})
	}
}

func TestShutdownCutsATransactionThatStaysOpen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1)
		c := f.one(f.vms[0])
		f.exec(c, "begin")
		f.exec(c, "select 1")
		drain, cancel := context.WithTimeout(f.ctx, drainTime)
		defer cancel()
		began := time.Now()
		assert.ErrorContains(t, f.vms[0].server.Drain(drain), "1 sessions had not ended")
		assert.Equal(t, time.Since(began), drainTime)
		f.exec(c, "select 1")
		f.vms[0].stop()
		<-f.vms[0].done
		_, err := c.Exec(f.ctx, "select 1")
		assert.Assert(t, err != nil)
		assert.Assert(t, f.metric(f.vms[0], "savoryramp_caller_sessions_cut_total 1"))
	})
}

// drainSeeds is how many seeds are tried: SAVORYRAMP_DRAIN_SEEDS, or a few.
func drainSeeds() int {
	if n, err := strconv.Atoi(os.Getenv("SAVORYRAMP_DRAIN_SEEDS")); err == nil {
		return n
	}
	return 1
}
