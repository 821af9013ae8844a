package consistency_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/savoryramp/savoryramp/internal/fakeupstream"
)

// duplicateReport collects what callers saw while answers were duplicated.
type duplicateReport struct {
	mu           sync.Mutex
	served, lost int
	// violations are the answers that don't belong to their request.
	violations []string
	// acknowledged and notRun are the ids of the inserts with these outcomes.
	acknowledged, notRun []int
}

// count counts a request, and records a violation unless its answer is right. A request
// that fails with a savoryramp error, or with the connection, isn't served.
func (d *duplicateReport) count(err error, isRight bool, format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if isProxyError(err) {
		d.lost++
		return
	}
	d.served++
	if !isRight {
		d.violations = append(d.violations, fmt.Sprintf(format, args...))
	}
}

// insert counts an insert of an id.
func (d *duplicateReport) insert(id int, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case err == nil:
		d.acknowledged = append(d.acknowledged, id)
	case isNotRun(err):
		d.notRun = append(d.notRun, id)
	}
}

// isProxyError reports whether an error is savoryramp's own, or that of a closed
// connection, and not one of a server.
func isProxyError(err error) bool {
	var e *pgconn.PgError
	if err == nil {
		return false
	}
	return !errors.As(err, &e) || strings.HasPrefix(e.Message, "savoryramp:")
}

// duplicateCaller is a caller whose statements show whose answer it gets.
type duplicateCaller struct {
	*cluster
	report *duplicateReport
	random *rand.Rand
	conn   *pgx.Conn
	// number of the next request; unique in the test.
	number int
}

// simple runs a text and returns its rows as texts, and the command tags.
func (d *duplicateCaller) simple(sql string) (rows, tags []string, err error) {
	ctx, cancel := context.WithTimeout(d.ctx, 10*time.Second)
	defer cancel()
	results, err := d.conn.PgConn().Exec(ctx, sql).ReadAll()
	for _, r := range results {
		for _, row := range r.Rows {
			rows = append(rows, string(row[0]))
		}
		tags = append(tags, r.CommandTag.String())
	}
	return rows, tags, err
}

// run runs one random request.
func (d *duplicateCaller) run() {
	d.number++
	n := d.number
	switch d.random.IntN(8) {
	case 0:
		rows, _, err := d.simple(fmt.Sprintf("select 'row of %d'", n))
		d.report.count(err, err == nil && len(rows) == 1 && rows[0] == fmt.Sprint("row of ", n), "read %d got %q, %v", n, rows, err)
	case 1:
		ctx, cancel := context.WithTimeout(d.ctx, 10*time.Second)
		defer cancel()
		var text string
		err := d.conn.QueryRow(ctx, "select $1", fmt.Sprint(n)).Scan(&text)
		d.report.count(err, err == nil && text == fmt.Sprint(n), "extended read %d got %q, %v", n, text, err)
	case 2:
		_, tags, err := d.simple(fmt.Sprintf("insert into w values (%d)", n))
		d.report.count(err, err == nil && slices.Equal(tags, []string{"INSERT 0 1"}), "insert %d got %q, %v", n, tags, err)
		d.report.insert(n, err)
	case 3:
		_, tags, err := d.simple("insert into w values (0)")
		d.report.count(err, sqlState(err) == "23505", "insert of an existing id (%d) got %q, %v", n, tags, err)
	case 4:
		d.runFailedTransaction(n)
	case 5:
		ctx, cancel := context.WithTimeout(d.ctx, 10*time.Second)
		defer cancel()
		k := n%4 + 1
		tag, err := d.conn.Exec(ctx, "update u set v = v + 1 where id <= $1", k)
		d.report.count(err, err == nil && tag.RowsAffected() == int64(k), "update %d of %d rows got %q, %v", n, k, tag, err)
	case 6:
		_, tags, err := d.simple(fmt.Sprintf("set app.who = '%d'", n))
		d.report.count(err, err == nil && slices.Equal(tags, []string{"SET"}), "set %d got %q, %v", n, tags, err)
		if err == nil {
			rows, _, err := d.simple("show app.who")
			d.report.count(err, err == nil && len(rows) == 1 && rows[0] == fmt.Sprint(n), "show %d got %q, %v", n, rows, err)
		}
	case 7:
		d.runCancelled(n)
	}
}

// runFailedTransaction runs a transaction whose second insert fails. Its commit must not
// be acknowledged.
func (d *duplicateCaller) runFailedTransaction(n int) {
	for _, statement := range []struct{ sql, tag, code string }{
		{"begin", "BEGIN", ""},
		{fmt.Sprintf("insert into w values (%d)", n), "INSERT 0 1", ""},
		{"insert into w values (0)", "", "23505"},
		{"commit", "ROLLBACK", ""},
	} {
		_, tags, err := d.simple(statement.sql)
		isRight := sqlState(err) == statement.code && strings.Join(tags, "; ") == statement.tag
		d.report.count(err, isRight, "%s in transaction %d got %q, %v", statement.sql, n, tags, err)
		if isProxyError(err) {
			_, _, _ = d.simple("rollback")
			return
		}
	}
}

// runCancelled cancels a long statement.
func (d *duplicateCaller) runCancelled(n int) {
	ctx, cancel := context.WithTimeout(d.ctx, time.Second)
	defer cancel()
	time.AfterFunc(50*time.Millisecond, func() { _ = d.conn.PgConn().CancelRequest(ctx) })
	rows, _, err := d.simple("select pg_sleep(0.3)")
	d.report.count(err, sqlState(err) == "57014", "cancelled statement %d got %q, %v", n, rows, err)
	<-ctx.Done()
}

// duplicateAnswers makes the servers send many answers twice.
func (r *cluster) duplicateAnswers(seed uint64) { r.duplicateShare(seed, 0.3) }

// duplicateShare makes the servers send a share of their answers twice, up to 500 ms late.
func (r *cluster) duplicateShare(seed uint64, share float64) {
	for n, s := range r.group.Servers {
		s.SetDuplicates(fakeupstream.Duplicates{Share: share, MaxDelay: 500 * time.Millisecond, Seed: seed + uint64(n)})
	}
}

// runDuplicates runs callers of two workspaces on two VMs while servers duplicate
// answers.
func runDuplicates(t *testing.T, seed uint64, share float64, unnumbered bool) (*duplicateReport, *fakeupstream.Recorder) {
	r := startCluster(t, func(r *cluster) {
		r.share = 2
		for _, s := range r.group.Servers {
			s.Unnumbered = unnumbered
		}
	})
	defer r.stop()
	setup := r.connect("vm1", "")
	for _, sql := range []string{
		"create table w (id int primary key)", "insert into w values (0)",
		"create table u (id int primary key, v int)", "insert into u values (1, 0), (2, 0), (3, 0), (4, 0)",
	} {
		r.exec(setup, sql)
	}
	r.duplicateShare(seed, share)
	report := &duplicateReport{}
	var callers sync.WaitGroup
	for n := range 8 {
		d := &duplicateCaller{cluster: r, report: report, random: rand.New(rand.NewPCG(seed, uint64(n))), number: (n + 1) * 1000}
		callers.Go(func() {
			for range 40 {
				if d.conn == nil || d.conn.IsClosed() {
					var err error
					if d.conn, err = r.dial([]string{"vm1", "vm2"}[n%2], "", []string{"receipts", "others"}[n/2%2]); err != nil {
						report.count(err, true, "login")
						d.conn = nil
						continue
					}
				}
				d.run()
				time.Sleep(time.Duration(d.random.IntN(200)) * time.Millisecond)
			}
		})
	}
	callers.Wait()
	return report, r.group.Recorder
}

// TestDuplicatedAnswersReachNoCaller runs callers while servers send answers a second
// time on the same connection, up to 500 ms late. No caller may get rows, command tags or
// errors of another request, no failed write or commit may be acknowledged, errors that
// say that nothing was run must be true, and at least 95% of the requests must be served.
func TestDuplicatedAnswersReachNoCaller(t *testing.T) {
	served, lost := 0, 0
	rapid.Check(t, func(c *rapid.T) {
		seed := rapid.Uint64().Draw(c, "seed")
		share := rapid.SampledFrom([]float64{0.02, 0.2, 0.9}).Draw(c, "share")
		synctest.Test(t, func(t *testing.T) {
			report, recorder := runDuplicates(t, seed, share, false)
			served, lost = served+report.served, lost+report.lost
			assert.Assert(t, len(report.violations) == 0, "seed %d, share %v: %d wrong answers of %d, such as\n%s", seed, share,
				len(report.violations), report.served, strings.Join(report.violations[:min(5, len(report.violations))], "\n"))
			assert.Assert(t, 20*report.lost <= report.served, "seed %d, share %v: %d of %d requests not served", seed, share, report.lost, report.served+report.lost)
			committed := map[string]int{}
			for _, e := range recorder.Commits() {
				for _, st := range e.Statements {
					committed[st.SQL]++
				}
			}
			for _, id := range report.acknowledged {
				assert.Equal(t, committed[fmt.Sprintf("insert into w values (%d)", id)], 1, "seed %d, share %v: insert %d was acknowledged", seed, share, id)
			}
			for _, id := range report.notRun {
				assert.Equal(t, committed[fmt.Sprintf("insert into w values (%d)", id)], 0, "seed %d, share %v: insert %d was reported as not run", seed, share, id)
			}
		})
	})
	t.Logf("%d requests served, %d not", served, lost)
}

// TestUnnumberedServersAreServed runs the same callers on servers that don't number their
// answers, and repeat none. The checks that remain must not refuse right answers.
func TestUnnumberedServersAreServed(t *testing.T) {
	rapid.Check(t, func(c *rapid.T) {
		seed := rapid.Uint64().Draw(c, "seed")
		synctest.Test(t, func(t *testing.T) {
			report, _ := runDuplicates(t, seed, 0, true)
			assert.Assert(t, len(report.violations) == 0 && report.lost == 0, "seed %d: %d requests not served, wrong answers\n%s", seed,
				report.lost, strings.Join(report.violations, "\n"))
		})
	})
}

// TestRoamingSessionsAreConsistentWithDuplicates checks the histories of sessions that
// reconnect to different VMs while answers come twice: a position, status or commit that
// is taken from a duplicate makes a session miss its own write.
func TestRoamingSessionsAreConsistentWithDuplicates(t *testing.T) {
	rapid.Check(t, func(c *rapid.T) {
		seed := rapid.Uint64().Draw(c, "seed")
		var h *history
		synctest.Test(t, func(t *testing.T) {
			r := startCluster(t, nil)
			defer r.stop()
			r.duplicateAnswers(seed)
			for _, s := range r.group.Servers[1:] {
				s.SetLag(20 * time.Millisecond)
			}
			h = r.recordHistory(seed, 0)
		})
		assert.Assert(t, porcupine.CheckOperations(registerModel, h.operations), "a session missed its own writes: seed %d", seed)
		assert.Equal(t, h.unknownOutcomes, 0, "seed %d", seed)
		assert.Assert(t, h.answered > 50, "seed %d: %d answered", seed, h.answered)
	})
}
