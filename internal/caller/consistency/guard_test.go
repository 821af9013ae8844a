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

// disguises are statements that pass for reads and write.
var disguises = map[string]func(r *rig, c *pgx.Conn, n int) error{
	"simple": func(r *rig, c *pgx.Conn, n int) error { return script(r, c, disguised(n)) },
	"extended": func(r *rig, c *pgx.Conn, n int) error {
		_, err := c.Exec(r.ctx, disguised(n)+" where $1 > 0", 1)
		return err
	},
	"behind a lock": func(r *rig, c *pgx.Conn, n int) error {
		return batch(r, c, "select * from t for\nupdate", disguised(n))
	},
	"made to write": func(r *rig, c *pgx.Conn, n int) error {
		return transactReadOnly(r, c, "begin read only", "set transaction read write", disguised(n))
	},
	"made to write by a setting": func(r *rig, c *pgx.Conn, n int) error {
		return transactReadOnly(r, c, "begin read only", "set transaction_read_only = off", disguised(n))
	},
	"made to write in one text": func(r *rig, c *pgx.Conn, n int) error {
		return transactReadOnly(r, c, "begin read only", "set transaction read  write; "+disguised(n))
	},
	"made to write in a batch": func(r *rig, c *pgx.Conn, n int) error {
		if err := script(r, c, "begin read only"); err != nil {
			return err
		}
		return batch(r, c, "set transaction read write", disguised(n), "commit")
	},
	"read only in a comment": func(r *rig, c *pgx.Conn, n int) error {
		return transactReadOnly(r, c, "begin /* read only */", disguised(n))
	},
	"read only and then not": func(r *rig, c *pgx.Conn, n int) error {
		return transactReadOnly(r, c, "begin read only, read write", disguised(n))
	},
	"of a session with settings": func(r *rig, c *pgx.Conn, n int) error {
		if err := script(r, c, "set default_transaction_read_only = off"); err != nil {
			return err
		}
		return script(r, c, disguised(n))
	},
}

// transactReadOnly sends a transaction text by text.
func transactReadOnly(r *rig, c *pgx.Conn, texts ...string) error {
	for _, text := range append(texts, "commit") {
		if err := script(r, c, text); err != nil {
			_ = script(r, c, "rollback")
			return err
		}
	}
	return nil
}

func disguised(n int) string {
	return fmt.Sprintf("with one(n) as (select 1) insert\ninto w select %d", n)
}

// committed counts the commits of a disguised write.
func (r *rig) committed(n int) int { return written(r.group.Recorder.Commits(), n) }

// held counts the servers that have a disguised write.
func (r *rig) held(n int) int {
	count := 0
	for _, s := range r.group.Servers {
		count += min(1, written(s.Log(), n))
	}
	return count
}

func written(list []fakeupstream.Entry, n int) int {
	count := 0
	for _, e := range list {
		for _, st := range e.Statements {
			if strings.Contains(st.SQL, fmt.Sprintf("into w select %d", n)) {
				count++
			}
		}
	}
	return count
}

// promoteUnder sends what passes for a read to the replica b and makes b primary
// before it runs there, so that the VM can't know.
func (r *rig) promoteUnder(read func(*rig, *pgx.Conn, int) error, meanwhile func()) error {
	r.exec(r.connect("vm1", ""), "create table w (id int)")
	time.Sleep(time.Second)
	r.server("c").SetLag(time.Hour)
	c := r.connect("vm1", "")
	r.exec(c, "update t set v = 0")
	time.Sleep(100 * time.Millisecond)
	r.server("b").Freeze(true)
	done := make(chan error, 1)
	go func() { done <- read(r, c, 7) }()
	time.Sleep(20 * time.Millisecond)
	r.promote(2, "b", "c")
	meanwhile()
	r.server("b").Freeze(false)
	return <-done
}

// TestDisguisedWriteOnAPromotedServer sends writes that pass for reads to a replica
// that is primary when they arrive. They run at most once, also when the answer is
// lost, and none is done without another server's word.
func TestDisguisedWriteOnAPromotedServer(t *testing.T) {
	for name, read := range disguises {
		t.Run(name, func(t *testing.T) {
			in(t, nil, func(t *testing.T, r *rig) {
				err := r.promoteUnder(read, r.server("b").DropAnswer)
				time.Sleep(3 * time.Second)
				assert.Assert(t, r.committed(7) <= 1, "ran %d times, the caller was told %v", r.committed(7), err)
				assert.Assert(t, err != nil || r.committed(7) == 1)
			})
			in(t, nil, func(t *testing.T, r *rig) {
				err := r.promoteUnder(read, func() { r.server("b").Cut(true) })
				assert.Assert(t, err != nil || r.held(7) > 1, "done, though no other server has it")
				assert.Assert(t, !notRun(err) || r.committed(7) == 0, "%v", err)
			})
		})
	}
}

// TestReadOfThePrimaryIsConfirmed cuts the primary off and reads there what only the
// primary has: a promotion may yet drop it, so nobody is shown it.
func TestReadOfThePrimaryIsConfirmed(t *testing.T) {
	in(t, nil, func(t *testing.T, r *rig) {
		writer, reader := r.connect("vm1", ""), r.connect("vm1", "")
		r.exec(reader, "insert into t values (1, 1)")
		for _, name := range []string{"b", "c"} {
			r.server(name).Kill(0)
		}
		time.Sleep(3 * time.Second)
		assert.Equal(t, code(r.put(writer, 1, 2)), "08007")
		v, err := r.value(reader, 1)
		assert.Assert(t, err != nil, "shown %d, which no other server has", v)
	})
}

// TestUnconfirmedReadGoesElsewhere replaces the primary that a read waits for.
func TestUnconfirmedReadGoesElsewhere(t *testing.T) {
	in(t, nil, func(t *testing.T, r *rig) {
		writer, reader := r.connect("vm1", ""), r.connect("vm1", "")
		r.exec(reader, "insert into t values (1, 1)")
		for _, name := range []string{"b", "c"} {
			r.server(name).SetLag(time.Hour)
		}
		r.exec(reader, "update t set v = 2")
		r.server("a").Cut(true)
		assert.Equal(t, code(r.put(writer, 1, 3)), "08007")
		time.AfterFunc(100*time.Millisecond, func() { r.promote(2, "b", "c") })
		v, err := r.value(reader, 1)
		assert.NilError(t, err)
		assert.Equal(t, v, 2)
	})
}
