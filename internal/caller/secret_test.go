package caller_test

import (
	"context"
	"encoding/base64"
	"fmt"
	"net"
	"net/http/httptest"
	"regexp"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"

	"github.com/savoryramp/savoryramp/internal/fakeupstream"
	"github.com/savoryramp/savoryramp/internal/operator"
)

const upstreamPassword = "upstream-password-77d2"

// recordingConn records all bytes that callers send.
type recordingConn struct {
	net.Conn
	sent *logBuffer
}

func (w recordingConn) Write(p []byte) (int, error) {
	_, _ = w.sent.Write(p)
	return w.Conn.Write(p)
}

// secretTexts returns the texts that must not appear anywhere: keys, SCRAM messages of
// the logins, verifiers and their parts, and the password for the servers.
func secretTexts(sent string) []string {
	list := []string{oneSecret, otherSecret, upstreamPassword, "cleartext-guess"}
	for _, v := range verifierBySecret() {
		list = append(list, string(v))
		for _, part := range strings.FieldsFunc(string(v), func(r rune) bool { return strings.ContainsRune("$:", r) })[2:] {
			decoded, err := base64.StdEncoding.DecodeString(part)
			if err == nil {
				list = append(list, part, string(decoded))
			}
		}
	}
	for _, m := range regexp.MustCompile(`[rp]=([A-Za-z0-9+/=]{16,})`).FindAllStringSubmatch(sent, -1) {
		list = append(list, m[1])
	}
	return list
}

// logInRaw sends a startup message, calls sendLogin to send messages that
// contain a secret, and reads the answer.
func logInRaw(f *cluster, v *vm, parameters map[string]string, sendLogin func(frontend *pgproto3.Frontend)) {
	f.Helper()
	conn, err := f.network.Dialer("client")(f.ctx, "tcp", v.address)
	assert.NilError(f, err)
	defer conn.Close()
	frontend := pgproto3.NewFrontend(conn, conn)
	frontend.Send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: parameters})
	assert.NilError(f, frontend.Flush())
	sendLogin(frontend)
	_ = conn.SetReadDeadline(time.Now().Add(time.Second))
	for err == nil {
		_, err = frontend.Receive()
	}
}

func TestSecretsAreNotExposed(t *testing.T) {
	t.Setenv("SAVORYRAMP_TEST_PASSWORD", upstreamPassword)
	document := strings.Replace(documentText(), "database: receipts\n", "database: receipts\n    password-variable: SAVORYRAMP_TEST_PASSWORD\n", 1)
	synctest.Test(t, func(t *testing.T) {
		f := newClusterWith(t, 1, document, upstreamPassword)
		v, sent := f.vms[0], &logBuffer{}
		f.useEveryPath(v, sent)
		admin := &operator.Admin{}
		admin.Register("callers", v.server.State)
		admin.Register("upstreams", v.upstreams.State)
		getPage := func(path string, handler *operator.Admin) string {
			w := httptest.NewRecorder()
			handler.Metrics = v.metrics.Handler()
			handler.Handler().ServeHTTP(w, httptest.NewRequestWithContext(f.ctx, "GET", path, nil))
			return w.Body.String()
		}
		outputs := map[string]string{"log": f.logs.String(), "state": getPage("/state", admin), "metrics": getPage("/metrics", admin)}
		assert.Assert(t, strings.Contains(outputs["log"], "one-key") && strings.Contains(outputs["metrics"], `"one"`) && len(outputs["state"]) > 100)
		for _, name := range []fakeupstream.ServerName{"a", "b", "c"} {
			outputs["server "+string(name)] = string(f.group.Recorder.Received(name))
		}
		assert.Assert(t, strings.Contains(outputs["server a"], "a-known-statement"))
		list := secretTexts(sent.String())
		assert.Assert(t, len(list) > 20, "%q", list)
		for source, output := range outputs {
			for _, secret := range list {
				assert.Assert(t, !strings.Contains(output, secret), "%q is in %s", secret, source)
			}
		}
	})
}

// useEveryPath logs in and runs requests in all supported ways, with right and wrong
// credentials.
func (f *cluster) useEveryPath(v *vm, sent *logBuffer) {
	f.Helper()
	for _, mode := range []pgx.QueryExecMode{pgx.QueryExecModeSimpleProtocol, pgx.QueryExecModeCacheStatement, pgx.QueryExecModeExec} {
		c, err := f.dialAs(v, "one-key", oneSecret, mode, sent)
		assert.NilError(f, err)
		f.exec(c, "create table if not exists t (id text)")
		f.exec(c, "insert into t values ($1)", "a-known-statement")
		f.exec(c, "set application_name = 'x'")
		f.exec(c, "set savoryramp.idempotent = on")
		go func() {
			time.Sleep(time.Second)
			assert.Check(f, c.PgConn().CancelRequest(f.ctx))
		}()
		_, err = c.Exec(f.ctx, "select pg_sleep(20)")
		assert.Equal(f, sqlState(err), "57014")
		_, err = c.Exec(f.ctx, "selec nonsense")
		assert.Assert(f, err != nil)
		assert.NilError(f, c.Close(f.ctx))
	}
	for key, secret := range map[string]string{"one-key": otherSecret, "absent-key": oneSecret, "other-key": otherSecret} {
		_, err := f.dialAs(v, key, secret, pgx.QueryExecModeExec, sent)
		assert.Assert(f, err != nil)
	}
	startup := map[string]string{"user": "one-key", "database": "desk", "options": "-c savoryramp.max_staleness=1s -c x=" + oneSecret, "password": oneSecret}
	logInRaw(f, v, startup, func(frontend *pgproto3.Frontend) {
		frontend.Send(&pgproto3.PasswordMessage{Password: "cleartext-guess"})
		_ = frontend.Flush()
	})
	logInRaw(f, v, startup, func(frontend *pgproto3.Frontend) {
		frontend.Send(&pgproto3.SASLInitialResponse{AuthMechanism: "cleartext-guess", Data: []byte(oneSecret)})
		_ = frontend.Flush()
	})
	logInRaw(f, v, startup, func(frontend *pgproto3.Frontend) {
		frontend.Send(&pgproto3.Query{String: oneSecret})
		_ = frontend.Flush()
	})
	f.withdrawKey("one-key")
	time.Sleep(changeTimeout)
}

// dialAs logs in with a query mode and records all bytes that are sent.
func (f *cluster) dialAs(v *vm, key, secret string, mode pgx.QueryExecMode, sent *logBuffer) (*pgx.Conn, error) {
	config, err := pgx.ParseConfig(fmt.Sprintf("postgres://%s:%s@%s/desk?sslmode=disable", key, secret, v.address))
	assert.NilError(f, err)
	config.RuntimeParams["options"] = "-c savoryramp.max_staleness=1s"
	config.DefaultQueryExecMode = mode
	config.DialFunc = func(ctx context.Context, network, address string) (net.Conn, error) {
		nc, err := f.network.Dialer("client")(ctx, network, address)
		return recordingConn{nc, sent}, err
	}
	return pgx.ConnectConfig(f.ctx, config)
}
