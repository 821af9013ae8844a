package hostile

import (
	"context"
	"encoding/binary"
	"fmt"
	"net"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"

	"github.com/savoryramp/savoryramp/internal/fakeplatform"
	"github.com/savoryramp/savoryramp/internal/fakeupstream"
	"github.com/savoryramp/savoryramp/internal/load"
)

const (
	// daemonMemoryMB and daemonDescriptors are the lowered limits of a daemon under test. Its own
	// start takes under 60 MB and 30 descriptors.
	daemonMemoryMB        = 128
	daemonDescriptors     = 400
	daemonDescriptorBound = 340
	// longQuery is the length of the texts of long queries, half of what a message may have.
	longQuery = 8 << 20
	// longValue is the length of texts that sessions keep.
	longValue = 1 << 20
)

// daemon is a daemon of the PostgreSQL side under test, before stand-ins of platform and servers.
type daemon struct {
	*process
	callers, admin, peer string
}

// startDaemon starts a daemon and waits until it answers a request.
func startDaemon(t *testing.T) *daemon {
	t.Helper()
	folder := t.TempDir()
	p := httptest.NewServer(fakeplatform.New().Handler())
	t.Cleanup(p.Close)
	ip := fmt.Sprintf("127.%d.%d.2", 60+os.Getpid()%90, 1+os.Getpid()/90%200)
	d := &daemon{callers: ip + ":6432", admin: ip + ":6480", peer: ip + ":6490"}
	certificates, err := load.NewCertificates()
	assert.NilError(t, err)
	assert.NilError(t, certificates.Write(folder))
	environment := []string{
		"SAVORYRAMP_TABLE_ENDPOINT=" + p.URL, "SAVORYRAMP_STORE_ENDPOINT=" + p.URL, "SAVORYRAMP_ACCESS_KEY_ID=id", "SAVORYRAMP_ACCESS_KEY_SECRET=secret",
		fmt.Sprint("SAVORYRAMP_MEMORY_LIMIT_MB=", daemonMemoryMB), fmt.Sprint("SAVORYRAMP_DESCRIPTOR_LIMIT=", daemonDescriptors),
	}
	document := filepath.Join(folder, "service.yaml")
	assert.NilError(t, os.WriteFile(document, []byte(daemonDocument(startServers(t))), 0o600))
	apply := exec.Command(filepath.Join(binaries, "savoryramp"), "apply", document)
	apply.Env = append(os.Environ(), environment...)
	out, err := apply.CombinedOutput()
	assert.NilError(t, err, string(out))
	d.process = startProcess(t, "savoryramp", []string{
		"run", "--vm=vm-1", "--availability-zone=a", "--listen=" + d.callers, "--admin=" + d.admin, "--peer=" + d.peer,
		"--peer-cert=" + folder + "/peer.pem", "--peer-key=" + folder + "/peer.key", "--peer-ca=" + folder + "/ca.pem",
	}, environment, daemonDescriptors, d.callers, d.admin, d.peer)
	d.expectAnswer(t)
	return d
}

// startServers starts a group of one server and returns its address.
func startServers(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	group := &fakeupstream.Group{Name: "r1", Servers: []*fakeupstream.Server{{Name: "r1a", Listener: listener}}}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = group.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return listener.Addr().String()
}

// daemonDocument returns a document with a database that needs no key.
func daemonDocument(server string) string {
	return `service: ledger
upstreams:
  - name: ledger-1
    user: savoryramp
    database: ledger
    servers:
      - name: r1a
        address: ` + server + `
        availability-zone: a
        connections: 24
        slots: 3
databases:
  - name: ledger
    upstream: ledger-1
    max-staleness: 2s
    open: true
    open-workspace: desk
workspaces:
  - name: desk
    weight: 1
    rate: 5000/s
    burst: 5000
    databases: [ledger]
    keys:
      - name: desk-1
        verifier: SCRAM-SHA-256$4096:usEx3IjUwjKI92UYUGnDrw==$G/jr64R/1PJhpcIvz2E9vb67eRhKsJdzvsTt0ASrF04=:G0uhd0mETnz5mmfI01z/LgAiPD9IbakjG6KwBoGcvK4=
`
}

// expectAnswer checks that one ordinary request is answered on a new connection, within some
// attempts.
func (d *daemon) expectAnswer(t *testing.T) {
	t.Helper()
	var err error
	for end := time.Now().Add(answerTimeout); time.Now().Before(end) && d.lives(); time.Sleep(retryPause) {
		if err = d.request(); err == nil {
			return
		}
	}
	t.Errorf("no ordinary request was answered: %v; the log ends: %s", err, d.logTail())
}

func (d *daemon) request() error {
	ctx, cancel := context.WithTimeout(context.Background(), attemptTimeout)
	defer cancel()
	c, err := pgx.Connect(ctx, "postgres://desk@"+d.callers+"/ledger?sslmode=disable")
	if err != nil {
		return err
	}
	defer c.Close(ctx)
	var one int
	return c.QueryRow(ctx, "select 1").Scan(&one)
}

// frontendMessages encodes messages of a client.
func frontendMessages(messages ...pgproto3.FrontendMessage) string {
	var b []byte
	for _, m := range messages {
		encoded, err := m.Encode(b)
		if err != nil {
			panic(err)
		}
		b = encoded
	}
	return string(b)
}

var daemonStartup = frontendMessages(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersionNumber, Parameters: map[string]string{"user": "desk", "database": "ledger"}})

// awaitReady reads until a number of ReadyForQuery messages have arrived or the connection ends.
func awaitReady(c net.Conn, number int) {
	f := pgproto3.NewFrontend(c, c)
	for number > 0 {
		m, err := f.Receive()
		if err != nil {
			return
		}
		if _, ready := m.(*pgproto3.ReadyForQuery); ready {
			number--
		}
	}
}

// claimedLength returns a message's header with a length whose body isn't sent.
func claimedLength(messageType string, length uint32) string {
	return messageType + string(binary.BigEndian.AppendUint32(nil, length))
}

// daemonPatterns are the crowds at the port for callers of the PostgreSQL protocol.
var daemonPatterns = map[string]struct {
	clients int
	held    bool
	client  func(c net.Conn)
}{
	"long queries at once": {clients: 40, client: func(c net.Conn) {
		send(c, daemonStartup, frontendMessages(&pgproto3.Query{String: "select '" + text(longQuery) + "'"}))
		awaitReady(c, 2)
	}},
	"long queries in small pieces": {clients: 40, client: func(c net.Conn) {
		send(c, daemonStartup)
		sendInPieces(c, frontendMessages(&pgproto3.Query{String: "select '" + text(longQuery) + "'"}), 64<<10, time.Millisecond)
		awaitReady(c, 2)
	}},
	"queries that stop half-way": {clients: 40, held: true, client: func(c net.Conn) {
		send(c, daemonStartup, claimedLength("Q", 2*longQuery), text(longQuery))
	}},
	"queries far over the limit": {clients: 40, held: true, client: func(c net.Conn) {
		send(c, daemonStartup, claimedLength("Q", 1<<30), text(longQuery))
	}},
	"queued messages without a Sync": {clients: 40, client: func(c net.Conn) {
		send(c, daemonStartup)
		parse := frontendMessages(&pgproto3.Parse{Query: "select '" + text(longValue) + "'"})
		for range 16 {
			send(c, parse)
		}
	}},
	"statements kept by sessions": {clients: 40, client: func(c net.Conn) {
		send(c, daemonStartup)
		for i := range 16 {
			send(c, frontendMessages(&pgproto3.Parse{Name: fmt.Sprint("p", i), Query: "select '" + text(longValue) + "'"}))
		}
		send(c, frontendMessages(&pgproto3.Sync{}))
		awaitReady(c, 2)
	}},
	"settings kept by sessions": {clients: 40, client: func(c net.Conn) {
		send(c, daemonStartup)
		for i := range 16 {
			send(c, frontendMessages(&pgproto3.Query{String: fmt.Sprint("set a.v", i, " = '", text(longValue), "'")}))
		}
		awaitReady(c, 17)
	}},
	"pipelined queries, answers unread": {clients: 40, client: func(c net.Conn) {
		send(c, daemonStartup, strings.Repeat(frontendMessages(&pgproto3.Query{String: "select '" + text(longValue) + "'"}), 8))
	}},
	"connections without a startup": {clients: 600, held: true, client: func(net.Conn) {}},
	"startups that never end": {clients: 600, held: true, client: func(c net.Conn) {
		sendInPieces(c, daemonStartup[:len(daemonStartup)-2], 1, 100*time.Millisecond)
	}},
	"logins that stop half-way": {clients: 600, held: true, client: func(c net.Conn) {
		send(c, frontendMessages(&pgproto3.SSLRequest{}))
		_, _ = c.Read(make([]byte, 1))
	}},
	"half-closed connections": {clients: 600, held: true, client: func(c net.Conn) {
		send(c, daemonStartup)
		_ = c.(*net.TCPConn).CloseWrite()
	}},
	"idle sessions": {clients: 600, client: func(c net.Conn) {
		send(c, daemonStartup)
		awaitReady(c, 1)
	}},
}

// TestDaemonCallers guards against callers of the PostgreSQL protocol that take the daemon's memory or
// descriptors.
func TestDaemonCallers(t *testing.T) {
	for name, p := range daemonPatterns {
		t.Run(name, func(t *testing.T) {
			d := startDaemon(t)
			crowd := openCrowd(d.callers, p.clients, p.client)
			if p.held {
				d.expectAnswer(t)
			}
			crowd.close()
			d.expectAnswer(t)
			d.expectWithinLimits(t, daemonMemoryMB, daemonDescriptorBound)
		})
	}
}

// TestDaemonPages guards against clients of the daemon's admin page that take its memory or descriptors.
func TestDaemonPages(t *testing.T) {
	for name, p := range pagePatterns {
		t.Run(name, func(t *testing.T) {
			d := startDaemon(t)
			crowd := openCrowd(d.admin, p.clients, p.client)
			if p.held {
				d.expectAnswer(t)
			}
			crowd.close()
			d.expectAnswer(t)
			d.expectWithinLimits(t, daemonMemoryMB, daemonDescriptorBound)
		})
	}
}

// TestDaemonPeers guards against connections to the port for other VMs that take the daemon's descriptors.
func TestDaemonPeers(t *testing.T) {
	patterns := map[string]func(c net.Conn){
		"idle connections":      func(net.Conn) {},
		"logins that never end": func(c net.Conn) { send(c, "\x16\x03\x01\x02\x00", text(100)) },
	}
	for name, client := range patterns {
		t.Run(name, func(t *testing.T) {
			d := startDaemon(t)
			crowd := openCrowd(d.peer, 600, client)
			d.expectAnswer(t)
			crowd.close()
			d.expectAnswer(t)
			d.expectWithinLimits(t, daemonMemoryMB, daemonDescriptorBound)
		})
	}
}
