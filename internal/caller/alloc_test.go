package caller_test

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"math"
	"net"
	"slices"
	"strconv"
	"sync/atomic"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"
)

// cannedServer answers each statement with bytes encoded beforehand, so that the server
// side allocates nothing for an answer.
type cannedServer struct {
	// numbered servers number their answers.
	numbered                 bool
	statusReply, listenReply []byte
	replies                  map[string][]byte
}

func encodeAll(messages ...pgproto3.BackendMessage) []byte {
	var b []byte
	for _, m := range messages {
		b, _ = m.Encode(b)
	}
	return b
}

// encodeRows encodes an answer with count rows of one value of size bytes.
func encodeRows(count, size int) []byte {
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

// listenCanned starts a cannedServer and returns its address.
func listenCanned(t testing.TB, role string, answers map[string][]byte, numbered bool) net.Addr {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	status := fmt.Sprintf(`{"server":"r","role":%q,"term":1,"received":"1/7","applied":"1/7"}`, role)
	ready := &pgproto3.ReadyForQuery{TxStatus: 'I'}
	p := &cannedServer{
		numbered:    numbered,
		statusReply: encodeAll(&pgproto3.DataRow{Values: [][]byte{[]byte(status)}}, &pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")}, ready),
		listenReply: encodeAll(&pgproto3.NotificationResponse{Channel: "savoryramp_position", Payload: status},
			&pgproto3.CommandComplete{CommandTag: []byte("LISTEN")}, ready),
		replies: answers,
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

func (p *cannedServer) serve(c net.Conn) {
	defer c.Close()
	backend := pgproto3.NewBackend(c, c)
	m, err := backend.ReceiveStartupMessage()
	if err != nil {
		return
	}
	login := []pgproto3.BackendMessage{&pgproto3.AuthenticationOk{}, reportReadOnly(m), &pgproto3.ReadyForQuery{TxStatus: 'I'}}
	if p.numbered {
		login = slices.Insert(login, 1, pgproto3.BackendMessage(&pgproto3.ParameterStatus{Name: "savoryramp.answer", Value: "0"}))
	}
	_, _ = c.Write(encodeAll(login...))
	header, buffer := make([]byte, 5), make([]byte, 1024)
	var answer []byte
	for number := int64(1); ; number++ {
		if _, err := io.ReadFull(c, header); err != nil {
			return
		}
		body := buffer[:binary.BigEndian.Uint32(header[1:])-4]
		if _, err := io.ReadFull(c, body); err != nil {
			return
		}
		answer = answer[:0]
		if p.numbered {
			answer = appendNumber(answer, number)
		}
		answer = append(answer, p.replyTo(body[:max(0, len(body)-1)])...)
		if _, err := c.Write(answer); err != nil {
			return
		}
	}
}

// appendNumber appends the ParameterStatus that numbers an answer.
func appendNumber(b []byte, number int64) []byte {
	b = append(b, 'S', 0, 0, 0, 0)
	b = append(b, "savoryramp.answer\x00"...)
	b = append(strconv.AppendInt(b, number, 10), 0)
	binary.BigEndian.PutUint32(b[1:], uint32(len(b)-1))
	return b
}

func (p *cannedServer) replyTo(sql []byte) []byte {
	if a, found := p.replies[string(sql)]; found {
		return a
	}
	if bytes.HasPrefix(sql, []byte("LISTEN")) {
		return p.listenReply
	}
	return p.statusReply
}

// countingListener counts the writes to all accepted connections.
type countingListener struct {
	net.Listener
	writes atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return &countingConn{c, &l.writes}, err
}

type countingConn struct {
	net.Conn
	writes *atomic.Int64
}

func (c *countingConn) Write(p []byte) (int, error) {
	c.writes.Add(1)
	return c.Conn.Write(p)
}

// rawClient is a logged-in caller whose requests allocate nothing on its side.
type rawClient struct {
	net.Conn
	buffer []byte
}

func connectRaw(t testing.TB, address string) *rawClient {
	c, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { c.Close() })
	p := &rawClient{c, make([]byte, 256<<10)}
	_, err = c.Write(startup(map[string]string{"user": "u", "database": "d"}))
	assert.NilError(t, err)
	p.awaitReady(t)
	return p
}

// awaitReady reads up to the ReadyForQuery message of an answer.
func (p *rawClient) awaitReady(t testing.TB) {
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

func (p *rawClient) sendQuery(t testing.TB, query []byte) {
	_, err := p.Write(query)
	assert.NilError(t, err)
	p.awaitReady(t)
}

// allocationCases are the answers whose allocations are counted: the size of a row in
// bytes, and the number of rows of the longer answer.
var allocationCases = map[string]struct{ size, rows int }{
	"10 B rows":   {10, 10_000},
	"1 kB rows":   {1_000, 500},
	"20 kB rows":  {20_000, 40},
	"100 kB rows": {100_000, 16},
	"1 MB rows":   {1_000_000, 4},
}

// measureAllocations returns the minimum number of allocations for one answer, and how
// many writes the answer took. The minimum is the proxy's own part: background
// goroutines and the garbage collector allocate only now and then.
func measureAllocations(t testing.TB, c *rawClient, l *countingListener, sql string) (minAllocations, writes float64) {
	const tries = 10
	query := encode(&pgproto3.Query{String: sql})
	minAllocations = math.Inf(1)
	for range tries {
		minAllocations = min(minAllocations, testing.AllocsPerRun(1, func() { c.sendQuery(t, query) }))
	}
	before := l.writes.Load()
	c.sendQuery(t, query)
	return minAllocations, float64(l.writes.Load() - before)
}

// startCannedProxy starts the proxy in front of canned servers and returns a client and
// the listener that counts the proxy's writes.
func startCannedProxy(t testing.TB, rows, size int, numbered bool) (*rawClient, *countingListener) {
	answers := map[string][]byte{"SELECT one": encodeRows(1, size), "SELECT all": encodeRows(rows, size)}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	l := &countingListener{Listener: listener}
	startProxyOn(t, l, func(role string) net.Addr { return listenCanned(t, role, answers, numbered) })
	return connectRaw(t, l.Addr().String()), l
}

func TestEachWriteAllocatesAtMostOnce(t *testing.T) {
	for name, test := range allocationCases {
		for _, numbered := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, numbered %t", name, numbered), func(t *testing.T) {
				c, l := startCannedProxy(t, test.rows, test.size, numbered)
				oneRow, _ := measureAllocations(t, c, l, "SELECT one")
				allRows, writes := measureAllocations(t, c, l, "SELECT all")
				extraWrites := writes - 1
				maxAllocations := extraWrites
				if test.size > driverBufferSize {
					maxAllocations += poolAllocations * float64(test.rows)
				}
				t.Logf("%.0f for an answer of one row, %.0f for one in %.0f batches: %.3f each further batch", oneRow, allRows, writes, (allRows-oneRow)/extraWrites)
				assert.Assert(t, writes > 3 && allRows-oneRow <= maxAllocations)
			})
		}
	}
}

// driverBufferSize is the size of the read buffers of pgproto3, in bytes.
const driverBufferSize = 8 << 10

// BenchmarkForwarded reports time and allocations of the proxy per write to the caller,
// including those of the request.
func BenchmarkForwarded(b *testing.B) {
	for name, test := range allocationCases {
		b.Run(name, func(b *testing.B) {
			c, l := startCannedProxy(b, test.rows, test.size, false)
			query := encode(&pgproto3.Query{String: "SELECT all"})
			c.sendQuery(b, query)
			minAllocations, writes := measureAllocations(b, c, l, "SELECT all")
			for b.Loop() {
				c.sendQuery(b, query)
			}
			b.ReportMetric(minAllocations/writes, "allocs/batch")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/writes, "ns/batch")
		})
	}
}

// BenchmarkStatement measures a read of one row through the proxy. ./platform has the
// same benchmark for its own protocol.
func BenchmarkStatement(b *testing.B) {
	for name, numbered := range map[string]bool{"unnumbered": false, "numbered": true} {
		b.Run(name, func(b *testing.B) {
			c, _ := startCannedProxy(b, 1, 10, numbered)
			query := encode(&pgproto3.Query{String: "SELECT one"})
			c.sendQuery(b, query)
			b.ReportAllocs()
			for b.Loop() {
				c.sendQuery(b, query)
			}
		})
	}
}
