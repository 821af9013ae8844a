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

// idempotencyCases are the ways in which a session marks its requests as idempotent, or
// doesn't.
var idempotencyCases = map[string]struct {
	marked bool
	dial   func(r *cluster) *pgx.Conn
}{
	"not marked": {false, func(r *cluster) *pgx.Conn { return r.connect("vm1", "") }},
	"marked": {true, func(r *cluster) *pgx.Conn {
		c := r.connect("vm1", "")
		r.exec(c, "set savoryramp.idempotent = on")
		return c
	}},
	"marked at the start": {true, func(r *cluster) *pgx.Conn {
		c, err := r.dialWith("vm1", "receipts", map[string]string{"savoryramp.idempotent": "on"})
		assert.NilError(r.t, err)
		return c
	}},
	"no longer marked": {false, func(r *cluster) *pgx.Conn {
		c := r.connect("vm1", "")
		r.exec(c, "set savoryramp.idempotent = on")
		r.exec(c, "reset savoryramp.idempotent")
		return c
	}},
}

// singleRequestWrites are the forms of writes that are sent to a server in one request.
var singleRequestWrites = []string{"simple text", "several statements", "transaction in one text", "extended", "batch", "transaction in a batch"}

// writeCutter closes the one connection that carries a write, once.
type writeCutter struct {
	mu sync.Mutex
	// cutsAnswer is set to cut within the answer, not within the request.
	cutsAnswer bool
	// bytesUntilCut is how many bytes of the answer or request pass before the cut.
	bytesUntilCut int
	armed         bool
	// hasCut is set once the connection was closed.
	hasCut bool
}

// cuttableConn is a VM's connection to a server, which the writeCutter can close.
type cuttableConn struct {
	net.Conn
	cutter *writeCutter
	// carriesWrite is set once the write whose answer is to be cut was sent.
	carriesWrite bool
}

func (c *cuttableConn) Write(p []byte) (int, error) {
	k := c.cutter
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.armed || !bytes.Contains(p, []byte("into w")) {
		return c.Conn.Write(p)
	}
	k.armed = false
	if k.cutsAnswer {
		c.carriesWrite = true
		return c.Conn.Write(p)
	}
	k.hasCut = k.bytesUntilCut <= len(p)
	if !k.hasCut {
		return c.Conn.Write(p)
	}
	n, _ := c.Conn.Write(p[:k.bytesUntilCut])
	_ = c.Conn.Close()
	return n, io.ErrClosedPipe
}

func (c *cuttableConn) Read(p []byte) (int, error) {
	k := c.cutter
	k.mu.Lock()
	carriesWrite, remaining := c.carriesWrite, k.bytesUntilCut
	k.mu.Unlock()
	if !carriesWrite {
		return c.Conn.Read(p)
	}
	if remaining == 0 {
		_ = c.Conn.Close()
	} else {
		p = p[:min(len(p), remaining)]
	}
	n, err := c.Conn.Read(p)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.bytesUntilCut -= n
	k.hasCut = k.hasCut || remaining == 0
	return n, err
}

// countRuns counts how often a write ran, whether committed or not.
func (r *cluster) countRuns(n int) int {
	count := 0
	for _, run := range r.group.Recorder.Runs() {
		if strings.HasSuffix(strings.TrimSuffix(run.Statement.SQL, " where ?1 > 0"), fmt.Sprintf("into w select %d", n)) {
			count++
		}
	}
	return count
}

// TestOnlyIdempotentWritesAreRepeated closes the connection at every fifth byte offset
// of a write and of its answer. A write that isn't marked as idempotent must never be
// sent again; a marked one must be sent again once, and succeed.
func TestOnlyIdempotentWritesAreRepeated(t *testing.T) {
	for caseName, m := range idempotencyCases {
		t.Run(caseName, func(t *testing.T) {
			k := &writeCutter{}
			runTest(t, func(r *cluster) {
				r.wrapConn = func(c net.Conn) net.Conn { return &cuttableConn{Conn: c, cutter: k} }
			}, func(t *testing.T, r *cluster) {
				r.exec(r.connect("vm1", ""), "create table w (id int)")
				n, repeated := 0, 0
				for _, form := range singleRequestWrites {
					for _, answer := range []bool{false, true} {
						hasCut := true
						for after := 0; hasCut; after += 5 {
							n++
							var runs int
							var err error
							runs, hasCut, err = r.writeWithCut(k, answer, after, n, m.dial(r), writeForms[form])
							description := fmt.Sprintf("%s, answer %v, cut after %d bytes", form, answer, after)
							repeated += runs / 2
							switch {
							case !hasCut:
								assert.NilError(t, err, description)
								assert.Equal(t, runs, 1, description)
							case m.marked:
								assert.NilError(t, err, description)
								assert.Assert(t, runs == 2 || runs == 1 && !answer, "%s: ran %d times", description, runs)
							default:
								assert.Equal(t, sqlState(err), "08007", "%s: %v", description, err)
								assert.Assert(t, runs == 1 || runs == 0 && !answer, "%s: ran %d times", description, runs)
							}
						}
					}
				}
				assert.Equal(t, repeated > 0, m.marked)
				t.Logf("%d writes, %d of them ran twice", n, repeated)
			})
		})
	}
}

// writeWithCut sends one write with the cutter armed, and returns how often it ran and
// whether the connection was closed.
func (r *cluster) writeWithCut(k *writeCutter, answer bool, after, n int, c *pgx.Conn, write func(*cluster, *pgx.Conn, string) error) (runs int, hasCut bool, err error) {
	defer c.Close(r.ctx)
	k.mu.Lock()
	k.cutsAnswer, k.bytesUntilCut, k.armed, k.hasCut = answer, after, true, false
	k.mu.Unlock()
	err = write(r, c, fmt.Sprintf("insert into w select %d", n))
	time.Sleep(100 * time.Millisecond)
	k.mu.Lock()
	defer k.mu.Unlock()
	return r.countRuns(n), k.hasCut, err
}

// TestTransactionIsNotRepeated drops the answer to the COMMIT of a transaction of
// several requests. It must not be run again even in an idempotent session: the proxy
// doesn't keep its statements.
func TestTransactionIsNotRepeated(t *testing.T) {
	runTest(t, nil, func(t *testing.T, r *cluster) {
		r.exec(r.connect("vm1", ""), "create table w (id int)")
		c := idempotencyCases["marked"].dial(r)
		r.server("a").DropAnswer()
		assert.Equal(t, sqlState(writeForms["transaction"](r, c, "insert into w select 1")), "08007")
		time.Sleep(time.Second)
		assert.Equal(t, r.countRuns(1), 1)
	})
}
