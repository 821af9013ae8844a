package consistency_test

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"gotest.tools/v3/assert"

	"github.com/savoryramp/savoryramp/internal/fakenet"
	"github.com/savoryramp/savoryramp/internal/fakeupstream"
	"github.com/savoryramp/savoryramp/pkg/position"
)

// writeForms are the forms in which a caller can send one insert that must run at most
// once. The text of the insert contains its number, so that the recorded commits can be
// counted.
var writeForms = map[string]func(r *cluster, c *pgx.Conn, insert string) error{
	"simple text": func(r *cluster, c *pgx.Conn, insert string) error { return simpleQuery(r, c, insert) },
	"several statements": func(r *cluster, c *pgx.Conn, insert string) error {
		return simpleQuery(r, c, insert+"; select 1")
	},
	"transaction in one text": func(r *cluster, c *pgx.Conn, insert string) error {
		return simpleQuery(r, c, "begin; "+insert+"; commit")
	},
	"commit and more in one text": func(r *cluster, c *pgx.Conn, insert string) error {
		return simpleQuery(r, c, "commit; "+insert)
	},
	"two transactions in one text": func(r *cluster, c *pgx.Conn, insert string) error {
		return simpleQuery(r, c, "begin; "+insert+"; commit; begin; insert into w values (0); commit")
	},
	"extended": func(r *cluster, c *pgx.Conn, insert string) error {
		_, err := c.Exec(r.ctx, insert+" where $1 > 0", 1)
		return err
	},
	"hidden in a WITH": func(r *cluster, c *pgx.Conn, insert string) error {
		_, err := c.Exec(r.ctx, "with one(n) as (select 1) "+strings.ReplaceAll(insert, " ", "\n")+" where $1 > 0", 1)
		return err
	},
	"transaction": func(r *cluster, c *pgx.Conn, insert string) error {
		return pgx.BeginFunc(r.ctx, c, func(tx pgx.Tx) error {
			_, err := tx.Exec(r.ctx, insert)
			return err
		})
	},
	"batch":                  func(r *cluster, c *pgx.Conn, insert string) error { return sendBatch(r, c, insert, "select 1") },
	"transaction in a batch": func(r *cluster, c *pgx.Conn, insert string) error { return sendBatch(r, c, "begin", insert, "commit") },
	"batch that begins another": func(r *cluster, c *pgx.Conn, insert string) error {
		if err := sendBatch(r, c, insert, "begin"); err != nil {
			return err
		}
		return simpleQuery(r, c, "commit")
	},
	"commit in a batch, then another": func(r *cluster, c *pgx.Conn, insert string) error {
		if err := simpleQuery(r, c, "begin"); err != nil {
			return err
		}
		return sendBatch(r, c, insert, "commit", "begin")
	},
	"end in a batch, then hidden": func(r *cluster, c *pgx.Conn, insert string) error {
		return sendBatch(r, c, "commit", "with one(n) as (select 1) "+strings.ReplaceAll(insert, " ", "\n"))
	},
	"pipeline":   func(r *cluster, c *pgx.Conn, insert string) error { return sendPipeline(r, c, insert, false) },
	"with Flush": func(r *cluster, c *pgx.Conn, insert string) error { return sendPipeline(r, c, insert, true) },
}

// simpleQuery sends a text in the simple query protocol.
func simpleQuery(r *cluster, c *pgx.Conn, text string) error {
	_, err := c.PgConn().Exec(r.ctx, text).ReadAll()
	return err
}

func sendBatch(r *cluster, c *pgx.Conn, list ...string) error {
	b := &pgx.Batch{}
	for _, sql := range list {
		b.Queue(sql)
	}
	return c.SendBatch(r.ctx, b).Close()
}

// sendPipeline sends a read and the insert, separated by a Sync or by a Flush.
func sendPipeline(r *cluster, c *pgx.Conn, insert string, flush bool) error {
	p := c.PgConn().StartPipeline(r.ctx)
	p.SendQueryParams("select 1", nil, nil, nil, nil)
	if flush {
		p.SendFlushRequest()
	} else if err := p.Sync(); err != nil {
		return err
	}
	p.SendQueryParams(insert, nil, nil, nil, nil)
	if err := p.Sync(); err != nil {
		return err
	}
	return p.Close()
}

// writeFaults are the faults injected during a write, and how each is repaired.
var writeFaults = map[string]struct {
	inject, repair func(r *cluster, s *fakeupstream.Server)
}{
	"answer dropped":     {func(_ *cluster, s *fakeupstream.Server) { s.DropAnswer() }, nil},
	"server killed":      {func(_ *cluster, s *fakeupstream.Server) { s.Kill(0) }, func(_ *cluster, s *fakeupstream.Server) { s.Start() }},
	"connections silent": {func(_ *cluster, s *fakeupstream.Server) { s.Silence() }, nil},
	// A restart of the server stands for its own timeout, which ends sessions of silent
	// connections.
	"server link silent": {
		func(r *cluster, s *fakeupstream.Server) { r.network.Silence("vm1", fakenet.Host(s.Name)) },
		func(_ *cluster, s *fakeupstream.Server) { s.Kill(0); time.Sleep(time.Second); s.Start() },
	},
	"answers late": {
		func(_ *cluster, s *fakeupstream.Server) { s.SetLate(2 * responseTimeout) },
		func(_ *cluster, s *fakeupstream.Server) { s.SetLate(0) },
	},
	"server frozen": {
		func(_ *cluster, s *fakeupstream.Server) { s.Freeze(true) },
		func(_ *cluster, s *fakeupstream.Server) { s.Freeze(false) },
	},
	"no new connections": {
		func(_ *cluster, s *fakeupstream.Server) { s.Refuse(true) },
		func(_ *cluster, s *fakeupstream.Server) { s.Refuse(false) },
	},
	"replicas cut": {
		func(_ *cluster, s *fakeupstream.Server) { s.Cut(true) },
		func(_ *cluster, s *fakeupstream.Server) { s.Cut(false) },
	},
	"promotion": {func(r *cluster, s *fakeupstream.Server) { r.replacePrimary(s) }, nil},
	"VM dies": {
		func(r *cluster, _ *fakeupstream.Server) { r.vms["vm1"].kill() },
		func(r *cluster, _ *fakeupstream.Server) { r.startVM("vm1") },
	},
}

// replacePrimary makes another server the primary of the next term.
func (r *cluster) replacePrimary(s *fakeupstream.Server) {
	var others []string
	for _, other := range r.group.Servers {
		if other != s {
			others = append(others, string(other.Name))
		}
	}
	term := int(s.Status().Term) + 1
	r.promote(term, others[0], others[1])
	assert.NilError(r.t, s.Follow(position.Term(term), fakeupstream.ServerName(others[0])))
}

// maxFaultDelay is the longest delay before a fault is injected: the duration of the
// longest form of write.
const maxFaultDelay = 14 * networkDelay

var (
	faultsPerForm = flag.Int("cuts", 1, "how many cuts of each kind are placed in each form of write")
	faultSeed     = flag.Uint64("cuts-seed", 1, "seed of the times of the cuts")
)

// TestWriteRunsAtMostOnce injects each fault at random times of each form of write:
// before, within and after each message.
func TestWriteRunsAtMostOnce(t *testing.T) {
	t.Log("seed", *faultSeed)
	for form, write := range writeForms {
		t.Run(form, func(t *testing.T) {
			runTest(t, nil, func(_ *testing.T, r *cluster) {
				random := rand.New(rand.NewPCG(*faultSeed, 0))
				r.exec(r.connect("vm1", ""), "create table w (id int)")
				n := 0
				for _, faultName := range slices.Sorted(maps.Keys(writeFaults)) {
					fault := writeFaults[faultName]
					for range *faultsPerForm {
						n++
						delay := time.Duration(random.Int64N(int64(maxFaultDelay)))
						err := r.writeWithFault(write, n, delay, fault.inject, fault.repair)
						r.checkRanOnce(n, faultName+" after "+delay.String(), err)
					}
				}
			})
		})
	}
}

// writeWithFault sends one write, injects a fault after a delay, repairs it, and waits
// until the cluster has recovered.
func (r *cluster) writeWithFault(write func(*cluster, *pgx.Conn, string) error, n int, delay time.Duration, inject, repair func(*cluster, *fakeupstream.Server)) error {
	c := r.connect("vm1", "")
	for _, s := range r.group.Servers {
		s.SetLag(time.Hour)
	}
	// With the floor of this write, no lagging replica can serve the session's reads.
	err := r.writeValue(c, 1, n)
	for tries := 0; err != nil && tries < 10; tries++ {
		time.Sleep(time.Second)
		err = r.writeValue(c, 1, n)
	}
	assert.NilError(r.t, err)
	s := r.group.Primary()
	timer := time.AfterFunc(delay, func() { inject(r, s) })
	err = write(r, c, fmt.Sprintf("insert into w select %d", n))
	if timer.Stop() {
		inject(r, s)
	}
	time.Sleep(100 * time.Millisecond)
	_ = c.Close(r.ctx)
	if repair != nil {
		repair(r, s)
	}
	for _, s := range r.group.Servers {
		s.SetLag(0)
	}
	time.Sleep(3 * time.Second)
	return err
}

// checkRanOnce compares the result that the caller received with the recorded commits.
func (r *cluster) checkRanOnce(n int, fault string, err error) {
	committed := 0
	for _, e := range r.group.Recorder.Commits() {
		for _, st := range e.Statements {
			if text := strings.Join(strings.Fields(st.SQL), " "); strings.HasSuffix(strings.TrimSuffix(text, " where ?1 > 0"), fmt.Sprintf("select %d", n)) {
				committed++
			}
		}
	}
	switch {
	case committed > 1:
		assert.Assert(r.t, false, "%s: ran %d times, the caller received %v", fault, committed, err)
	case err == nil:
		assert.Assert(r.t, committed == 1, "%s: acknowledged, but ran %d times", fault, committed)
	case isNotRun(err):
		assert.Assert(r.t, committed == 0, "%s: ran, though the caller received %v", fault, err)
	}
}
