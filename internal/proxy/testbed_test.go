package proxy

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"

	"github.com/savoryramp/savoryramp/internal/clock"
	"github.com/savoryramp/savoryramp/pkg/position"
)

// testbed is a VM with a group of three in-memory servers, without a network. It runs in a
// synctest bubble, with the bubble's time.
type testbed struct {
	t      *testing.T
	vm     *VM
	ctx    context.Context
	cancel context.CancelFunc
	// tasks end when ctx ends.
	tasks sync.WaitGroup

	relay *fakeRelay
	// paused is for how long the VM was paused in all, in nanoseconds: the clock goes on meanwhile.
	paused *atomic.Int64

	mu      sync.Mutex
	servers map[ServerID]*memServer
	primary ServerID
	term    position.Term
	// executed lists the statements that servers ran, each as server, workspace, session values
	// and text.
	executed []string
	// committed counts the commits of each write.
	committed map[string]int
	// inTransaction counts the runs of each statement inside a transaction.
	inTransaction map[string]int
	// openingNow counts the connections being opened, peakOpening is its maximum, and opened
	// counts all attempts to open one. handshake is how long an attempt takes.
	links, openingNow, peakOpening, opened int
	handshake                              time.Duration
	// requests counts the requests of all clients, so that their IDs differ.
	requests int
	// stutter is how the servers repeat answers, nil if they don't.
	stutter *stutter
	// pausedAtPromotion has the servers that were paused when one was last promoted.
	pausedAtPromotion []ServerID
	// contacted has when each server last got a command or a new connection.
	contacted map[ServerID]time.Time
}

// memServer is an in-memory server of the group. Its fields are guarded by the testbed's mutex.
type memServer struct {
	id ServerID
	// logEnd is the end of the server's log.
	logEnd position.Position
	// notReceiving replicas don't receive the primary's log, nor do those that were paused with heldTerm.
	notReceiving bool
	heldTerm     position.Term
	// fault returns how a command fails, or faultNone. It is called with nil when a connection
	// is opened.
	fault func(c Command) fault
	// work is the duration of a statement.
	work time.Duration
	// limit is the maximum of open connections, which open counts; 0 means no limit.
	limit, open int
}

type fault string

const (
	faultNone fault = ""
	// loseAnswer runs the command but sends no further answers; breakAfter runs it and closes
	// the connection.
	loseAnswer fault = "lose-answer"
	breakAfter fault = "break-after"
	// breakBefore closes the connection without running the command.
	breakBefore fault = "break-before"
	// refuseBusy answers Busy without running the command.
	refuseBusy fault = "shed"
)

type settledFleet struct{ size int }

func (s settledFleet) Size() int   { return s.size }
func (settledFleet) Rank() int     { return 0 }
func (settledFleet) Settled() bool { return true }

func (settledFleet) IsVerifier(ServiceName) bool { return true }

const (
	testService  ServiceName  = "ledger"
	testKey      Key          = "key"
	testDatabase DatabaseName = "strict"
	// boundedDatabase has a staleness bound of one second, ownDatabase one of two seconds.
	boundedDatabase DatabaseName = "bounded"
	ownDatabase     DatabaseName = "own"
)

func testConfiguration(version ConfigurationVersion) *Configuration {
	w := &Workspace{Name: "amman"}
	c := &Configuration{
		Version: version, Routes: map[DatabaseName]*Route{}, Keys: map[Key]*Workspace{testKey: w},
		Workspaces:             map[WorkspaceName]*Workspace{w.Name: w},
		Services:               map[ServiceName]*Service{testService: {Name: testService, Connections: 6}},
		TransactionIdleTimeout: 3 * time.Second,
	}
	for name, r := range map[DatabaseName]Route{
		testDatabase:    {Consistency: Linearizable},
		boundedDatabase: {Consistency: BoundedStaleness, MaxStaleness: time.Second},
		ownDatabase:     {Consistency: ReadYourWrites, MaxStaleness: 2 * time.Second},
	} {
		r.Database, r.Service, r.StatementTimeout = name, testService, 800*time.Millisecond
		c.Routes[name] = &r
	}
	return c
}

// runTest runs a test in a synctest bubble with a VM and the servers a (the primary), b and c.
func runTest(t *testing.T, test func(tb *testbed)) { runTestWith(t, func(*VM) {}, test) }

// runTestWith is runTest with a change to the VM before it starts.
func runTestWith(t *testing.T, change func(*VM), test func(tb *testbed)) {
	synctest.Test(t, func(t *testing.T) {
		var paused atomic.Int64
		defer clock.Fake(func() clock.Instant { return clock.Instant(time.Now().UnixNano() + paused.Load()) })()
		tb := &testbed{paused: &paused, t: t, relay: &fakeRelay{}, servers: map[ServerID]*memServer{}, contacted: map[ServerID]time.Time{}, committed: map[string]int{}, inTransaction: map[string]int{}, primary: "a", term: 1, handshake: 10 * time.Millisecond}
		var listed []Server
		for _, id := range []ServerID{"a", "b", "c"} {
			tb.servers[id] = &memServer{id: id, logEnd: position.Position{Term: 1, Offset: 1}, work: 5 * time.Millisecond}
			listed = append(listed, Server{ID: id, Service: testService, Address: Address(id), Slots: 2, Zone: AvailabilityZone(id), Primary: id == "a"})
		}
		tb.vm = &VM{Name: "vm", Zone: "b", Connect: tb.connect, Fleet: settledFleet{1}, Relay: tb.relay, Logger: log.NewNopLogger()}
		change(tb.vm)
		tb.vm.SetServers(listed)
		tb.vm.Configure(testConfiguration(1), "test")
		tb.ctx, tb.cancel = context.WithCancel(context.Background())
		tb.tasks.Go(func() { _ = tb.vm.Run(tb.ctx) })
		defer func() {
			tb.cancel()
			tb.tasks.Wait()
		}()
		test(tb)
	})
}

// setHandshake sets how long opening a connection takes.
func (tb *testbed) setHandshake(d time.Duration) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.handshake = d
}

// onServer modifies a server under the testbed's mutex.
func (tb *testbed) onServer(id ServerID, change func(s *memServer)) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	change(tb.servers[id])
}

// promote makes a server the primary at once, with the log that it has.
func (tb *testbed) promote(id ServerID) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.primary, tb.term = id, tb.term+1
	tb.pausedAtPromotion = tb.pausedServers()
	tb.servers[id].heldTerm = 0
	tb.servers[id].logEnd.Term = tb.term
	tb.servers[id].logEnd.Offset++
}

// pausedServers returns the servers that are paused; tb.mu is held.
func (tb *testbed) pausedServers() []ServerID {
	var list []ServerID
	for _, id := range []ServerID{"a", "b", "c"} {
		if tb.servers[id].heldTerm != 0 {
			list = append(list, id)
		}
	}
	return list
}

// countRuns returns how many executed statements had the given text.
func (tb *testbed) countRuns(text string) int {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	n := 0
	for _, entry := range tb.executed {
		if strings.HasSuffix(entry, " "+text) {
			n++
		}
	}
	return n
}

// lastServer returns the server that last ran a statement with the given text.
func (tb *testbed) lastServer(text string) ServerID {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	for i := len(tb.executed) - 1; i >= 0; i-- {
		if strings.HasSuffix(tb.executed[i], " "+text) {
			id, _, _ := strings.Cut(tb.executed[i], " ")
			return ServerID(id)
		}
	}
	return ""
}

func (tb *testbed) connect(ctx context.Context, s Server, w WorkspaceName) (ServerLink, position.Position, error) {
	tb.mu.Lock()
	tb.openingNow++
	tb.opened++
	tb.contacted[s.ID] = time.Now()
	tb.peakOpening = max(tb.peakOpening, tb.openingNow)
	server := tb.servers[s.ID]
	full, handshake := server.limit > 0 && server.open >= server.limit, tb.handshake
	if !full {
		server.open++
	}
	tb.mu.Unlock()
	clock.Sleep(ctx, handshake)
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.openingNow--
	if full {
		return nil, position.Position{}, ErrRefused.New("full")
	}
	if server.fault != nil && server.fault(nil) == breakBefore {
		server.open--
		return nil, position.Position{}, ErrConnect.New("server %s is down", s.ID)
	}
	return &memLink{testbed: tb, server: server, workspace: w, values: map[string]string{}, plans: map[StatementName]Plan{}, phase: Idle}, server.logEnd, nil
}

// memLink is a connection to a memServer.
type memLink struct {
	testbed   *testbed
	server    *memServer
	workspace WorkspaceName
	commands  []Command
	answers   []memAnswer
	// repeated are answers that are sent again, ordered by the time, and held those that are sent again with the
	// next command.
	repeated, held []memAnswer
	// latest are the latest answers, which may be repeated in one piece.
	latest    []Answer
	values    map[string]string
	plans     map[StatementName]Plan
	phase     Phase
	readWrite bool
	wrote     bool
	// uncommitted are the writes of the open transaction.
	uncommitted []string
	silent      bool
	broken      bool
	closed      bool
}

func (l *memLink) Send(c Command, _ time.Time) { l.commands = append(l.commands, c) }

func (l *memLink) Flush(time.Time) error {
	tb := l.testbed
	tb.mu.Lock()
	defer tb.mu.Unlock()
	for _, a := range l.held {
		l.repeated = append(l.repeated, memAnswer{a.Answer, time.Now()})
	}
	l.held = nil
	l.sortRepeated()
	latest := l.latest
	defer func() { l.latest = latest[max(0, len(latest)-maxTogether):] }()
	for _, c := range l.commands {
		if l.broken || l.silent || l.closed {
			break
		}
		tb.contacted[l.server.id] = time.Now()
		f := faultNone
		if l.server.fault != nil {
			f = l.server.fault(c)
		}
		switch f {
		case breakBefore:
			l.broken = true
			continue
		case refuseBusy:
			latest = append(latest, l.reply(c, Answer{Failure: Busy, Phase: l.phase, Position: l.server.logEnd}))
			l.repeatSome(c, latest)
			continue
		}
		a := l.run(c)
		a.Phase, a.Position = l.phase, l.server.logEnd
		switch f {
		case loseAnswer:
			l.silent = true
		case breakAfter:
			l.broken = true
		default:
			latest = append(latest, l.reply(c, a))
		}
		l.repeatSome(c, latest)
	}
	l.commands = nil
	return nil
}

// run executes a command; the testbed's mutex is held.
func (l *memLink) run(c Command) Answer {
	isPrimary := l.testbed.primary == l.server.id
	switch c := c.(type) {
	case Reset:
		l.values, l.plans = map[string]string{}, map[StatementName]Plan{}
	case Assign:
		l.values[c.Name] = c.Value
	case PreparePlan:
		l.plans[c.Name] = c.Plan
	case BeginAt:
		if !c.ReadOnly && !isPrimary {
			return Answer{Failure: NotPrimary}
		}
		if !l.server.logEnd.Covers(c.Floor) {
			return Answer{Failure: Lagging}
		}
		l.phase, l.readWrite = InTransaction, !c.ReadOnly
	case Abandon:
		l.phase, l.wrote, l.uncommitted = Idle, false, nil
	case QueryStatus, PauseReceiving, ResumeReceiving:
		l.server.control(c, l.testbed.term)
		return Answer{Digest: "-", Rows: []string{fmt.Sprint("status of ", l.server.id, l.server.logEnd, isPrimary)}}
	case Demote:
		if isPrimary && c.Term > l.testbed.term {
			l.testbed.primary = ""
		}
		return Answer{Digest: "-", Rows: []string{fmt.Sprint("demoted ", l.server.id, l.server.logEnd, c.Term)}}
	case Forward:
		return l.forward(c, isPrimary)
	}
	return Answer{Digest: "-"}
}

// control applies a command to pause the server or to make it receive again. term is the newest one.
func (s *memServer) control(c Command, term position.Term) {
	switch c := c.(type) {
	case PauseReceiving:
		if c.Term > term {
			s.heldTerm = c.Term
		}
	case ResumeReceiving:
		s.heldTerm = 0
	}
}

func (l *memLink) forward(c Forward, isPrimary bool) Answer {
	text, writes := "", false
	switch t := c.Statement.(type) {
	case Read:
		text = t.Text
	case Write:
		text, writes = t.Text, true
	case Execute:
		plan, found := l.plans[t.Name]
		if !found {
			return Answer{Failure: Unprepared}
		}
		text, writes = "EXECUTE "+plan.Shape+" "+t.Arguments, plan.Writes
	case Commit:
		text = "COMMIT"
	}
	if !l.server.logEnd.Covers(c.Floor) {
		return Answer{Failure: Lagging}
	}
	if !isPrimary && (writes || l.readWrite && l.phase == InTransaction && (text != "COMMIT" || l.wrote)) {
		if l.phase == InTransaction {
			l.phase = Failed
		}
		return Answer{Failure: NotPrimary}
	}
	l.testbed.executed = append(l.testbed.executed, fmt.Sprintf("%s %s %v %s", l.server.id, l.workspace, l.values, text))
	if l.phase == InTransaction {
		l.testbed.inTransaction[text]++
	}
	l.wrote = l.wrote || writes
	if writes {
		l.uncommitted = append(l.uncommitted, text)
	}
	if text == "COMMIT" {
		l.phase = Idle
	}
	if l.wrote && l.phase == Idle {
		l.wrote = false
		for _, w := range l.uncommitted {
			l.testbed.committed[w]++
		}
		l.uncommitted = nil
		l.server.logEnd.Offset++
		for _, s := range l.testbed.servers {
			if !s.notReceiving && s.heldTerm == 0 {
				s.logEnd = l.server.logEnd
			}
		}
	}
	return Answer{Digest: "d-" + string(c.ID), Rows: []string{"row"}}
}

func (l *memLink) Receive(deadline time.Time) (Answer, error) {
	l.testbed.mu.Lock()
	a, queue := l.next()
	broken := l.broken
	l.testbed.mu.Unlock()
	if queue == nil && broken {
		return Answer{}, ErrBroken.New("server %s closed the connection", l.server.id)
	}
	if queue == nil || a.at.After(deadline) {
		clock.Sleep(context.Background(), time.Until(deadline))
		return Answer{}, ErrTimeout.New("server %s didn't answer", l.server.id)
	}
	clock.Sleep(context.Background(), time.Until(a.at))
	l.testbed.mu.Lock()
	defer l.testbed.mu.Unlock()
	a, queue = l.next()
	*queue = (*queue)[1:]
	return a.Answer, nil
}

func (l *memLink) DecodeStatus(Answer) (ServerStatus, error) {
	l.testbed.mu.Lock()
	defer l.testbed.mu.Unlock()
	return ServerStatus{Primary: l.testbed.primary == l.server.id, Term: l.testbed.term, Received: l.server.logEnd, HeldTerm: l.server.heldTerm}, nil
}

func (l *memLink) Input() InputState {
	l.testbed.mu.Lock()
	defer l.testbed.mu.Unlock()
	a, queue := l.next()
	switch {
	case queue != nil && !a.at.After(time.Now()):
		return InputReceived
	case l.broken:
		return InputClosed
	}
	return NoInput
}

func (l *memLink) Close() {
	l.testbed.mu.Lock()
	defer l.testbed.mu.Unlock()
	if !l.closed {
		l.closed = true
		l.server.open--
	}
}
