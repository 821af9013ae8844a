package proxy

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// client is an in-process caller of the testbed's VM.
type client struct {
	testbed   *testbed
	requests  chan Request
	replies   chan Answer
	interrupt chan bool
	database  DatabaseName
	key       Key
	// sendsAhead is true if the next request has always been read already.
	sendsAhead atomic.Bool
	// last is the ID of the latest request.
	last     RequestID
	rejected Failure
	closed   chan bool
	once     sync.Once
}

// openSession starts a session, which must be accepted.
func (tb *testbed) openSession(database DatabaseName) *client {
	c := tb.startClient(database, testKey)
	if a := <-c.replies; a.Phase != Idle {
		tb.t.Fatalf("the session was refused: %v", a)
	}
	return c
}

func (tb *testbed) startClient(database DatabaseName, key Key) *client {
	c := &client{testbed: tb, rejected: sessionClosed, requests: make(chan Request), replies: make(chan Answer, 1), interrupt: make(chan bool, 1), database: database, key: key, closed: make(chan bool)}
	tb.tasks.Go(func() { tb.vm.Serve(tb.ctx, c) })
	return c
}

func (c *client) ReadStartup(time.Time) (DatabaseName, Key, error) { return c.database, c.key, nil }

func (c *client) Receive(deadline time.Time) (Request, error) {
	var timer <-chan time.Time
	if !deadline.IsZero() {
		timer = time.After(time.Until(deadline))
	}
	select {
	case r := <-c.requests:
		return r, nil
	case <-timer:
		return Request{}, ErrTimeout.New("no request")
	case <-c.interrupt:
		return Request{}, ErrTimeout.New("interrupted")
	case <-c.closed:
		return Request{}, ErrCaller.New("gone")
	}
}

func (c *client) Reply(a Answer) error { c.replies <- a; return nil }

func (c *client) Reject(f Failure, _ string) {
	c.rejected = f
	c.Close()
}

func (c *client) HasBufferedInput() bool { return c.sendsAhead.Load() }

func (c *client) Interrupt() {
	select {
	case c.interrupt <- true:
	default:
	}
}

func (c *client) Close() { c.once.Do(func() { close(c.closed) }) }

// sessionClosed is the failure that exec returns if the session was closed without one.
const sessionClosed Failure = "session-closed"

// exec runs one statement. If the session has been closed, it returns the failure that the
// session was rejected with.
func (c *client) exec(s Statement) Answer {
	c.testbed.mu.Lock()
	c.testbed.requests++
	id := RequestID(fmt.Sprint("r", c.testbed.requests))
	c.testbed.mu.Unlock()
	c.last = id
	select {
	case c.requests <- Request{ID: id, Statement: s}:
	case <-c.closed:
		return Answer{Failure: c.rejected}
	}
	select {
	case a := <-c.replies:
		return a
	case <-c.closed:
	}
	// The session may have answered before it closed the connection.
	select {
	case a := <-c.replies:
		return a
	default:
		return Answer{Failure: c.rejected}
	}
}
