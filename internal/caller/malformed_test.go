package caller_test

import (
	"bytes"
	"context"
	"crypto/tls"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"

	"github.com/savoryramp/savoryramp/internal/caller"
	"github.com/savoryramp/savoryramp/internal/platform"
	"github.com/savoryramp/savoryramp/internal/upstream"
)

// fixedDocument is a source of documents that always returns the same one.
type fixedDocument platform.Snapshot

func (d fixedDocument) Current() platform.Snapshot { return platform.Snapshot(d) }

func (d fixedDocument) Wait(ctx context.Context, after platform.DocumentVersion) (platform.Snapshot, error) {
	if d.Version > after {
		return platform.Snapshot(d), nil
	}
	<-ctx.Done()
	return platform.Snapshot{}, ctx.Err()
}

// pipeListener accepts the server's ends of in-memory connections.
type pipeListener chan net.Conn

func (p pipeListener) Accept() (net.Conn, error) {
	if nc, open := <-p; open {
		return nc, nil
	}
	return nil, net.ErrClosed
}

func (p pipeListener) Close() error   { return nil }
func (p pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// serveWithoutUpstreams starts a callers' server whose upstream servers refuse all
// connections. It runs until the test ends.
func serveWithoutUpstreams(t testing.TB) pipeListener {
	t.Helper()
	return serveWithoutUpstreamsTLS(t, nil)
}

// serveWithoutUpstreamsTLS is serveWithoutUpstreams with TLS, if tlsConfig isn't nil.
func serveWithoutUpstreamsTLS(t testing.TB, tlsConfig *tls.Config) pipeListener {
	t.Helper()
	document, err := platform.Parse([]byte(documentText()))
	assert.NilError(t, err)
	documents := fixedDocument{Version: 1, Document: document}
	refuseDial := func(context.Context, string, string) (net.Conn, error) { return nil, net.ErrClosed }
	u := &upstream.Upstreams{
		Dial: refuseDial, Logger: log.NewNopLogger(), Documents: documents, Share: func(platform.ServerName) int { return 1 },
		ReadPolicy: upstream.WaitOrPrimary{}, QueueOrder: upstream.DeficitRoundRobin, MaxQueueLength: 10,
	}
	listener := make(pipeListener)
	s := &caller.Server{
		VM: "v1", Listener: listener, TLS: tlsConfig, Documents: documents, Upstreams: u, TokenKey: []byte("key"),
		MaxWait: time.Millisecond, ResponseTimeout: time.Second, Logger: log.NewNopLogger(),
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 2)
	go func() { done <- u.Run(ctx) }()
	go func() { done <- s.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		close(listener)
		assert.Check(t, <-done)
		assert.Check(t, <-done)
	})
	return listener
}

// dial opens a connection; it has the signature of net.Dialer.DialContext.
func (p pipeListener) dial(context.Context, string, string) (net.Conn, error) {
	clientEnd, serverEnd := net.Pipe()
	p <- serverEnd
	return clientEnd, nil
}

// scriptedConn is a caller's connection that delivers prepared bytes and then ends.
type scriptedConn struct {
	unread  []byte
	written bytes.Buffer
	closed  chan struct{}
	once    sync.Once
}

func (c *scriptedConn) Read(p []byte) (int, error) {
	if len(c.unread) == 0 {
		return 0, io.EOF
	}
	n := copy(p, c.unread)
	c.unread = c.unread[n:]
	return n, nil
}

func (c *scriptedConn) Write(p []byte) (int, error) { return c.written.Write(p) }

func (c *scriptedConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return nil
}

func (c *scriptedConn) LocalAddr() net.Addr              { return &net.TCPAddr{} }
func (c *scriptedConn) RemoteAddr() net.Addr             { return &net.TCPAddr{} }
func (c *scriptedConn) SetDeadline(time.Time) error      { return nil }
func (c *scriptedConn) SetReadDeadline(time.Time) error  { return nil }
func (c *scriptedConn) SetWriteDeadline(time.Time) error { return nil }

// exchangeBytes sends bytes on a new connection and returns all bytes of the answer, or
// nil if the server doesn't close the connection within exchangeTimeout.
func (p pipeListener) exchangeBytes(sent []byte) []byte {
	c := &scriptedConn{unread: sent, closed: make(chan struct{})}
	p <- c
	select {
	case <-c.closed:
		return c.written.Bytes()
	case <-time.After(exchangeTimeout):
		return nil
	}
}

// exchangeTimeout is much longer than all timeouts of the server under test.
const exchangeTimeout = 20 * time.Second

func encode(messages ...pgproto3.FrontendMessage) []byte {
	var b []byte
	for _, m := range messages {
		b, _ = m.Encode(b)
	}
	return b
}

func startup(parameters map[string]string) []byte {
	return encode(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: parameters})
}

var openStartup = startup(map[string]string{"user": "anybody", "database": "board"})

// FuzzStartup sends arbitrary bytes in place of a startup message. Other callers must
// still be able to log in.
func FuzzStartup(f *testing.F) {
	f.Add(openStartup)
	f.Add(startup(map[string]string{"user": "one-key", "database": "desk", "options": "-c savoryramp.max_staleness=1s"}))
	f.Add(append(startup(map[string]string{"user": "one-key", "database": "desk"}), encode(&pgproto3.SASLInitialResponse{AuthMechanism: "SCRAM-SHA-256", Data: []byte("n,,n=,r=abc")})...))
	f.Add(encode(&pgproto3.SSLRequest{}))
	f.Add(append(encode(&pgproto3.GSSEncRequest{}), openStartup...))
	f.Add(encode(&pgproto3.CancelRequest{ProcessID: 1, SecretKey: []byte{1, 2, 3, 4}}))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0, 3, 0, 0})
	f.Add([]byte{0, 0, 0, 8, 0, 0, 0, 0})
	p := serveWithoutUpstreams(f)
	f.Fuzz(func(t *testing.T, sent []byte) {
		p.exchangeBytes(sent)
		p.checkLogin(t)
	})
}

// FuzzMessages sends arbitrary bytes after the login. Other callers must still be able
// to log in.
func FuzzMessages(f *testing.F) {
	f.Add(encode(&pgproto3.Query{String: "select 1"}, &pgproto3.Query{String: "begin; select 1"}, &pgproto3.Sync{}))
	f.Add(encode(&pgproto3.Query{String: "set savoryramp.max_staleness = '5s'"}, &pgproto3.Query{String: "show savoryramp.session"}, &pgproto3.Query{String: "reset savoryramp.x"}))
	f.Add(encode(&pgproto3.Parse{Name: "s", Query: "select $1"}, &pgproto3.Bind{PreparedStatement: "s", Parameters: [][]byte{{1}}},
		&pgproto3.Describe{ObjectType: 'S', Name: "s"}, &pgproto3.Execute{}, &pgproto3.Close{ObjectType: 'S', Name: "s"}, &pgproto3.Flush{}, &pgproto3.Sync{}))
	f.Add(encode(&pgproto3.Parse{Query: "show savoryramp.vm"}, &pgproto3.Bind{}, &pgproto3.Describe{ObjectType: 'P'}, &pgproto3.Execute{}, &pgproto3.Sync{}))
	f.Add(encode(&pgproto3.CopyData{}, &pgproto3.Terminate{}))
	f.Add([]byte{'Q', 0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{'Q', 0, 0, 0, 4})
	f.Add([]byte{'?', 0, 0, 0, 4})
	p := serveWithoutUpstreams(f)
	f.Fuzz(func(t *testing.T, sent []byte) {
		p.exchangeBytes(append(bytes.Clone(openStartup), sent...))
		p.checkLogin(t)
	})
}

// checkLogin checks that another caller can still log in.
func (p pipeListener) checkLogin(t *testing.T) {
	t.Helper()
	assert.Assert(t, bytes.HasSuffix(p.exchangeBytes(openStartup), []byte{'Z', 0, 0, 0, 5, 'I'}))
}

func TestMalformedMessagesEndTheirConnection(t *testing.T) {
	p := serveWithoutUpstreams(t)
	tests := map[string]struct {
		sent []byte
		want string
	}{
		"start-up too large":   {[]byte{0, 1, 0, 0, 0, 3, 0, 0}, ""},
		"start-up too small":   {[]byte{0, 0, 0, 4, 0, 3, 0, 0}, ""},
		"message too large":    {append(bytes.Clone(openStartup), 'Q', 2, 0, 0, 0), "08P01"},
		"length below minimum": {append(bytes.Clone(openStartup), 'Q', 0, 0, 0, 1), "08P01"},
		"unknown type":         {append(bytes.Clone(openStartup), '?', 0, 0, 0, 4), "08P01"},
		"login message later":  {append(bytes.Clone(openStartup), 'p', 0, 0, 0, 5, 0), "08P01"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := p.exchangeBytes(test.sent)
			assert.Assert(t, bytes.Contains(got, []byte(test.want)), "%q", got)
			p.checkLogin(t)
		})
	}
}

func TestSlowMessagesTimeOut(t *testing.T) {
	tests := map[string]struct {
		before []byte
		bytes  []byte
		within time.Duration
	}{
		"in the start-up": {nil, startup(map[string]string{"user": "one-key", "database": "desk", "x": strings.Repeat("y", 64)}), 10 * time.Second},
		"in a message":    {openStartup, encode(&pgproto3.Query{String: "select 'a long text that comes a byte at a time'"}), 30 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := serveWithoutUpstreams(t)
				clientEnd, serverEnd := net.Pipe()
				p <- serverEnd
				go func() { _, _ = io.Copy(io.Discard, clientEnd) }()
				_, err := clientEnd.Write(test.before)
				assert.NilError(t, err)
				start := time.Now()
				for i := 0; err == nil && i < len(test.bytes)-1; i++ {
					_, err = clientEnd.Write(test.bytes[i : i+1])
					time.Sleep(time.Second)
				}
				assert.Assert(t, err != nil, "the connection stayed open for %s", time.Since(start))
				assert.Assert(t, time.Since(start) <= test.within+2*time.Second)
				_ = clientEnd.Close()
			})
		})
	}
}

func TestUnreadAnswersTimeOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := serveWithoutUpstreams(t)
		clientEnd, serverEnd := net.Pipe()
		p <- serverEnd
		_, err := clientEnd.Write(openStartup)
		assert.NilError(t, err)
		time.Sleep(35 * time.Second)
		_, err = clientEnd.Write(encode(&pgproto3.Sync{}))
		assert.Assert(t, err != nil)
		_ = clientEnd.Close()
	})
}

func TestIdleCallersStayConnected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := serveWithoutUpstreams(t)
		clientEnd, serverEnd := net.Pipe()
		p <- serverEnd
		got := make(chan []byte)
		go func() {
			all, _ := io.ReadAll(clientEnd)
			got <- all
		}()
		_, err := clientEnd.Write(openStartup)
		assert.NilError(t, err)
		time.Sleep(5 * time.Minute)
		_, err = clientEnd.Write(encode(&pgproto3.Query{String: "show savoryramp.vm"}))
		assert.NilError(t, err)
		time.Sleep(time.Second)
		_ = clientEnd.Close()
		assert.Assert(t, bytes.Contains(<-got, []byte("SHOW")))
	})
}
