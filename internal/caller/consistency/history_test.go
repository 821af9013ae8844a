package consistency_test

import (
	"context"
	"flag"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/jackc/pgx/v5"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/savoryramp/savoryramp/internal/fakeupstream"
	"github.com/savoryramp/savoryramp/internal/upstream"
	"github.com/savoryramp/savoryramp/pkg/position"
)

// init keeps the default run short; -rapid.checks raises the number.
func init() { _ = flag.Set("rapid.checks", "3") }

// operation is a read or write of one session's row, the input of porcupine's model.
type operation struct {
	row   int
	write bool
	value int
}

// registerModel is the model of a row: a read returns the last written value. Each row
// belongs to one session, so the model checks that the session always sees its own
// writes.
var registerModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byRow := map[int][]porcupine.Operation{}
		for _, op := range history {
			row := op.Input.(operation).row
			byRow[row] = append(byRow[row], op)
		}
		var parts [][]porcupine.Operation
		for _, part := range byRow {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return 0 },
	Step: func(state, input, output any) (bool, any) {
		a := input.(operation)
		if a.write {
			return true, a.value
		}
		return output.(int) == state.(int), state
	},
}

// history collects the operations of concurrent sessions.
type history struct {
	mu              sync.Mutex
	operations      []porcupine.Operation
	answered        int
	unknownOutcomes int
}

func (h *history) add(a operation, output int, start time.Time, isKnown bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	op := porcupine.Operation{ClientId: a.row, Input: a, Call: start.UnixNano(), Output: output, Return: time.Now().UnixNano()}
	if !isKnown {
		op.Return = math.MaxInt64
		h.unknownOutcomes++
	} else {
		h.answered++
	}
	h.operations = append(h.operations, op)
}

// roamingSession is a session that reconnects to different VMs.
type roamingSession struct {
	*cluster
	history   *history
	random    *rand.Rand
	row       int
	lastValue int
	token     string
	conn      *pgx.Conn
}

// run writes and reads the session's row until all faults have been injected.
func (m *roamingSession) run(faultsDone *atomic.Bool) {
	for n := 0; n < 30 || !faultsDone.Load(); n++ {
		if m.conn == nil || m.conn.IsClosed() || m.random.IntN(4) == 0 {
			m.reconnect()
		}
		if m.conn != nil {
			m.runOperation()
		}
		time.Sleep(time.Duration(m.random.IntN(60)) * time.Millisecond)
	}
	m.disconnect()
}

func (m *roamingSession) disconnect() {
	if m.conn != nil {
		_ = m.conn.Close(m.ctx)
	}
	m.conn = nil
}

func (m *roamingSession) reconnect() {
	m.disconnect()
	token := ""
	switch m.random.IntN(3) {
	case 0:
		token = m.token
	case 1:
		token = "e30.forged"
	}
	c, err := m.dial([]string{"vm1", "vm2"}[m.random.IntN(2)], token, "receipts")
	if err == nil {
		m.conn = c
	}
}

// runOperation runs one read or write and records its result.
func (m *roamingSession) runOperation() {
	ctx, cancel := context.WithTimeout(m.ctx, 10*time.Second)
	defer cancel()
	start := time.Now()
	if m.random.IntN(2) == 0 {
		var v int
		err := m.conn.QueryRow(ctx, "select coalesce(max(v), 0) from t where id = $1", m.row).Scan(&v)
		if err == nil {
			m.history.add(operation{row: m.row}, v, start, true)
		}
		return
	}
	m.lastValue++
	_, err := m.conn.Exec(ctx, "insert into t values ($1, $2) on conflict (id) do update set v = excluded.v", m.row, m.lastValue)
	if err == nil {
		m.token = sessionToken(m.conn)
	}
	if !isNotRun(err) {
		m.history.add(operation{row: m.row, write: true, value: m.lastValue}, 0, start, err == nil)
	}
}

// injectFault injects one random fault and waits briefly. Cuts, freezes, and stops of
// servers or VMs are undone after up to 300 ms; a lag remains set, and a failover is
// permanent.
func (r *cluster) injectFault(random *rand.Rand, term *int) {
	s := r.group.Servers[random.IntN(3)]
	pause := func() { time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond) }
	switch random.IntN(7) {
	case 0:
		s.SetLag(time.Duration(random.IntN(2000)) * time.Millisecond)
	case 1:
		s.Cut(true)
		pause()
		s.Cut(false)
	case 2:
		s.Kill(0)
		pause()
		s.Start()
	case 3:
		s.DropAnswer()
	case 4:
		s.Freeze(true)
		pause()
		s.Freeze(false)
	case 5:
		name := []string{"vm1", "vm2"}[random.IntN(2)]
		r.vms[name].kill()
		pause()
		r.startVM(name)
	case 6:
		*term++
		r.failover(*term, random)
	}
	pause()
}

// failover fences two servers and promotes the one with the longer log; the third
// server follows it later.
func (r *cluster) failover(term int, random *rand.Rand) {
	order := random.Perm(3)
	x, y, z := r.group.Servers[order[0]], r.group.Servers[order[1]], r.group.Servers[order[2]]
	assert.NilError(r.t, x.Fence(position.Term(term)))
	time.Sleep(time.Duration(random.IntN(50)) * time.Millisecond)
	assert.NilError(r.t, y.Fence(position.Term(term)))
	if isAhead(y, x) {
		x, y = y, x
	}
	assert.NilError(r.t, x.Promote(r.ctx, position.Term(term)))
	assert.NilError(r.t, y.Follow(position.Term(term), x.Name))
	time.Sleep(time.Duration(random.IntN(500)) * time.Millisecond)
	assert.NilError(r.t, z.Follow(position.Term(term), x.Name))
}

func isAhead(x, y *fakeupstream.Server) bool {
	p, _ := position.Parse(x.Status().Received)
	q, _ := position.Parse(y.Status().Received)
	return p.Compare(q) > 0
}

// recordHistory runs roaming sessions under faults and returns their history.
func recordHistory(t assert.TestingT, seed uint64, faults int, readPolicy upstream.ReadPolicy) *history {
	r := startCluster(t, func(r *cluster) { r.readPolicy = readPolicy })
	defer r.stop()
	return r.recordHistory(seed, faults)
}

func (r *cluster) recordHistory(seed uint64, faults int) *history {
	h := &history{}
	var sessions sync.WaitGroup
	var faultsDone atomic.Bool
	for row := range 3 {
		m := &roamingSession{cluster: r, history: h, random: rand.New(rand.NewPCG(seed, uint64(row))), row: row}
		sessions.Go(func() { m.run(&faultsDone) })
	}
	random, term := rand.New(rand.NewPCG(seed, 99)), 1
	for range faults {
		r.injectFault(random, &term)
	}
	faultsDone.Store(true)
	sessions.Wait()
	return h
}

// TestRoamingSessionsAreConsistent checks the histories of concurrent sessions that
// reconnect to different VMs, under random faults and promotions.
func TestRoamingSessionsAreConsistent(t *testing.T) {
	answered, unknownOutcomes := 0, 0
	rapid.Check(t, func(c *rapid.T) {
		seed := rapid.Uint64().Draw(c, "seed")
		faults := rapid.IntRange(0, 8).Draw(c, "faults")
		var h *history
		synctest.Test(t, func(t *testing.T) { h = recordHistory(t, seed, faults, upstream.WaitOrPrimary{}) })
		answered, unknownOutcomes = answered+h.answered, unknownOutcomes+h.unknownOutcomes
		if !porcupine.CheckOperations(registerModel, h.operations) {
			c.Fatalf("a session missed its own writes: seed %d, %d faults", seed, faults)
		}
	})
	t.Logf("%d operations answered, %d writes of unknown outcome", answered, unknownOutcomes)
}

// TestReadsFromAnyReplicaAreInconsistent shows that the check above fails without the
// proxy's read policy.
func TestReadsFromAnyReplicaAreInconsistent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const seed = 5
		t.Log("seed", seed)
		h := recordHistory(t, seed, 4, upstream.AnyReplica{})
		assert.Assert(t, !porcupine.CheckOperations(registerModel, h.operations))
	})
}
