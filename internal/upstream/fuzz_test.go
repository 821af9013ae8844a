package upstream

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/savoryramp/savoryramp/internal/platform"
	"github.com/savoryramp/savoryramp/pkg/term"
)

// reply is a server's end that answers whatever it is asked with bytes made beforehand.
type reply struct{ unread []byte }

func (r *reply) Read(p []byte) (int, error) {
	if len(r.unread) == 0 {
		return 0, io.EOF
	}
	n := copy(p, r.unread)
	r.unread = r.unread[n:]
	return n, nil
}

func (r *reply) Write(p []byte) (int, error)      { return len(p), nil }
func (r *reply) Close() error                     { return nil }
func (r *reply) LocalAddr() net.Addr              { return &net.TCPAddr{} }
func (r *reply) RemoteAddr() net.Addr             { return &net.TCPAddr{} }
func (r *reply) SetDeadline(time.Time) error      { return nil }
func (r *reply) SetReadDeadline(time.Time) error  { return nil }
func (r *reply) SetWriteDeadline(time.Time) error { return nil }

func replies(messages ...pgproto3.BackendMessage) []byte {
	var b []byte
	for _, m := range messages {
		b, _ = m.Encode(b)
	}
	return b
}

// FuzzServer is a server that sends any bytes: at the login, or after one to whoever
// watches it.
func FuzzServer(f *testing.F) {
	const status = `{"server":"a","role":"primary","term":1,"received":"1/2","applied":"1/1","starts":[{"term":1,"offset":0}]}`
	ready := &pgproto3.ReadyForQuery{TxStatus: 'I'}
	f.Add(true, replies(&pgproto3.NotificationResponse{Channel: "savoryramp_position", Payload: status}, &pgproto3.CommandComplete{CommandTag: []byte("LISTEN")}, ready))
	f.Add(true, replies(&pgproto3.DataRow{Values: [][]byte{[]byte(status)}}, ready))
	f.Add(true, replies(&pgproto3.ErrorResponse{Code: codeTerm, Message: "m"}, ready, ready))
	f.Add(true, replies(&pgproto3.ParameterStatus{Name: positionParameter, Value: "1/x"}))
	f.Add(false, replies(&pgproto3.AuthenticationCleartextPassword{}, &pgproto3.AuthenticationOk{}, &pgproto3.BackendKeyData{ProcessID: 1, SecretKey: []byte{1, 2, 3, 4}}, ready))
	f.Add(false, replies(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{scramMechanism}}, &pgproto3.AuthenticationSASLContinue{Data: []byte("r=x,s=eA==,i=4096")}))
	f.Add(true, replies(&pgproto3.DataRow{}, ready))
	f.Add(false, replies(&pgproto3.AuthenticationSASLFinal{Data: []byte("v=eA==")}))
	f.Fuzz(func(t *testing.T, loggedIn bool, sent []byte) {
		if loggedIn {
			sent = append(replies(&pgproto3.AuthenticationOk{}, ready), sent...)
		}
		w := &watch{
			server: platform.Server{Name: "a"}, login: Login{User: "u", Password: "p"}, logger: log.NewNopLogger(),
			dial: func(context.Context, string, string) (net.Conn, error) { return &reply{sent}, nil },
			report: func(_ platform.ServerName, s Status, usable bool) {
				assert.Check(t, !usable || s.Received.Term >= 0 && s.Applied.Offset >= 0)
			},
		}
		err := w.hold(t.Context())
		assert.Assert(t, err != nil)
		w.lost(t.Context(), err)
	})
}

// FuzzRecord reads any body as a group's record of terms.
func FuzzRecord(f *testing.F) {
	f.Add([]byte(`{"term":2,"state":"active","primary":"a","promoter":"p","starts":[{"term":1,"offset":0}],"reserved-term":3,"reserver":"p"}`))
	f.Add([]byte(`{"term":-1,"starts":null}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		row, err := termRow(platform.Row{Key: "group/g", Version: 3, Change: "c", Body: body})
		if err == nil {
			assert.Assert(t, row.Version == 3 && row.Change == "c" && row.Record.Term >= 0)
		} else {
			assert.Assert(t, errorx.IsOfType(err, term.ErrUnavailable))
		}
	})
}
