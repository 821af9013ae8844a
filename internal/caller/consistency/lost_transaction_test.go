package consistency_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"
)

// loseTransaction begins a transaction with a write and then restarts its server.
func loseTransaction(r *cluster, c *pgx.Conn, texts ...string) {
	for _, text := range append(texts, "insert into t values (1, 1)") {
		assert.NilError(r.t, simpleQuery(r, c, text), text)
	}
	r.server("a").Kill(0)
	r.server("a").Start()
	time.Sleep(time.Second)
	assert.Equal(r.t, sqlState(simpleQuery(r, c, "insert into t values (2, 1)")), "08006")
}

// replySummary sends extended-protocol messages, or a text as a Query if there are
// none. It returns the types, command tags and SQLSTATEs of the replies up to
// ReadyForQuery, and the transaction status.
func replySummary(r *cluster, c *pgx.Conn, text string, messages ...pgproto3.FrontendMessage) string {
	f := c.PgConn().Frontend()
	if len(messages) == 0 {
		messages = []pgproto3.FrontendMessage{&pgproto3.Query{String: text}}
	}
	for _, m := range messages {
		f.Send(m)
	}
	assert.NilError(r.t, f.Flush())
	var replies []string
	for {
		m, err := f.Receive()
		assert.NilError(r.t, err)
		switch m := m.(type) {
		case *pgproto3.ParameterStatus:
		case *pgproto3.CommandComplete:
			replies = append(replies, string(m.CommandTag))
		case *pgproto3.ErrorResponse:
			replies = append(replies, m.Code)
		case *pgproto3.ReadyForQuery:
			return strings.Join(append(replies, string(m.TxStatus)), " ")
		default:
			replies = append(replies, strings.TrimPrefix(fmt.Sprintf("%T", m), "*pgproto3."))
		}
	}
}

// extendedQuery returns the messages that run one statement in the extended protocol.
func extendedQuery(text string) []pgproto3.FrontendMessage {
	return []pgproto3.FrontendMessage{
		&pgproto3.Parse{Query: text}, &pgproto3.Bind{}, &pgproto3.Describe{ObjectType: 'P'}, &pgproto3.Execute{}, &pgproto3.Sync{},
	}
}

// TestEndOfALostTransaction checks that lost transactions end like failed ones in
// PostgreSQL.
func TestEndOfALostTransaction(t *testing.T) {
	for name, test := range map[string]struct {
		end      string
		extended bool
		want     string
	}{
		"commit":                      {"commit", false, "ROLLBACK I"},
		"rollback":                    {"rollback", false, "ROLLBACK I"},
		"commit and chain":            {"commit and chain", false, "ROLLBACK T"},
		"rollback work and chain":     {"ROLLBACK work /* now */ AND\nCHAIN -- again\n;", false, "ROLLBACK T"},
		"no chain":                    {"commit and no chain", false, "ROLLBACK I"},
		"chain in a comment":          {"commit /* and chain */", false, "ROLLBACK I"},
		"extended commit":             {"commit", true, "ParseComplete BindComplete NoData ROLLBACK I"},
		"extended commit and chain":   {"commit and chain", true, "ParseComplete BindComplete NoData ROLLBACK T"},
		"extended, not an end":        {"select 1", true, "25P02 E"},
		"commit and more in one text": {"commit; select 1", false, "25P02 E"},
		"rollback to a savepoint":     {"rollback to savepoint one", false, "25P02 E"},
	} {
		t.Run(name, func(t *testing.T) {
			runTest(t, nil, func(t *testing.T, r *cluster) {
				c := r.connect("vm1", "")
				loseTransaction(r, c, "begin")
				var messages []pgproto3.FrontendMessage
				if test.extended {
					messages = extendedQuery(test.end)
				}
				assert.Equal(t, replySummary(r, c, test.end, messages...), test.want)
				if !strings.HasSuffix(test.want, "T") {
					return
				}
				// The following statements must be in a new transaction.
				assert.Equal(t, replySummary(r, c, "insert into t values (3, 1)"), "INSERT 0 1 T")
				assert.Equal(t, replySummary(r, c, "rollback"), "ROLLBACK I")
				v, err := r.readValue(r.connect("vm1", ""), 3)
				assert.NilError(t, err)
				assert.Equal(t, v, 0)
			})
		})
	}
}

// TestChainedTransactionKeepsItsModes chains read-only transactions, and transactions
// whose modes the proxy doesn't know.
func TestChainedTransactionKeepsItsModes(t *testing.T) {
	for name, test := range map[string]struct {
		texts []string
		want  string
	}{
		"set read only": {[]string{"begin", "set transaction read only"}, "ROLLBACK T 25006"},
		"one text":      {[]string{"begin; select 1"}, "0A000 E 25P02"},
		"a chained one": {[]string{"begin", "set transaction read only", "commit and chain"}, "ROLLBACK T 25006"},
	} {
		t.Run(name, func(t *testing.T) {
			runTest(t, nil, func(t *testing.T, r *cluster) {
				c := r.connect("vm1", "")
				for _, text := range test.texts {
					assert.NilError(t, simpleQuery(r, c, text))
				}
				r.server("a").Kill(0)
				r.server("a").Start()
				time.Sleep(time.Second)
				assert.Equal(t, sqlState(simpleQuery(r, c, "select 1")), "08006")
				got := replySummary(r, c, "rollback and chain")
				assert.Equal(t, got+" "+sqlState(simpleQuery(r, c, "insert into t values (3, 1)")), test.want)
			})
		})
	}
}

// TestChainWithoutAServer ends a lost transaction with AND CHAIN while no server is
// available. The session must stay in the lost transaction.
func TestChainWithoutAServer(t *testing.T) {
	runTest(t, nil, func(t *testing.T, r *cluster) {
		c := r.connect("vm1", "")
		loseTransaction(r, c, "begin")
		r.server("a").Kill(0)
		time.Sleep(time.Second)
		assert.Equal(t, replySummary(r, c, "commit and chain"), "53300 E")
		assert.Equal(t, replySummary(r, c, "insert into t values (3, 1)"), "25P02 E")
		r.server("a").Start()
		time.Sleep(3 * time.Second)
		assert.Equal(t, replySummary(r, c, "commit and chain"), "ROLLBACK T")
	})
}

// TestPreparedEndOfALostTransaction first only prepares the COMMIT, which must not end
// the transaction.
func TestPreparedEndOfALostTransaction(t *testing.T) {
	runTest(t, nil, func(t *testing.T, r *cluster) {
		c := r.connect("vm1", "")
		loseTransaction(r, c, "begin")
		parse := &pgproto3.Parse{Name: "end", Query: "commit"}
		describe := &pgproto3.Describe{ObjectType: 'S', Name: "end"}
		assert.Equal(t, replySummary(r, c, "", parse, describe, &pgproto3.Sync{}), "ParseComplete ParameterDescription NoData E")
		bind, execute := &pgproto3.Bind{PreparedStatement: "end"}, &pgproto3.Execute{}
		assert.Equal(t, replySummary(r, c, "", bind, execute, &pgproto3.Sync{}), "BindComplete ROLLBACK I")
	})
}

// TestChainedCommitIsConfirmed runs COMMIT AND CHAIN while no replica can confirm the
// commit.
func TestChainedCommitIsConfirmed(t *testing.T) {
	runTest(t, nil, func(t *testing.T, r *cluster) {
		c := r.connect("vm1", "")
		assert.Equal(t, replySummary(r, c, "begin"), "BEGIN T")
		assert.Equal(t, replySummary(r, c, "insert into t values (1, 1)"), "INSERT 0 1 T")
		assert.Equal(t, replySummary(r, c, "commit and chain"), "COMMIT T")
		assert.Equal(t, replySummary(r, c, "insert into t values (2, 1)"), "INSERT 0 1 T")
		r.server("a").Cut(true)
		assert.Equal(t, replySummary(r, c, "commit and chain"), "08007 I")
		assert.Equal(t, replySummary(r, c, "rollback and chain"), "25P01 I")
	})
}
