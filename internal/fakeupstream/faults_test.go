package fakeupstream_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jackc/pgx/v5"
	"gotest.tools/v3/assert"

	"github.com/savoryramp/savoryramp/internal/fakeupstream"
)

func TestKillLosesTheTail(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := start(t, nil)
		a := b.connect("a", nil)
		b.exec(a, "create table t (n int)")
		b.exec(a, "insert into t values (1)")
		b.Server("a").Kill(1)
		synctest.Wait()
		_, err := a.Exec(b.ctx, "select 1")
		assert.Assert(t, err != nil)
		_, err = b.network.Dialer("client")(b.ctx, "tcp", "a:1")
		assert.Assert(t, err != nil)
		b.Server("a").Start()
		synctest.Wait()
		a = b.connect("a", nil)
		assert.Equal(t, b.int(a, "select count(*) from t"), int64(0))
		assert.Equal(t, b.status(a, "select savoryramp_status()").Role, fakeupstream.Replica)
	})
}

func TestKilledPrimaryKeepsItsTermAndLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := start(t, nil)
		b.exec(b.connect("a", nil), "create table t (n int)")
		b.Server("a").Kill(0)
		synctest.Wait()
		b.Server("a").Start()
		synctest.Wait()
		a := b.connect("a", nil)
		b.exec(a, "insert into t values (1)")
		assert.Equal(t, position(a), "1/2")
	})
}

func TestDroppedAnswerTakesEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := start(t, nil)
		a := b.connect("a", nil)
		b.exec(a, "create table t (n int)")
		b.Server("a").DropAnswer()
		_, err := a.Exec(b.ctx, "insert into t values (1)")
		assert.Assert(t, err != nil)
		a = b.connect("a", nil)
		assert.Equal(t, b.int(a, "select count(*) from t"), int64(1))
		count := b.Recorder.Count(fakeupstream.Statement{SQL: "insert into t values (1)"})
		assert.Equal(t, count, fakeupstream.Count{Ran: 1, Committed: 1})
	})
}

func TestFreezeSilenceAndLate(t *testing.T) {
	for name, c := range map[string]struct {
		fault func(s *fakeupstream.Server)
		// old and fresh tell whether a connection answers within a second.
		old, fresh bool
	}{
		"none":   {func(*fakeupstream.Server) {}, true, true},
		"freeze": {func(s *fakeupstream.Server) { s.Freeze(true) }, false, false},
		"silent": {func(s *fakeupstream.Server) { s.Silence() }, false, true},
		"late":   {func(s *fakeupstream.Server) { s.SetLate(10 * time.Second) }, false, false},
		"slow":   {func(s *fakeupstream.Server) { s.SetService(10 * time.Second) }, false, false},
		"refuse": {func(s *fakeupstream.Server) { s.Refuse(true) }, true, false},
		"thawed": {func(s *fakeupstream.Server) { s.Freeze(true); s.Freeze(false) }, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := start(t, nil)
				old := b.connect("a", nil)
				c.fault(b.Server("a"))
				synctest.Wait()
				ctx, cancel := context.WithTimeout(b.ctx, time.Second)
				defer cancel()
				_, err := old.Exec(ctx, "select 1")
				assert.Equal(t, err == nil, c.old)
				again, cancel := context.WithTimeout(b.ctx, time.Second)
				defer cancel()
				config := old.Config().Copy()
				fresh, err := pgx.ConnectConfig(again, config)
				if err == nil {
					_, err = fresh.Exec(again, "select 1")
					_ = fresh.Close(again)
				}
				assert.Equal(t, err == nil, c.fresh)
			})
		})
	}
}

func TestSlotsServeInTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := start(t, func(s *fakeupstream.Server) { s.Slots, s.Service = 2, 100*time.Millisecond })
		done := make(chan time.Duration, 6)
		begun := time.Now()
		for range 6 {
			c := b.connect("a", nil)
			go func() {
				_, err := c.Exec(b.ctx, "select 1", pgx.QueryExecModeExec)
				assert.Check(t, err)
				done <- time.Since(begun)
			}()
		}
		var last time.Duration
		for range 6 {
			last = <-done
		}
		assert.Equal(t, last, 300*time.Millisecond)
	})
}

func TestConnectionLimitAndPassword(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := start(t, func(s *fakeupstream.Server) {
			s.Connections, s.Password, s.ConnectDelay = 1, "secret", 10*time.Millisecond
		})
		begun := time.Now()
		c := b.connect("a", nil)
		assert.Equal(t, time.Since(begun), 10*time.Millisecond)
		_, err := pgx.ConnectConfig(b.ctx, c.Config().Copy())
		assert.ErrorContains(t, err, "53300")
		wrong := c.Config().Copy()
		wrong.Password = "other"
		assert.NilError(t, c.Close(b.ctx))
		synctest.Wait()
		_, err = pgx.ConnectConfig(b.ctx, wrong)
		assert.ErrorContains(t, err, "28P01")
	})
}

func TestAdmin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := start(t, nil)
		for body, want := range map[string]int{
			`{"server":"a","fault":"cut","on":true}`:            http.StatusNoContent,
			`{"server":"b","fault":"lag","duration":"1500ms"}`:  http.StatusNoContent,
			`{"server":"c","fault":"kill","on":true}`:           http.StatusNoContent,
			`{"server":"c","fault":"late","duration":"a week"}`: http.StatusBadRequest,
			`{"server":"z","fault":"cut","on":true}`:            http.StatusBadRequest,
			`{"server":"a","fault":"flood"}`:                    http.StatusBadRequest,
		} {
			w := httptest.NewRecorder()
			b.Admin().ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/fault", strings.NewReader(body)))
			assert.Equal(t, w.Code, want, body)
		}
		state := b.State()
		assert.Assert(t, state[0].Cut && !state[1].Cut)
		assert.Equal(t, state[1].Lag, "1.5s")
		assert.Assert(t, state[2].Killed)
	})
}

func TestRecorderKeepsTransactionsApart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := start(t, nil)
		a := b.connect("a", nil)
		b.exec(a, "create table t (id text)")
		tx, err := a.Begin(b.ctx)
		assert.NilError(t, err)
		for _, id := range []string{"id-17", "id-18"} {
			_, err = tx.Exec(b.ctx, "insert into t values ($1)", id)
			assert.NilError(t, err)
		}
		assert.NilError(t, tx.Rollback(b.ctx))
		runs := b.Recorder.Runs()
		assert.Equal(t, len(runs), 3)
		assert.Assert(t, runs[0].Transaction != runs[1].Transaction)
		assert.Equal(t, runs[1].Transaction, runs[2].Transaction)
		st := fakeupstream.Statement{SQL: "insert into t values (?1)", Args: []any{"id-17"}}
		assert.Equal(t, b.Recorder.Count(st), fakeupstream.Count{Ran: 1})
		assert.Assert(t, bytes.Contains(b.Recorder.Received("a"), []byte("id-17")))
		assert.Equal(t, len(b.Recorder.Commits()), 1)
	})
}

// The admin page tells the most connections that a server ever had, and when and over
// which connection each entry was committed.
func TestAdminTellsPeakAndCommits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := start(t, nil)
		first, second := b.connect("a", nil), b.connect("a", nil)
		b.exec(first, "create table t (id text)")
		time.Sleep(time.Second)
		b.exec(second, "insert into t values ('id-1')")
		assert.NilError(t, second.Close(b.ctx))
		synctest.Wait()
		state := b.State()[0]
		assert.Equal(t, state.Connections, 1)
		assert.Equal(t, state.MostConnections, 2)

		w := httptest.NewRecorder()
		b.Admin().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/history", nil))
		type entry struct {
			Connection fakeupstream.ConnectionID `json:"connection"`
			At         time.Time                 `json:"at"`
		}
		var log []entry
		for d := json.NewDecoder(w.Body); d.More(); {
			var e entry
			assert.NilError(t, d.Decode(&e))
			log = append(log, e)
		}
		assert.Equal(t, len(log), 2)
		assert.Assert(t, log[0].Connection != log[1].Connection)
		assert.Assert(t, log[1].At.Sub(log[0].At) >= time.Second)
	})
}
