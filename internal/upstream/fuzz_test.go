package upstream

import (
	"context"
	"io"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/savoryramp/savoryramp/internal/platform"
	"github.com/savoryramp/savoryramp/pkg/term"
)

// scriptedConn is a connection whose peer sends fixed bytes, whatever is written to it.
type scriptedConn struct{ unread []byte }

func (c *scriptedConn) Read(p []byte) (int, error) {
	if len(c.unread) == 0 {
		return 0, io.EOF
	}
	n := copy(p, c.unread)
	c.unread = c.unread[n:]
	return n, nil
}

func (c *scriptedConn) Write(p []byte) (int, error)      { return len(p), nil }
func (c *scriptedConn) Close() error                     { return nil }
func (c *scriptedConn) LocalAddr() net.Addr              { return &net.TCPAddr{} }
func (c *scriptedConn) RemoteAddr() net.Addr             { return &net.TCPAddr{} }
func (c *scriptedConn) SetDeadline(time.Time) error      { return nil }
func (c *scriptedConn) SetReadDeadline(time.Time) error  { return nil }
func (c *scriptedConn) SetWriteDeadline(time.Time) error { return nil }

func encodeMessages(messages ...pgproto3.BackendMessage) []byte {
	var b []byte
	for _, m := range messages {
		b, _ = m.Encode(b)
	}
	return b
}

// FuzzServer checks the handling of arbitrary bytes from a server, during the login or
// on the watch's connection after it.
func FuzzServer(f *testing.F) {
	const status = `{"server":"a","role":"primary","term":1,"received":"1/2","applied":"1/1","starts":[{"term":1,"offset":0}]}`
	ready := &pgproto3.ReadyForQuery{TxStatus: 'I'}
	f.Add(true, encodeMessages(&pgproto3.NotificationResponse{Channel: "savoryramp_position", Payload: status}, &pgproto3.CommandComplete{CommandTag: []byte("LISTEN")}, ready))
	f.Add(true, encodeMessages(&pgproto3.DataRow{Values: [][]byte{[]byte(status)}}, ready))
	f.Add(true, encodeMessages(&pgproto3.ErrorResponse{Code: sqlstateStaleTerm, Message: "m"}, ready, ready))
	f.Add(true, encodeMessages(&pgproto3.ParameterStatus{Name: positionParameter, Value: "1/x"}))
	f.Add(false, encodeMessages(&pgproto3.AuthenticationCleartextPassword{}, &pgproto3.AuthenticationOk{}, &pgproto3.BackendKeyData{ProcessID: 1, SecretKey: []byte{1, 2, 3, 4}}, ready))
	f.Add(false, encodeMessages(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{scramMechanism}}, &pgproto3.AuthenticationSASLContinue{Data: []byte("r=x,s=eA==,i=4096")}))
	f.Add(true, encodeMessages(&pgproto3.DataRow{}, ready))
	f.Add(false, encodeMessages(&pgproto3.AuthenticationSASLFinal{Data: []byte("v=eA==")}))
	numberedLogin := encodeMessages(&pgproto3.AuthenticationOk{}, number("0"), ready)
	listened := encodeMessages(number("1"), &pgproto3.CommandComplete{CommandTag: []byte("LISTEN")}, ready)
	f.Add(false, slices.Concat(numberedLogin, listened, listened, encodeMessages(&pgproto3.NotificationResponse{Payload: status})))
	f.Add(false, slices.Concat(numberedLogin, numberedLogin, listened, encodeMessages(number("2"), ready)))
	f.Add(false, slices.Concat(numberedLogin, encodeMessages(number("x"))))
	f.Fuzz(func(t *testing.T, loggedIn bool, sent []byte) {
		if loggedIn {
			sent = append(encodeMessages(&pgproto3.AuthenticationOk{}, ready), sent...)
		}
		w := &serverWatch{
			server: platform.Server{Name: "a"}, login: Login{User: "u", Password: "p"}, logger: log.NewNopLogger(),
			dial: func(context.Context, string, string) (net.Conn, error) { return &scriptedConn{sent}, nil },
			onStatus: func(_ platform.ServerName, s Status, usable bool) {
				assert.Check(t, !usable || s.Received.Term >= 0 && s.Applied.Offset >= 0)
			},
		}
		err := w.runConnection(t.Context())
		assert.Assert(t, err != nil)
		w.handleDisconnect(t.Context(), err)
	})
}

// FuzzRecord parses arbitrary bytes as a group's record of terms.
func FuzzRecord(f *testing.F) {
	f.Add([]byte(`{"term":2,"state":"active","primary":"a","promoter":"p","starts":[{"term":1,"offset":0}],"reserved-term":3,"reserver":"p"}`))
	f.Add([]byte(`{"term":-1,"starts":null}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		row, err := parseTermRow(platform.Row{Key: "group/g", Version: 3, Change: "c", Body: body})
		if err == nil {
			assert.Assert(t, row.Version == 3 && row.ChangeID == "c" && row.Record.Term >= 0)
		} else {
			assert.Assert(t, errorx.IsOfType(err, term.ErrUnavailable))
		}
	})
}
