package caller_test

import (
	"regexp"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestKeysOpenOnlyTheirWorkspace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCluster(t, 1)
		tests := map[string]struct{ key, secret, database, want string }{
			"own":                          {"one-key", oneSecret, "desk", ""},
			"another workspace's database": {"one-key", oneSecret, "till", "3D000"},
			"first workspace's database":   {"other-key", otherSecret, "desk", "3D000"},
			"another key's secret":         {"one-key", otherSecret, "desk", "28P01"},
			"wrong secret, absent route":   {"one-key", otherSecret, "absent", "28P01"},
			"absent route":                 {"one-key", oneSecret, "absent", "3D000"},
			"key of another deployment":    {"two-key", oneSecret, "desk", "28P01"},
			"no key":                       {"", "", "desk", "28P01"},
			"open route without a key":     {"anybody", "", "board", ""},
			"open route, wrong secret":     {"one-key", "wrong", "board", ""},
			"open workspace's key, closed": {"public-key", otherSecret, "desk", "3D000"},
		}
		for name, test := range tests {
			c, err := f.dial(f.vms[0], test.key, test.secret, test.database)
			assert.Equal(t, sqlState(err), test.want, "%s: %v", name, err)
			if test.want == "" {
				assert.NilError(t, err, name)
				f.exec(c, "select 1")
				assert.NilError(t, c.Close(f.ctx))
			}
		}
	})
}

func TestOpenSessionsFollowTheDocument(t *testing.T) {
	tests := map[string]struct{ old, changed string }{
		"workspace loses the database":  {"databases: [desk]", "databases: [till]"},
		"database moves to an upstream": {"{name: desk, upstream: r1}", "{name: desk, upstream: r2}"},
		"database goes":                 {"{name: desk, upstream: r1}\n", "{name: desk2, upstream: r1}\n"},
		"key gets another secret":       {`{name: one-key, verifier: "` + string(verifierBySecret()[oneSecret]), `{name: one-key, verifier: "` + string(verifierBySecret()[otherSecret])},
		"key goes":                      {"{name: one-key,", "{name: new-key,"},
		"key moves to a workspace":      {"{name: one-key,", "{name: moved-key,"},
		"open route is closed":          {"upstream: r1, open: true, open-workspace: public}", "upstream: r1}"},
		"open route changes workspace":  {"open-workspace: public", "open-workspace: other"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newCluster(t, 1)
				open := strings.HasPrefix(name, "open")
				connect := func() *pgx.Conn {
					if open {
						return f.connect(f.vms[0], "anybody", "", "board")
					}
					return f.connectAsOne(f.vms[0])
				}
				idle, busy, otherSession := connect(), connect(), f.connect(f.vms[0], "other-key", otherSecret, "till")
				f.exec(busy, "begin")
				f.exec(busy, "select 1")
				changed := strings.Replace(documentText(), test.old, test.changed, 1)
				changed = strings.Replace(changed, "[desk]", "["+databaseName(changed)+"]", 1)
				if strings.Contains(changed, "moved-key") {
					changed = strings.Replace(changed, "{name: other-key,", "{name: one-key, verifier: \""+string(verifierBySecret()[oneSecret])+"\"}\n      - {name: other-key,", 1)
				}
				f.applyDocument(changed)
				time.Sleep(changeTimeout)
				assert.Assert(t, !f.canQuery(idle) && !f.canQuery(busy), "a session still works under the older document")
				assert.Assert(t, f.canQuery(otherSession))
			})
		})
	}
}

// databaseName returns the name of the first workspace's database in a document.
func databaseName(document string) string {
	if strings.Contains(document, "name: desk2") {
		return "desk2"
	}
	return "desk"
}

func TestPooledConnectionsKeepNothingOfAnotherWorkspace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCluster(t, 1)
		f.connectionShare.Store(1)
		oneSession, otherSession := f.connectAsOne(f.vms[0]), f.connect(f.vms[0], "other-key", otherSecret, "till")
		// connectionShare is 1, so both sessions use the same connection to the
		// primary. The settings are made in a third session, since connections with
		// settings are closed on release.
		f.exec(f.connectAsOne(f.vms[0]), "set shop.note = 'of one'; create table if not exists t (n int)")
		f.exec(oneSession, "insert into t values ($1)", 7)
		assert.Equal(t, readNote(f, otherSession), "")
		received := string(f.group.Recorder.Received("a"))
		assert.Assert(t, strings.Contains(received, "DISCARD ALL"), "the test must use the same connection")
		names := regexp.MustCompile(`savoryramp-[0-9a-f]+-\d+`).FindAllString(string(f.group.Recorder.Received("a")), -1)
		assert.Assert(t, len(names) > 0)
		f.exec(oneSession, "insert into t values ($1)", 8)
		for _, name := range names {
			assert.Equal(t, bindStatement(f, otherSession, name), "26000")
		}
	})
}

// readNote reads the setting shop.note on the primary.
func readNote(f *cluster, c *pgx.Conn) string {
	f.Helper()
	results, err := c.PgConn().Exec(f.ctx, "begin; show shop.note; commit").ReadAll()
	assert.NilError(f, err)
	return string(results[1].Rows[0][0])
}

// bindStatement executes a prepared statement that the session hasn't prepared, in a
// transaction on the primary, and returns the SQLSTATE.
func bindStatement(f *cluster, c *pgx.Conn, name string) string {
	f.Helper()
	f.exec(c, "begin")
	defer f.exec(c, "rollback")
	frontend := c.PgConn().Frontend()
	frontend.Send(&pgproto3.Bind{PreparedStatement: name, Parameters: [][]byte{[]byte("9")}})
	frontend.Send(&pgproto3.Execute{})
	frontend.Send(&pgproto3.Sync{})
	assert.NilError(f, frontend.Flush())
	state := ""
	for {
		m, err := frontend.Receive()
		assert.NilError(f, err)
		switch m := m.(type) {
		case *pgproto3.ErrorResponse:
			state = m.Code
		case *pgproto3.ReadyForQuery:
			return state
		}
	}
}

// turn is one use of the shared connection by one of the callers.
type turn struct {
	caller int
	action string
}

func TestSettingsNeverPassBetweenWorkspaces(t *testing.T) {
	actions := rapid.SampledFrom([]string{"set", "set in a batch", "begin and set", "read"})
	checkProperty(t, "8", func(r *rapid.T) {
		turns := rapid.SliceOfN(rapid.Custom(func(r *rapid.T) turn {
			return turn{rapid.IntRange(0, 3).Draw(r, "caller"), actions.Draw(r, "what")}
		}), 2, 20).Draw(r, "turns")
		synctest.Test(t, func(t *testing.T) {
			f := newCluster(t, 1)
			f.connectionShare.Store(1)
			var callers []*pgx.Conn
			for range 2 {
				callers = append(callers, f.connectAsOne(f.vms[0]), f.connect(f.vms[0], "other-key", otherSecret, "till"))
			}
			values := []string{"of one", "of other"}
			for _, n := range turns {
				c, value := callers[n.caller], values[n.caller%2]
				switch n.action {
				case "set":
					f.exec(c, "set shop.note = '"+value+"'")
				case "set in a batch":
					f.exec(c, "set shop.note = '"+value+"'; select 1; create table if not exists t (n int)")
				case "begin and set":
					f.exec(c, "begin")
					f.exec(c, "set shop.note = '"+value+"'")
					f.exec(c, "commit")
				}
				got := readNote(f, c)
				assert.Assert(t, got == "" || got == value, "%q was seen by the workspace of %q: %+v", got, value, turns)
			}
		})
		if t.Failed() {
			r.FailNow()
		}
	})
}
