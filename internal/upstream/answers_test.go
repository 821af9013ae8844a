package upstream

import (
	"bytes"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/joomcode/errorx"
	"go.opentelemetry.io/otel/sdk/metric"
	"go.opentelemetry.io/otel/sdk/metric/metricdata"
	"gotest.tools/v3/assert"

	"github.com/savoryramp/savoryramp/internal/platform"
	"github.com/savoryramp/savoryramp/internal/socket"
)

func number(n string) pgproto3.BackendMessage {
	return &pgproto3.ParameterStatus{Name: answerParameter, Value: n}
}

func row(text string) pgproto3.BackendMessage {
	return &pgproto3.DataRow{Values: [][]byte{[]byte(text)}}
}

// countUnexpected returns the counts of the metric by outcome.
func countUnexpected(t *testing.T, reader *metric.ManualReader) map[string]int64 {
	var data metricdata.ResourceMetrics
	assert.NilError(t, reader.Collect(t.Context(), &data))
	counts := map[string]int64{}
	for _, scope := range data.ScopeMetrics {
		for _, m := range scope.Metrics {
			assert.Equal(t, m.Name, "savoryramp.upstream.answers.unexpected")
			for _, point := range m.Data.(metricdata.Sum[int64]).DataPoints {
				outcome, _ := point.Attributes.Value("outcome")
				counts[outcome.AsString()] += point.Value
			}
		}
	}
	return counts
}

// Messages that don't belong to what was sent must not be returned: repeated answers are
// skipped, anything else breaks the connection. Both are logged and counted.
func TestAnswersThatAreNotTheRequestsOwn(t *testing.T) {
	ready := &pgproto3.ReadyForQuery{TxStatus: 'I'}
	done := &pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")}
	query, sync := &pgproto3.Query{}, &pgproto3.Sync{}
	parse, bind, describe, execute := &pgproto3.Parse{}, &pgproto3.Bind{}, &pgproto3.Describe{ObjectType: 'S'}, &pgproto3.Execute{}
	fatal := &pgproto3.ErrorResponse{Severity: severityFatal, Code: "57P01"}
	failed := &pgproto3.ErrorResponse{Severity: "ERROR", Code: "23505"}
	notification := &pgproto3.NotificationResponse{Payload: "p"}
	login := []pgproto3.BackendMessage{&pgproto3.AuthenticationOk{}, &pgproto3.ParameterStatus{Name: "x", Value: "y"}, number("0"), &pgproto3.BackendKeyData{SecretKey: []byte{1, 2, 3, 4}}, ready}
	for name, test := range map[string]struct {
		unnumbered bool
		sent       []pgproto3.FrontendMessage
		received   []pgproto3.BackendMessage
		// want are the rows, tags, codes and payloads that Receive returns, Z for
		// ReadyForQuery.
		want string
		// skipped and rejected are how many answers are reported.
		skipped, rejected int
	}{
		"own answers":                       {false, []pgproto3.FrontendMessage{query, query}, []pgproto3.BackendMessage{number("1"), row("a"), ready, number("2"), row("b"), ready}, "a Z b Z", 0, 0},
		"repeated before the own":           {false, []pgproto3.FrontendMessage{query, query}, []pgproto3.BackendMessage{number("1"), row("a"), ready, number("1"), row("a"), ready, number("2"), row("b"), ready}, "a Z b Z", 1, 0},
		"repeated after the own":            {false, []pgproto3.FrontendMessage{query, query}, []pgproto3.BackendMessage{number("1"), row("a"), ready, number("2"), row("b"), ready, number("1"), row("a"), ready}, "a Z b Z", 1, 0},
		"repeated error":                    {false, []pgproto3.FrontendMessage{query, query}, []pgproto3.BackendMessage{number("1"), failed, ready, number("1"), failed, ready, number("2"), done, ready}, "23505 Z SELECT 1 Z", 1, 0},
		"several repeated":                  {false, []pgproto3.FrontendMessage{query, query}, []pgproto3.BackendMessage{number("1"), row("a"), ready, number("1"), row("a"), ready, number("1"), row("a"), ready, number("2"), row("b"), ready}, "a Z b Z", 2, 0},
		"repeated start-up":                 {false, []pgproto3.FrontendMessage{query}, append(login[:len(login):len(login)], number("1"), row("a"), ready), "a Z", 1, 0},
		"too high":                          {false, []pgproto3.FrontendMessage{query, query}, []pgproto3.BackendMessage{number("2"), row("b"), ready}, "", 0, 1},
		"not asked for":                     {false, []pgproto3.FrontendMessage{query}, []pgproto3.BackendMessage{number("1"), row("a"), ready, number("2"), row("b"), ready}, "a Z", 0, 1},
		"no number":                         {false, []pgproto3.FrontendMessage{query}, []pgproto3.BackendMessage{row("a"), ready}, "", 0, 1},
		"invalid number":                    {false, []pgproto3.FrontendMessage{query}, []pgproto3.BackendMessage{number("-1"), row("a"), ready}, "", 0, 1},
		"within the own":                    {false, []pgproto3.FrontendMessage{query, query}, []pgproto3.BackendMessage{number("1"), row("a"), ready, number("2"), row("b"), number("1"), row("a"), ready}, "a Z b", 0, 1},
		"repeated in part":                  {false, []pgproto3.FrontendMessage{query, query}, []pgproto3.BackendMessage{number("1"), row("a"), ready, number("1"), row("a"), number("2"), row("b"), ready}, "a Z", 1, 1},
		"position outside":                  {false, []pgproto3.FrontendMessage{query}, []pgproto3.BackendMessage{&pgproto3.ParameterStatus{Name: positionParameter, Value: "1/9"}}, "", 0, 1},
		"valid outside":                     {false, nil, []pgproto3.BackendMessage{notification, &pgproto3.NoticeResponse{}, &pgproto3.ParameterStatus{Name: "TimeZone", Value: "UTC"}, notification}, "p p", 0, 0},
		"notification in a repeated answer": {false, []pgproto3.FrontendMessage{query}, []pgproto3.BackendMessage{number("1"), notification, ready, number("1"), notification, ready, notification}, "p Z p", 1, 0},
		"end of the connection":             {false, nil, []pgproto3.BackendMessage{fatal}, "", 0, 0},
		"parts share a number":              {false, []pgproto3.FrontendMessage{parse, &pgproto3.Flush{}, bind, execute, sync, query}, []pgproto3.BackendMessage{number("1"), row("a"), done, ready, number("1"), row("a"), done, ready, number("2"), row("b"), ready}, "a SELECT 1 Z b Z", 1, 0},

		"unnumbered":                       {true, []pgproto3.FrontendMessage{query, parse, describe, bind, execute, sync}, []pgproto3.BackendMessage{row("a"), done, ready, &pgproto3.ParseComplete{}, &pgproto3.NoData{}, &pgproto3.BindComplete{}, row("b"), done, ready}, "a SELECT 1 Z b SELECT 1 Z", 0, 0},
		"unnumbered, repeated at rest":     {true, []pgproto3.FrontendMessage{query}, []pgproto3.BackendMessage{row("a"), ready, row("a"), ready}, "a Z", 0, 1},
		"unnumbered, extended for simple":  {true, []pgproto3.FrontendMessage{query}, []pgproto3.BackendMessage{&pgproto3.ParseComplete{}}, "", 0, 1},
		"unnumbered, rows for a Parse":     {true, []pgproto3.FrontendMessage{parse, sync}, []pgproto3.BackendMessage{row("a")}, "", 0, 1},
		"unnumbered, suspended for simple": {true, []pgproto3.FrontendMessage{query}, []pgproto3.BackendMessage{&pgproto3.PortalSuspended{}}, "", 0, 1},
		"unnumbered, repeated start-up":    {true, []pgproto3.FrontendMessage{query}, login, "", 0, 1},
		"unnumbered, end":                  {true, nil, []pgproto3.BackendMessage{notification, fatal}, "p", 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			var logged bytes.Buffer
			reader := metric.NewManualReader()
			conn := &scriptedConn{encodeMessages(test.received...)}
			c := &Conn{
				Server: "a", frontend: pgproto3.NewFrontend(conn, conn), netConn: conn, numbered: !test.unnumbered, parameters: map[string]string{},
				monitor: newAnswerMonitor(log.NewLogfmtLogger(&logged), metric.NewMeterProvider(metric.WithReader(reader)).Meter("m")),
			}
			for _, m := range test.sent {
				c.Send(m)
			}
			var got []string
			for {
				m, err := c.Receive(time.Now().Add(time.Second))
				if err != nil {
					assert.Assert(t, errorx.IsOfType(err, ErrBroken), "%v", err)
					break
				}
				switch m := m.(type) {
				case *pgproto3.DataRow:
					got = append(got, firstValue(m))
				case *pgproto3.CommandComplete:
					got = append(got, string(m.CommandTag))
				case *pgproto3.ErrorResponse:
					got = append(got, m.Code)
				case *pgproto3.NotificationResponse:
					got = append(got, m.Payload)
				case *pgproto3.ReadyForQuery:
					got = append(got, "Z")
				case *pgproto3.ParameterStatus:
					assert.Assert(t, !strings.HasPrefix(m.Name, "savoryramp."), "%s was returned", m.Name)
				}
			}
			assert.Equal(t, strings.Join(got, " "), test.want)
			assert.Equal(t, strings.Count(logged.String(), "event=3012 "), test.skipped, logged.String())
			assert.Equal(t, strings.Count(logged.String(), "event=3013 "), test.rejected, logged.String())
			assert.Equal(t, c.notReusable.Load(), test.rejected > 0)
			counts := countUnexpected(t, reader)
			assert.Equal(t, counts[string(outcomeSkipped)], int64(test.skipped))
			assert.Equal(t, counts[string(outcomeClosed)], int64(test.rejected))
		})
	}
}

// A server that doesn't number its answers is reported once, and a connection to it is
// closed if an answer was repeated while it was idle: the next request would get it.
func TestUnnumberedServerRepeatsAnswerAtRest(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	answer := encodeMessages(row("a"), &pgproto3.ReadyForQuery{TxStatus: 'I'})
	accepted := make(chan net.Conn, 10)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- c
			go serveUnnumbered(c, answer)
		}
	}()
	var logged bytes.Buffer
	p := &Pool{
		Server: platform.Server{Name: "a", Address: platform.Address(l.Addr().String())}, Dial: (&net.Dialer{}).DialContext,
		Share: func() int { return 1 }, monitor: newAnswerMonitor(log.NewLogfmtLogger(&logged), nil),
	}
	defer p.close()
	var previous *Conn
	var server net.Conn
	for n, isRepeated := range []bool{false, false, true, false, true, false} {
		c, err := p.acquire(t.Context(), Request{Workspace: "w", Weight: 1})
		assert.NilError(t, err)
		wasClosed := n == 3 || n == 5
		assert.Equal(t, c == previous, n > 0 && !wasClosed, fmt.Sprint(n))
		if c != previous {
			server = <-accepted
		}
		value, err := c.Query("select", time.Now().Add(time.Second))
		assert.NilError(t, err)
		assert.Equal(t, value, "a")
		c.Release(true)
		previous = c
		if isRepeated {
			_, err := server.Write(answer)
			assert.NilError(t, err)
			for deadline := time.Now().Add(time.Second); socket.IsAlive(c.netConn) && time.Now().Before(deadline); {
				<-time.After(time.Millisecond)
			}
		}
	}
	assert.Equal(t, strings.Count(logged.String(), "event=3013 "), 2, logged.String())
	assert.Equal(t, strings.Count(logged.String(), "event=3014 "), 1, logged.String())
}

// serveUnnumbered answers each message.
func serveUnnumbered(c net.Conn, answer []byte) {
	defer c.Close()
	backend := pgproto3.NewBackend(c, c)
	if _, err := backend.ReceiveStartupMessage(); err != nil {
		return
	}
	_, _ = c.Write(encodeMessages(&pgproto3.AuthenticationOk{}, &pgproto3.ReadyForQuery{TxStatus: 'I'}))
	for {
		if _, err := backend.Receive(); err != nil {
			return
		}
		if _, err := c.Write(answer); err != nil {
			return
		}
	}
}
