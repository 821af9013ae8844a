package consistency_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"gotest.tools/v3/assert"

	"github.com/savoryramp/savoryramp/internal/fakeupstream"
)

// disguisedWrites are writes that the proxy classifies as reads.
var disguisedWrites = map[string]func(r *cluster, c *pgx.Conn, n int) error{
	"simple": func(r *cluster, c *pgx.Conn, n int) error { return simpleQuery(r, c, disguisedInsert(n)) },
	"extended": func(r *cluster, c *pgx.Conn, n int) error {
		_, err := c.Exec(r.ctx, disguisedInsert(n)+" where $1 > 0", 1)
		return err
	},
	"after a locking read": func(r *cluster, c *pgx.Conn, n int) error {
		return sendBatch(r, c, "select * from t for\nupdate", disguisedInsert(n))
	},
	"switched to read write": func(r *cluster, c *pgx.Conn, n int) error {
		return runTransaction(r, c, "begin read only", "set transaction read write", disguisedInsert(n))
	},
	"switched by a setting": func(r *cluster, c *pgx.Conn, n int) error {
		return runTransaction(r, c, "begin read only", "set transaction_read_only = off", disguisedInsert(n))
	},
	"switched in one text": func(r *cluster, c *pgx.Conn, n int) error {
		return runTransaction(r, c, "begin read only", "set transaction read  write; "+disguisedInsert(n))
	},
	"switched in a batch": func(r *cluster, c *pgx.Conn, n int) error {
		if err := simpleQuery(r, c, "begin read only"); err != nil {
			return err
		}
		return sendBatch(r, c, "set transaction read write", disguisedInsert(n), "commit")
	},
	"read only in a comment": func(r *cluster, c *pgx.Conn, n int) error {
		return runTransaction(r, c, "begin /* read only */", disguisedInsert(n))
	},
	"read only, read write": func(r *cluster, c *pgx.Conn, n int) error {
		return runTransaction(r, c, "begin read only, read write", disguisedInsert(n))
	},
	"in a session with settings": func(r *cluster, c *pgx.Conn, n int) error {
		if err := simpleQuery(r, c, "set default_transaction_read_only = off"); err != nil {
			return err
		}
		return simpleQuery(r, c, disguisedInsert(n))
	},
}

// runTransaction sends the statements of a transaction one by one, then COMMIT, or
// ROLLBACK after an error.
func runTransaction(r *cluster, c *pgx.Conn, texts ...string) error {
	for _, text := range append(texts, "commit") {
		if err := simpleQuery(r, c, text); err != nil {
			_ = simpleQuery(r, c, "rollback")
			return err
		}
	}
	return nil
}

func disguisedInsert(n int) string {
	return fmt.Sprintf("with one(n) as (select 1) insert\ninto w select %d", n)
}

// countCommits counts the commits of a disguised write.
func (r *cluster) countCommits(n int) int { return countEntries(r.group.Recorder.Commits(), n) }

// countServersWithWrite counts the servers that have a disguised write in their log.
func (r *cluster) countServersWithWrite(n int) int {
	count := 0
	for _, s := range r.group.Servers {
		count += min(1, countEntries(s.Log(), n))
	}
	return count
}

func countEntries(entries []fakeupstream.Entry, n int) int {
	count := 0
	for _, e := range entries {
		for _, st := range e.Statements {
			if strings.Contains(st.SQL, fmt.Sprintf("into w select %d", n)) {
				count++
			}
		}
	}
	return count
}

// promoteDuringRead sends a disguised write to the replica b, and promotes b before the
// write runs there, unknown to the VM.
func (r *cluster) promoteDuringRead(sendWrite func(*cluster, *pgx.Conn, int) error, afterPromotion func()) error {
	r.exec(r.connect("vm1", ""), "create table w (id int)")
	time.Sleep(time.Second)
	r.server("c").SetLag(time.Hour)
	c := r.connect("vm1", "")
	r.exec(c, "update t set v = 0")
	time.Sleep(100 * time.Millisecond)
	r.server("b").Freeze(true)
	done := make(chan error, 1)
	go func() { done <- sendWrite(r, c, 7) }()
	time.Sleep(20 * time.Millisecond)
	r.promote(2, "b", "c")
	afterPromotion()
	r.server("b").Freeze(false)
	return <-done
}

// TestDisguisedWriteOnAPromotedServer sends writes classified as reads to a replica
// that is the primary when they arrive. They must run at most once, also when the
// answer is lost, and must not be acknowledged before another server has them.
func TestDisguisedWriteOnAPromotedServer(t *testing.T) {
	for name, sendWrite := range disguisedWrites {
		t.Run(name, func(t *testing.T) {
			runTest(t, nil, func(t *testing.T, r *cluster) {
				err := r.promoteDuringRead(sendWrite, r.server("b").DropAnswer)
				time.Sleep(3 * time.Second)
				assert.Assert(t, r.countCommits(7) <= 1, "ran %d times, the caller received %v", r.countCommits(7), err)
				assert.Assert(t, err != nil || r.countCommits(7) == 1)
			})
			runTest(t, nil, func(t *testing.T, r *cluster) {
				err := r.promoteDuringRead(sendWrite, func() { r.server("b").Cut(true) })
				assert.Assert(t, err != nil || r.countServersWithWrite(7) > 1, "acknowledged, though no other server has it")
				assert.Assert(t, !isNotRun(err) || r.countCommits(7) == 0, "%v", err)
			})
		})
	}
}

// TestReadOfThePrimaryIsConfirmed cuts the primary off and reads data that only the
// primary has. A promotion may still lose the data, so the read must fail.
func TestReadOfThePrimaryIsConfirmed(t *testing.T) {
	runTest(t, nil, func(t *testing.T, r *cluster) {
		writer, reader := r.connect("vm1", ""), r.connect("vm1", "")
		r.exec(reader, "insert into t values (1, 1)")
		for _, name := range []string{"b", "c"} {
			r.server(name).Kill(0)
		}
		time.Sleep(3 * time.Second)
		assert.Equal(t, sqlState(r.writeValue(writer, 1, 2)), "08007")
		v, err := r.readValue(reader, 1)
		assert.Assert(t, err != nil, "read %d, which no other server has", v)
	})
}

// TestUnconfirmedReadIsRetriedOnNewPrimary replaces the primary while a read waits for
// its confirmation.
func TestUnconfirmedReadIsRetriedOnNewPrimary(t *testing.T) {
	runTest(t, nil, func(t *testing.T, r *cluster) {
		writer, reader := r.connect("vm1", ""), r.connect("vm1", "")
		r.exec(reader, "insert into t values (1, 1)")
		for _, name := range []string{"b", "c"} {
			r.server(name).SetLag(time.Hour)
		}
		r.exec(reader, "update t set v = 2")
		r.server("a").Cut(true)
		assert.Equal(t, sqlState(r.writeValue(writer, 1, 3)), "08007")
		time.AfterFunc(100*time.Millisecond, func() { r.promote(2, "b", "c") })
		v, err := r.readValue(reader, 1)
		assert.NilError(t, err)
		assert.Equal(t, v, 2)
	})
}
