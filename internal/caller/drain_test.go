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
	// balancerLag is how long the balancer still sends callers to a VM that is no
	// longer ready. The VM waits longer than that before it drains.
	balancerLag  = 3 * time.Second
	drainDelay   = 5 * time.Second
	drainTimeout = 30 * time.Second
	callerDelay  = time.Millisecond
)

// balancer distributes callers over the VMs that it considers ready.
type balancer struct {
	*cluster
	mu     sync.Mutex
	ready  []*vm
	random *rand.Rand
}

func (b *balancer) pickVM() *vm {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ready[b.random.IntN(len(b.ready))]
}

// removeVM removes a VM from the balancer after balancerLag.
func (b *balancer) removeVM(v *vm) {
	time.Sleep(balancerLag)
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, other := range b.ready {
		if other == v {
			b.ready = append(b.ready[:i:i], b.ready[i+1:]...)
		}
	}
}

// requestCounts counts the results of all workers.
type requestCounts struct {
	mu sync.Mutex
	// answered counts requests with a complete answer. cut counts those without,
	// although the caller hadn't received the shutdown error before it sent them.
	answered, cut, refusedLogins, reconnects int
	errors                                   []error
}

// runWorker runs requests like a client with a connection pool: before it uses a
// connection again, it checks whether the server has closed it.
func (b *balancer) runWorker(random *rand.Rand, deadline time.Time, counts *requestCounts) {
	var c *pgx.Conn
	for time.Now().Before(deadline) {
		time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
		if c != nil && c.PgConn().CheckConn() != nil {
			_ = c.Close(b.ctx)
			c = nil
		}
		if c == nil {
			var err error
			if c, err = b.dial(b.pickVM(), "one-key", oneSecret, "desk"); err != nil {
				counts.count(&counts.refusedLogins, err)
				continue
			}
			counts.count(&counts.reconnects, nil)
		}
		if err := b.runRandomRequest(c, random); err != nil {
			counts.count(&counts.cut, err)
			_ = c.Close(b.ctx)
			c = nil
			continue
		}
		counts.count(&counts.answered, nil)
	}
	if c != nil {
		_ = c.Close(b.ctx)
	}
}

// runRandomRequest runs a read, a write, a slow statement or a transaction with pauses.
func (b *balancer) runRandomRequest(c *pgx.Conn, random *rand.Rand) error {
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

func (y *requestCounts) count(counter *int, err error) {
	y.mu.Lock()
	defer y.mu.Unlock()
	*counter++
	if err != nil {
		y.errors = append(y.errors, err)
	}
}

func TestShutdownCutsNoRequest(t *testing.T) {
	for seed := range uint64(drainSeeds()) {
		synctest.Test(t, func(t *testing.T) {
			f := newCluster(t, 3)
			f.connectionShare.Store(drainWorkers)
			for _, v := range f.vms {
				f.network.Delay("client", fakenet.Host(v.name), callerDelay)
			}
			f.exec(f.connectAsOne(f.vms[0]), "create table t (n int)")
			b := &balancer{cluster: f, ready: f.allVMs(), random: rand.New(rand.NewPCG(seed, 1))}
			counts := &requestCounts{}
			var workers sync.WaitGroup
			deadline := time.Now().Add(11 * time.Second)
			for n := range uint64(drainWorkers) {
				workers.Go(func() { b.runWorker(rand.New(rand.NewPCG(seed, n+2)), deadline, counts) })
			}
			time.Sleep(time.Duration(2000+seed*37%500) * time.Millisecond)
			drained := f.vms[0]
			go b.removeVM(drained)
			time.Sleep(drainDelay)
			start := time.Now()
			drainCtx, cancel := context.WithTimeout(f.ctx, drainTimeout)
			defer cancel()
			assert.NilError(t, drained.server.Drain(drainCtx))
			t.Logf("seed %d: drained in %s", seed, time.Since(start))
			drained.stop()
			workers.Wait()
			t.Logf("seed %d: %d answered, %d cut, %d logins refused, %d logins", seed, counts.answered, counts.cut, counts.refusedLogins, counts.reconnects)
			assert.Equal(t, counts.cut, 0, "%v", counts.errors)
			assert.Equal(t, counts.refusedLogins, 0, "%v", counts.errors)
			assert.Assert(t, counts.answered > 100)
		})
	}
}

func TestShutdownAbortsOpenTransaction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCluster(t, 1)
		c := f.connectAsOne(f.vms[0])
		f.exec(c, "begin")
		f.exec(c, "select 1")
		drainCtx, cancel := context.WithTimeout(f.ctx, drainTimeout)
		defer cancel()
		start := time.Now()
		assert.ErrorContains(t, f.vms[0].server.Drain(drainCtx), "1 sessions had not ended")
		assert.Equal(t, time.Since(start), drainTimeout)
		f.exec(c, "select 1")
		f.vms[0].stop()
		<-f.vms[0].done
		_, err := c.Exec(f.ctx, "select 1")
		assert.Assert(t, err != nil)
		assert.Assert(t, f.hasMetric(f.vms[0], "savoryramp_caller_sessions_cut_total 1"))
	})
}

// drainSeeds returns the number of seeds to run: SAVORYRAMP_DRAIN_SEEDS, or 1.
func drainSeeds() int {
	if n, err := strconv.Atoi(os.Getenv("SAVORYRAMP_DRAIN_SEEDS")); err == nil {
		return n
	}
	return 1
}

// Guards against statements that are cut off at the end of a drain: a transaction whose caller sends each one directly
// after the last answer went on until the sessions were aborted.
func TestDrainEndsBusyTransactions(t *testing.T) {
	tests := map[string]string{"reads": "select pg_sleep(0.3)", "writes": "insert into t values (1)"}
	for name, statement := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newCluster(t, 1)
				v := f.vms[0]
				c := f.connectAsOne(v)
				f.exec(c, "create table if not exists t (n int)")
				f.exec(c, "begin")
				const lasts = 6 * time.Second
				ctx, cancel := context.WithTimeout(f.ctx, lasts)
				defer cancel()
				began := time.Now()
				drained := make(chan error)
				go func() { drained <- v.server.Drain(ctx) }()
				var err error
				for err == nil && ctx.Err() == nil {
					_, err = c.Exec(f.ctx, statement)
					time.Sleep(callerDelay)
				}
				assert.Equal(t, sqlState(err), "57P01", "%v", err)
				took := time.Since(began)
				assert.Assert(t, lasts/2 <= took && took < lasts, "the transaction was ended after %s", took)
				assert.NilError(t, <-drained)
			})
		})
	}
}
