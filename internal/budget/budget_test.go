package budget

import (
	"net"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

func newBudget(total Bytes, callers int) *Budget {
	return &Budget{Limits: Limits{Total: total, Session: total / 4, Connections: map[Class]int{Callers: callers}}}
}

// open opens a session, and returns its account and whether it was closed for others.
func open(t *testing.T, b *Budget) (*Account, *bool) {
	t.Helper()
	closed := false
	a, fits := b.Open(Callers, func() { closed = true })
	assert.Assert(t, fits)
	return a, &closed
}

func soon() time.Time { return time.Now().Add(5 * time.Second) }

// A session that waits for memory must get it as soon as another one gives it back.
func TestReserveWaitsForRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBudget(100, 10)
		first, closed := open(t, b)
		second, _ := open(t, b)
		assert.Assert(t, first.Reserve(70, soon()))
		first.Progress(Serving)
		time.AfterFunc(time.Second, first.ReleaseMessage)
		began := time.Now()
		assert.Assert(t, second.Reserve(50, soon()))
		assert.Equal(t, time.Since(began), time.Second)
		assert.Assert(t, !*closed)
		assert.Equal(t, b.State().Held, Bytes(50))
	})
}

// A session inside its limits must stay open, however long others wait.
func TestReserveClosesNoneInside(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBudget(100, 10)
		served, closed := open(t, b)
		waiting, _ := open(t, b)
		assert.Assert(t, served.Reserve(70, soon()))
		served.Progress(Serving)
		assert.Assert(t, !waiting.Reserve(50, soon()))
		assert.Assert(t, !*closed)
		assert.Equal(t, b.State().Acts[MemoryRefused], int64(1))
		assert.Equal(t, b.State().Waiting, 0)
	})
}

// A session that stops to read its answer must not keep others from their memory.
func TestReserveClosesStalled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBudget(100, 10)
		stalled, stalledClosed := open(t, b)
		slow, slowClosed := open(t, b)
		waiting, _ := open(t, b)
		stalled.Force(60)
		stalled.Progress(Sending)
		slow.Force(20)
		stop := make(chan struct{})
		go func() {
			for {
				slow.Progress(Sending)
				select {
				case <-stop:
					return
				case <-time.After(StallTime / 2):
				}
			}
		}()
		assert.Assert(t, waiting.Reserve(50, soon()))
		close(stop)
		assert.Assert(t, *stalledClosed)
		assert.Assert(t, !*slowClosed)
		assert.Equal(t, b.State().Acts[MemoryClosed], int64(1))
		assert.Assert(t, !stalled.Reserve(1, soon()), "a closed session got memory")
		stalled.Close()
		assert.Equal(t, b.State().Held, Bytes(70))
	})
}

// An amount above the limit must be granted while nothing else is held.
func TestReserveAboveTotal(t *testing.T) {
	b := newBudget(100, 10)
	a, _ := open(t, b)
	assert.Assert(t, a.Reserve(300, soon()))
	a.ReleaseMessage()
	assert.Equal(t, b.State().Held, Bytes(0))
}

// A message that waits for a connection to a server must not keep the answers, which hold these, from
// their memory.
func TestAnswersHaveRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBudget(100, 10)
		message, _ := open(t, b)
		waiting, _ := open(t, b)
		answer := b.Unlimited()
		assert.Assert(t, message.Reserve(75, soon()))
		message.Progress(Serving)
		granted := make(chan bool)
		go func() { granted <- waiting.Reserve(20, soon()) }()
		synctest.Wait()
		assert.Equal(t, b.State().Waiting, 1)
		began := time.Now()
		assert.Assert(t, answer.Reserve(25, soon()))
		assert.Equal(t, time.Since(began), time.Duration(0))
		answer.ReleaseMessage()
		message.ReleaseMessage()
		assert.Assert(t, <-granted)
	})
}

// What sessions keep between requests must not use up the memory for messages.
func TestKeep(t *testing.T) {
	b := newBudget(100, 10)
	var last *Account
	for range 2 {
		last, _ = open(t, b)
		assert.Assert(t, last.Keep(25))
		assert.Assert(t, !last.Keep(1), "beyond the limit of a session")
	}
	another, _ := open(t, b)
	assert.Assert(t, !another.Keep(1), "beyond the limit of all sessions")
	last.ReleaseMessage()
	assert.Assert(t, last.Keep(-5))
	assert.Assert(t, another.Keep(5))
	last.Close()
	assert.Equal(t, b.State().Kept, Bytes(30))
	assert.Equal(t, b.State().Held, Bytes(30))
}

// Connections that never start must make room for others, and sessions must not.
func TestOpen(t *testing.T) {
	b := newBudget(100, 2)
	idle, idleClosed := open(t, b)
	idle.Progress(Idle)
	_, startingClosed := open(t, b)
	next, _ := open(t, b)
	assert.Assert(t, *startingClosed)
	next.Progress(Idle)
	_, fits := b.Open(Callers, func() {})
	assert.Assert(t, !fits)
	assert.Assert(t, !*idleClosed)
	assert.Equal(t, b.State().Acts[ConnectionRefused], int64(1))
	idle.Close()
	open(t, b)
}

// A listener must close the connections that there is no room for, and count the others until they end.
func TestListener(t *testing.T) {
	inner, err := Listen("127.0.0.1:0", KernelBuffer)
	assert.NilError(t, err)
	l := &Listener{Listener: inner, Budget: newBudget(100, 1), Class: Callers}
	defer l.Close()
	dial := func() net.Conn {
		c, err := net.Dial("tcp", inner.Addr().String())
		assert.NilError(t, err)
		return c
	}
	first := dial()
	defer first.Close()
	accepted, err := l.Accept()
	assert.NilError(t, err)
	AccountOf(accepted).Progress(Idle)
	refused := dial()
	defer refused.Close()
	next := make(chan net.Conn)
	go func() {
		c, _ := l.Accept()
		next <- c
	}()
	_, err = refused.Read(make([]byte, 1))
	assert.Assert(t, err != nil)
	assert.NilError(t, accepted.Close())
	last := dial()
	defer last.Close()
	c := <-next
	assert.Equal(t, c.RemoteAddr().String(), last.LocalAddr().String())
	assert.NilError(t, c.Close())
	assert.Equal(t, l.Budget.State().Connections[Callers], 0)
}

// Overrides must replace the machine's limits, and only where they are set.
func TestOverrides(t *testing.T) {
	machine := LimitsFor(256*MB, 4000, MB)
	o := Overrides{MaxCallers: 7, MaxHeldMB: 8}
	l := o.replace(machine, MB)
	assert.Equal(t, l.Connections[Callers], 7)
	assert.Equal(t, l.Connections[Links], machine.Connections[Links])
	assert.Equal(t, l.Total, 8*MB)
	assert.Equal(t, l.Session, 2*MB)
	assert.NilError(t, o.Validate())
	o.MaxPages = -1
	assert.ErrorContains(t, o.Validate(), "--max-page-connections is -1")
}
