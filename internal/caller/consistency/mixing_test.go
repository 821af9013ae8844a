package consistency_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jackc/pgx/v5"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/savoryramp/savoryramp/internal/fakeupstream"
)

// statementsPerTransaction is the number of inserts in one transaction.
const statementsPerTransaction = 3

// runDisturbedTransaction runs a transaction whose statements carry its name, with a
// random fault of its client.
func runDisturbedTransaction(r *cluster, random *rand.Rand, vm, name string) {
	c, err := r.dial(vm, "", "receipts")
	if err != nil {
		return
	}
	defer c.Close(r.ctx)
	ctx, cancel := context.WithCancel(r.ctx)
	defer cancel()
	switch random.IntN(4) {
	case 0:
		// The client's connection is closed.
		afterRandomDelay(random, func() { _ = c.PgConn().Conn().Close() })
	case 1:
		afterRandomDelay(random, func() { _ = c.PgConn().CancelRequest(r.ctx) })
	case 2:
		// pgx abandons the query, sends a cancel request and closes the connection.
		afterRandomDelay(random, cancel)
	}
	_ = pgx.BeginFunc(ctx, c, func(tx pgx.Tx) error {
		for n := range statementsPerTransaction {
			if _, err := tx.Exec(ctx, fmt.Sprintf("insert into s values ('%s', %d)", name, n)); err != nil {
				return err
			}
		}
		return nil
	})
}

func afterRandomDelay(random *rand.Rand, action func()) {
	time.AfterFunc(time.Duration(random.IntN(20_000))*time.Microsecond, action)
}

// injectPrimaryFault injects a random fault of the primary or of a VM during
// transactions.
func (r *cluster) injectPrimaryFault(random *rand.Rand) {
	time.Sleep(time.Duration(random.IntN(100)) * time.Millisecond)
	s := r.group.Primary()
	if s == nil {
		return
	}
	switch random.IntN(6) {
	case 0:
		r.vms["vm1"].kill()
		time.Sleep(100 * time.Millisecond)
		r.startVM("vm1")
	case 1:
		s.SetLate(time.Duration(random.IntN(2000)) * time.Millisecond)
		time.Sleep(50 * time.Millisecond)
		s.SetLate(0)
	case 2:
		s.Silence()
	case 3:
		s.Kill(0)
		s.Start()
	case 4:
		s.DropAnswer()
	case 5:
		r.replacePrimary(s)
	}
}

// TestTransactionsAreNotMixed runs transactions that are cancelled, time out, or lose
// their client, VM or server, while answers come twice. In the servers' records, each transaction must contain
// statements of only one client, and each commit all of them.
func TestTransactionsAreNotMixed(t *testing.T) {
	rapid.Check(t, func(c *rapid.T) {
		seed := rapid.Uint64().Draw(c, "seed")
		synctest.Test(t, func(t *testing.T) {
			r := startCluster(t, func(r *cluster) { r.share = 2 })
			defer r.stop()
			r.exec(r.connect("vm2", ""), "create table s (name text, n int)")
			r.duplicateAnswers(seed)
			var callers sync.WaitGroup
			for n := range 8 {
				random := rand.New(rand.NewPCG(seed, uint64(n)))
				callers.Go(func() {
					for k := range 6 {
						runDisturbedTransaction(r, random, []string{"vm1", "vm2"}[n%2], fmt.Sprint("caller", n, "-", k))
						time.Sleep(time.Duration(random.IntN(50)) * time.Millisecond)
					}
				})
			}
			random := rand.New(rand.NewPCG(seed, 99))
			for range 3 {
				r.injectPrimaryFault(random)
			}
			callers.Wait()
			time.Sleep(5 * time.Second)
			checkTransactionsNotMixed(t, r.group.Recorder, seed)
		})
	})
}

func checkTransactionsNotMixed(t *testing.T, recorder *fakeupstream.Recorder, seed uint64) {
	type transaction struct {
		server fakeupstream.ServerName
		id     fakeupstream.TransactionID
	}
	owners := map[transaction]string{}
	for _, run := range recorder.Runs() {
		name := transactionNameIn(run.Statement.SQL)
		if name == "" {
			continue
		}
		key := transaction{run.Server, run.Transaction}
		assert.Assert(t, owners[key] == "" || owners[key] == name, "seed %d: %s and %s in one transaction", seed, owners[key], name)
		owners[key] = name
	}
	committed := 0
	for _, e := range recorder.Commits() {
		inserts := 0
		for _, st := range e.Statements {
			if transactionNameIn(st.SQL) != "" {
				inserts++
			}
		}
		committed += inserts / statementsPerTransaction
		assert.Assert(t, inserts == 0 || inserts == statementsPerTransaction, "seed %d: a commit of %d statements", seed, inserts)
	}
	t.Logf("%d statements, %d transactions committed", len(recorder.Runs()), committed)
}

// transactionNameIn returns the transaction name in a statement, "" for other statements.
func transactionNameIn(sql string) string {
	if !strings.HasPrefix(sql, "insert into s") {
		return ""
	}
	return strings.Split(sql, "'")[1]
}

// TestLateCancelDoesNotCancelOtherSession delays a cancel request until another
// session's statement would run on the same server connection. The request must not
// cancel that statement.
func TestLateCancelDoesNotCancelOtherSession(t *testing.T) {
	runTest(t, func(r *cluster) { r.share = 1 }, func(t *testing.T, r *cluster) {
		first, second := r.connect("vm1", ""), r.connect("vm1", "")
		r.exec(first, "update t set v = 0")
		r.server("a").SetService(20 * time.Millisecond)
		r.server("a").SetConnectDelay(30 * time.Millisecond)
		done := make(chan error, 2)
		go func() { done <- simpleQuery(r, first, "update t set v = 1") }()
		time.Sleep(3 * time.Millisecond)
		go func() { done <- simpleQuery(r, second, "update t set v = 2") }()
		assert.NilError(t, first.PgConn().CancelRequest(r.ctx))
		assert.NilError(t, <-done)
		assert.NilError(t, <-done)
	})
}

// TestSavepointOfALostTransactionStaysLost rolls back to a savepoint after the
// transaction's connection was lost. The proxy must refuse it, since later statements
// would run outside of the transaction.
func TestSavepointOfALostTransactionStaysLost(t *testing.T) {
	runTest(t, nil, func(t *testing.T, r *cluster) {
		c := r.connect("vm1", "")
		for _, sql := range []string{"begin", "insert into t values (1, 1)", "savepoint one"} {
			assert.NilError(t, simpleQuery(r, c, sql))
		}
		r.server("a").Kill(0)
		r.server("a").Start()
		time.Sleep(time.Second)
		assert.Equal(t, sqlState(simpleQuery(r, c, "insert into t values (2, 1)")), "08006")
		assert.Equal(t, sqlState(simpleQuery(r, c, "rollback to savepoint one")), "25P02")
		assert.Equal(t, sqlState(simpleQuery(r, c, "insert into t values (3, 1)")), "25P02")
		assert.NilError(t, simpleQuery(r, c, "commit"))
		v, err := r.readValue(c, 3)
		assert.NilError(t, err)
		assert.Equal(t, v, 0)
	})
}

// TestSettingsStayWithTheirSession changes a setting in every supported way. Another
// session on the same server connection must not see it.
func TestSettingsStayWithTheirSession(t *testing.T) {
	for name, set := range map[string]func(r *cluster, c *pgx.Conn) error{
		"simple":             func(r *cluster, c *pgx.Conn) error { return simpleQuery(r, c, "set app.who = 'first'") },
		"several statements": func(r *cluster, c *pgx.Conn) error { return simpleQuery(r, c, "set app.who = 'first'; select 1") },
		"extended": func(r *cluster, c *pgx.Conn) error {
			return sendBatch(r, c, "set app.who = 'first'")
		},
		"batch": func(r *cluster, c *pgx.Conn) error {
			return sendBatch(r, c, "set app.who = 'first'", "select 1")
		},
		"transaction": func(r *cluster, c *pgx.Conn) error {
			return pgx.BeginFunc(r.ctx, c, func(tx pgx.Tx) error {
				_, err := tx.Exec(r.ctx, "set app.who = 'first'")
				return err
			})
		},
	} {
		t.Run(name, func(t *testing.T) {
			runTest(t, func(r *cluster) { r.share = 1 }, func(t *testing.T, r *cluster) {
				first, second := r.connect("vm1", ""), r.connect("vm1", "")
				assert.NilError(t, set(r, first))
				var value string
				assert.NilError(t, second.QueryRow(r.ctx, "show app.who", pgx.QueryExecModeSimpleProtocol).Scan(&value))
				assert.Equal(t, value, "")
			})
		})
	}
}

// TestPreparedStatementsStayWithTheirSession prepares different statements of the same
// name in two sessions that share one server connection.
func TestPreparedStatementsStayWithTheirSession(t *testing.T) {
	for _, name := range []string{"q", ""} {
		runTest(t, func(r *cluster) { r.share = 1 }, func(t *testing.T, r *cluster) {
			conns := []*pgx.Conn{r.connect("vm1", ""), r.connect("vm1", "")}
			for n, c := range conns {
				_, err := c.PgConn().Prepare(r.ctx, name, fmt.Sprintf("select %d where $1 > 0", n), nil)
				assert.NilError(t, err)
			}
			// A failed Parse leaves the connection's unnamed statement unchanged.
			_, err := conns[0].PgConn().Prepare(r.ctx, "", "select n from missing", nil)
			assert.Equal(t, sqlState(err), "42P01")
			for range 3 {
				for n, c := range conns {
					if n == 0 && name == "" {
						continue
					}
					result := c.PgConn().ExecPrepared(r.ctx, name, [][]byte{[]byte("1")}, nil, nil).Read()
					assert.NilError(t, result.Err)
					assert.Equal(t, string(result.Rows[0][0]), fmt.Sprint(n))
				}
			}
			assert.Assert(t, sqlState(conns[1].PgConn().ExecPrepared(r.ctx, "unknown", nil, nil, nil).Read().Err) == "26000")
		})
	}
}
