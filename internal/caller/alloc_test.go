package caller_test

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"math"
	"net"
	"sync/atomic"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"
)

// pump answers each statement with bytes made beforehand, so that an answer allocates
// nothing on the server's side.
type pump struct {
	status, listening []byte
	answers           map[string][]byte
}

func encodeAll(messages ...pgproto3.BackendMessage) []byte {
	var b []byte
	for _, m := range messages {
		b, _ = m.Encode(b)
	}
	return b
}

// rowsAnswer is an answer of count rows of one value of size bytes.
func rowsAnswer(count, size int) []byte {
	messages := []pgproto3.BackendMessage{
		&pgproto3.ParameterStatus{Name: "savoryramp.position", Value: "1/7"},
		&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte("n"), DataTypeOID: 25, DataTypeSize: -1}}},
	}
	row := &pgproto3.DataRow{Values: [][]byte{bytes.Repeat([]byte("x"), size)}}
	for range count {
		messages = append(messages, row)
	}
	return encodeAll(append(messages, &pgproto3.CommandComplete{CommandTag: []byte(fmt.Sprint("SELECT ", count))},
		&pgproto3.ReadyForQuery{TxStatus: 'I'})...)
}

// listenPump gives the address of a server that pumps.
func listenPump(t testing.TB, role string, answers map[string][]byte) net.Addr {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	status := fmt.Sprintf(`{"server":"r","role":%q,"term":1,"received":"1/7","applied":"1/7"}`, role)
	ready := &pgproto3.ReadyForQuery{TxStatus: 'I'}
	p := &pump{
		status: encodeAll(&pgproto3.DataRow{Values: [][]byte{[]byte(status)}}, &pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")}, ready),
		listening: encodeAll(&pgproto3.NotificationResponse{Channel: "savoryramp_position", Payload: status},
			&pgproto3.CommandComplete{CommandTag: []byte("LISTEN")}, ready),
		answers: answers,
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return l.Addr()
}

func (p *pump) serve(c net.Conn) {
	defer c.Close()
	back := pgproto3.NewBackend(c, c)
	m, err := back.ReceiveStartupMessage()
	if err != nil {
		return
	}
	_, _ = c.Write(encodeAll(&pgproto3.AuthenticationOk{}, readOnlyOf(m), &pgproto3.ReadyForQuery{TxStatus: 'I'}))
	head, body := make([]byte, 5), make([]byte, 1024)
	for {
		if _, err := io.ReadFull(c, head); err != nil {
			return
		}
		text := body[:binary.BigEndian.Uint32(head[1:])-4]
		if _, err := io.ReadFull(c, text); err != nil {
			return
		}
		if _, err := c.Write(p.answer(text[:max(0, len(text)-1)])); err != nil {
			return
		}
	}
}

func (p *pump) answer(sql []byte) []byte {
	if a, found := p.answers[string(sql)]; found {
		return a
	}
	if bytes.HasPrefix(sql, []byte("LISTEN")) {
		return p.listening
	}
	return p.status
}

// counting counts the writes to all callers.
type counting struct {
	net.Listener
	writes atomic.Int64
}

func (l *counting) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return &countedConn{c, &l.writes}, err
}

type countedConn struct {
	net.Conn
	writes *atomic.Int64
}

func (c *countedConn) Write(p []byte) (int, error) {
	c.writes.Add(1)
	return c.Conn.Write(p)
}

// plain is a logged-in caller that allocates nothing while it asks.
type plain struct {
	net.Conn
	buffer []byte
}

func connectPlain(t testing.TB, address string) *plain {
	c, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { c.Close() })
	p := &plain{c, make([]byte, 256<<10)}
	_, err = c.Write(startup(map[string]string{"user": "u", "database": "d"}))
	assert.NilError(t, err)
	p.await(t)
	return p
}

// await reads to the end of an answer.
func (p *plain) await(t testing.TB) {
	end := [6]byte{'Z', 0, 0, 0, 5, 'I'}
	var last [6]byte
	for last != end {
		n, err := p.Read(p.buffer)
		assert.NilError(t, err)
		if n >= len(last) {
			copy(last[:], p.buffer[n-len(last):n])
			continue
		}
		copy(last[:], last[n:])
		copy(last[len(last)-n:], p.buffer[:n])
	}
}

func (p *plain) ask(t testing.TB, query []byte) {
	_, err := p.Write(query)
	assert.NilError(t, err)
	p.await(t)
}

// allocating are the answers whose allocations are counted: the size of a row in
// bytes, and how many rows there are in the longer answer.
var allocating = map[string]struct{ size, rows int }{
	"10 B rows":   {10, 10_000},
	"1 kB rows":   {1_000, 500},
	"20 kB rows":  {20_000, 40},
	"100 kB rows": {100_000, 16},
	"1 MB rows":   {1_000_000, 4},
}

// allocations are the least that the process made for one answer, which are the
// proxy's own, since watches and the collector make theirs now and then only; and the
// batches that the answer left in.
func allocations(t testing.TB, c *plain, l *counting, sql string) (least, batches float64) {
	const tries = 10
	query := encode(&pgproto3.Query{String: sql})
	least = math.Inf(1)
	for range tries {
		least = min(least, testing.AllocsPerRun(1, func() { c.ask(t, query) }))
	}
	before := l.writes.Load()
	c.ask(t, query)
	return least, float64(l.writes.Load() - before)
}

// startPumped serves a caller before servers that pump answers of rows, and counts the
// batches that leave.
func startPumped(t testing.TB, rows, size int) (*plain, *counting) {
	answers := map[string][]byte{"SELECT one": rowsAnswer(1, size), "SELECT all": rowsAnswer(rows, size)}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	l := &counting{Listener: listener}
	startProxyOn(t, l, func(role string) net.Addr { return listenPump(t, role, answers) })
	return connectPlain(t, l.Addr().String()), l
}

func TestForwardedBatchesAllocateAtMostOnce(t *testing.T) {
	for name, test := range allocating {
		t.Run(name, func(t *testing.T) {
			c, l := startPumped(t, test.rows, test.size)
			short, _ := allocations(t, c, l, "SELECT one")
			long, batches := allocations(t, c, l, "SELECT all")
			further := batches - 1
			allowed := further
			if test.size > usualBuffer {
				allowed += poolAllocations * float64(test.rows)
			}
			t.Logf("%.0f for an answer of one row, %.0f for one in %.0f batches: %.3f each further batch", short, long, batches, (long-short)/further)
			assert.Assert(t, batches > 3 && long-short <= allowed)
		})
	}
}

// usualBuffer is the driver's read buffer, in bytes.
const usualBuffer = 8 << 10

// BenchmarkForwarded reports the time and the proxy's allocations for each batch of
// rows that leaves for the caller, those of the request included.
func BenchmarkForwarded(b *testing.B) {
	for name, test := range allocating {
		b.Run(name, func(b *testing.B) {
			c, l := startPumped(b, test.rows, test.size)
			query := encode(&pgproto3.Query{String: "SELECT all"})
			c.ask(b, query)
			least, batches := allocations(b, c, l, "SELECT all")
			for b.Loop() {
				c.ask(b, query)
			}
			b.ReportMetric(least/batches, "allocs/batch")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/batches, "ns/batch")
		})
	}
}

// BenchmarkStatement is a read of one row through the proxy, with what the process
// allocates for it. The same of the other protocol stands beside it in ./platform.
func BenchmarkStatement(b *testing.B) {
	c, _ := startPumped(b, 1, 10)
	query := encode(&pgproto3.Query{String: "SELECT one"})
	c.ask(b, query)
	b.ReportAllocs()
	for b.Loop() {
		c.ask(b, query)
	}
}
