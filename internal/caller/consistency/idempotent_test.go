package consistency_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"gotest.tools/v3/assert"
)

// marks are the ways in which a session's requests count as idempotent, or don't.
var marks = map[string]struct {
	marked bool
	dial   func(r *rig) *pgx.Conn
}{
	"not marked": {false, func(r *rig) *pgx.Conn { return r.connect("vm1", "") }},
	"marked": {true, func(r *rig) *pgx.Conn {
		c := r.connect("vm1", "")
		r.exec(c, "set savoryramp.idempotent = on")
		return c
	}},
	"marked at the start": {true, func(r *rig) *pgx.Conn {
		c, err := r.dialWith("vm1", "receipts", map[string]string{"savoryramp.idempotent": "on"})
		assert.NilError(r.t, err)
		return c
	}},
	"no longer marked": {false, func(r *rig) *pgx.Conn {
		c := r.connect("vm1", "")
		r.exec(c, "set savoryramp.idempotent = on")
		r.exec(c, "reset savoryramp.idempotent")
		return c
	}},
}

// wholeWrites are the forms of writes that go to a server in one piece.
var wholeWrites = []string{"simple text", "several statements", "transaction in one text", "extended", "batch", "transaction in a batch"}

// knife cuts the one connection that carries a write, once.
type knife struct {
	mu sync.Mutex
	// answer cuts after so many bytes of the answer, else of the request.
	answer bool
	after  int
	armed  bool
	// fell is true once something was cut.
	fell bool
}

// cutConn is a VM's connection to a server.
type cutConn struct {
	net.Conn
	knife *knife
	// carries the write whose answer is to be cut.
	carries bool
}

func (c *cutConn) Write(p []byte) (int, error) {
	k := c.knife
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.armed || !bytes.Contains(p, []byte("into w")) {
		return c.Conn.Write(p)
	}
	k.armed = false
	if k.answer {
		c.carries = true
		return c.Conn.Write(p)
	}
	k.fell = k.after <= len(p)
	if !k.fell {
		return c.Conn.Write(p)
	}
	n, _ := c.Conn.Write(p[:k.after])
	_ = c.Conn.Close()
	return n, io.ErrClosedPipe
}

func (c *cutConn) Read(p []byte) (int, error) {
	k := c.knife
	k.mu.Lock()
	carries, left := c.carries, k.after
	k.mu.Unlock()
	if !carries {
		return c.Conn.Read(p)
	}
	if left == 0 {
		_ = c.Conn.Close()
	} else {
		p = p[:min(len(p), left)]
	}
	n, err := c.Conn.Read(p)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.after -= n
	k.fell = k.fell || left == 0
	return n, err
}

// ran counts how often a write ran, committed or not.
func (r *rig) ran(n int) int {
	count := 0
	for _, run := range r.group.Recorder.Runs() {
		if strings.HasSuffix(strings.TrimSuffix(run.Statement.SQL, " where ?1 > 0"), fmt.Sprintf("into w select %d", n)) {
			count++
		}
	}
	return count
}

// TestOnlyIdempotentWritesAreRepeated cuts the connection before, within and after each
// message of a write and of its answer. A write that isn't marked is never sent again;
// a marked one is, once, and then it is done.
func TestOnlyIdempotentWritesAreRepeated(t *testing.T) {
	for mark, m := range marks {
		t.Run(mark, func(t *testing.T) {
			k := &knife{}
			in(t, func(r *rig) {
				r.wrap = func(c net.Conn) net.Conn { return &cutConn{Conn: c, knife: k} }
			}, func(t *testing.T, r *rig) {
				r.exec(r.connect("vm1", ""), "create table w (id int)")
				n, again := 0, 0
				for _, form := range wholeWrites {
					for _, answer := range []bool{false, true} {
						fell := true
						for after := 0; fell; after += 5 {
							n++
							var ran int
							var err error
							ran, fell, err = r.cutOnce(k, answer, after, n, m.dial(r), writes[form])
							where := fmt.Sprintf("%s, answer %v, cut after %d bytes", form, answer, after)
							again += ran / 2
							switch {
							case !fell:
								assert.NilError(t, err, where)
								assert.Equal(t, ran, 1, where)
							case m.marked:
								assert.NilError(t, err, where)
								assert.Assert(t, ran == 2 || ran == 1 && !answer, "%s: ran %d times", where, ran)
							default:
								assert.Equal(t, code(err), "08007", "%s: %v", where, err)
								assert.Assert(t, ran == 1 || ran == 0 && !answer, "%s: ran %d times", where, ran)
							}
						}
					}
				}
				assert.Equal(t, again > 0, m.marked)
				t.Logf("%d writes, %d of them ran twice", n, again)
			})
		})
	}
}

// cutOnce sends one write under the knife and tells how often it ran, and whether
// anything was cut.
func (r *rig) cutOnce(k *knife, answer bool, after, n int, c *pgx.Conn, write func(*rig, *pgx.Conn, string) error) (ran int, fell bool, err error) {
	defer c.Close(r.ctx)
	k.mu.Lock()
	k.answer, k.after, k.armed, k.fell = answer, after, true, false
	k.mu.Unlock()
	err = write(r, c, fmt.Sprintf("insert into w select %d", n))
	time.Sleep(100 * time.Millisecond)
	k.mu.Lock()
	defer k.mu.Unlock()
	return r.ran(n), k.fell, err
}

// TestTransactionIsNotRepeated cuts the answer to the commit of a transaction of several
// messages: also a marked session's isn't run again, since the proxy has only its end.
func TestTransactionIsNotRepeated(t *testing.T) {
	in(t, nil, func(t *testing.T, r *rig) {
		r.exec(r.connect("vm1", ""), "create table w (id int)")
		c := marks["marked"].dial(r)
		r.server("a").DropAnswer()
		assert.Equal(t, code(writes["transaction"](r, c, "insert into w select 1")), "08007")
		time.Sleep(time.Second)
		assert.Equal(t, r.ran(1), 1)
	})
}
