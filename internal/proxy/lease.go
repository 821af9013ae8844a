package proxy

import (
	"time"

	"github.com/savoryramp/savoryramp/internal/clock"
	"github.com/savoryramp/savoryramp/pkg/position"
)

// lease is the use of a connection by one session, for a statement or a transaction.
type lease struct {
	conn  *Conn
	group *Group
	began time.Time
	// sent is when the last command went out.
	sent clock.Instant
	// plain transactions are open, which a replaced primary refuses.
	plain bool
}

func newLease(c *Conn, g *Group) *lease { return &lease{conn: c, group: g, began: time.Now()} }

// give returns the connection to its pool.
func (l *lease) give(keep bool) { l.conn.pool.Give(l.conn, keep, time.Since(l.began)) }

// maxPlans bounds the statements kept prepared on one connection.
const maxPlans = 128

// prepare gathers what makes the connection's values and plans the session's, and gives
// the number of answers to come before the statement's own, and the statement as the
// server is to see it.
func (l *lease) prepare(s *Session, t Statement) (int, Statement) {
	c, n := l.conn, 0
	if c.stale(s.values) || len(c.plans) >= maxPlans {
		c.Link.Send(Reset{})
		c.values, c.plans = map[string]string{}, map[Plan]StatementName{}
		n++
	}
	for name, value := range s.values {
		if before, found := c.values[name]; !found || before != value {
			c.Link.Send(Assign{Name: name, Value: value})
			c.values[name] = value
			n++
		}
	}
	e, isExecute := t.(Execute)
	if !isExecute {
		return n, t
	}
	plan := s.plans[e.Name]
	name, found := c.plans[plan]
	if !found {
		name = StatementName("p" + itoa(int64(len(c.plans)+1)))
		c.Link.Send(Plant{Name: name, Plan: plan})
		c.plans[plan] = name
		n++
	}
	return n, Execute{Name: name, Arguments: e.Arguments}
}

// stale tells whether the connection has values that the session hasn't.
func (c *Conn) stale(values map[string]string) bool {
	for name := range c.values {
		if _, found := values[name]; !found {
			return true
		}
	}
	return false
}

// run sends a command behind n preparing ones and gives its answer.
func (l *lease) run(n int, c Command, until time.Time) (Answer, error) {
	l.conn.Link.Send(c)
	l.sent = clock.Now()
	if err := l.conn.Link.Flush(until); err != nil {
		return Answer{}, err
	}
	var failed Answer
	for range n {
		a, err := l.conn.Link.Receive(until)
		if err != nil {
			return Answer{}, err
		}
		if !a.Succeeded() {
			failed = a
		}
	}
	a, err := l.conn.Link.Receive(until)
	if err == nil && !failed.Succeeded() {
		// The statement may have met values that aren't the session's.
		return Answer{}, ErrBroken.New("server %s refused a session value: %s", l.conn.Server, failed.Detail)
	}
	if err == nil && !a.Position.IsZero() {
		l.conn.floor = a.Position
	}
	return a, err
}

// forward runs the caller's statement without a floor.
func (l *lease) forward(s *Session, op *operation, until time.Time) (Answer, error) {
	n, t := l.prepare(s, op.request.Statement)
	return l.run(n, Forward{ID: op.request.ID, Statement: t}, until)
}

// read runs the caller's read on a log that covers floor.
func (l *lease) read(s *Session, op *operation, floor position.Position, until time.Time) (Answer, error) {
	n, t := l.prepare(s, op.request.Statement)
	return l.run(n, Forward{ID: op.request.ID, Statement: t, Floor: floor}, until)
}

// beginAt opens a transaction at the server.
func (l *lease) beginAt(s *Session, b BeginAt, until time.Time) (Answer, error) {
	n, _ := l.prepare(s, nil)
	a, err := l.run(n, b, until)
	if err == nil && a.Succeeded() && !b.ReadOnly {
		l.plain = true
		l.proveLead(a)
	}
	return a, err
}

// prove has the primary open and end a transaction, which a replaced one refuses, and
// gives the position that its log had then. It takes no slot.
func (l *lease) prove(until time.Time) (position.Position, Answer, error) {
	link := l.conn.Link
	link.Send(BeginAt{})
	link.Send(Abandon{})
	l.sent = clock.Now()
	if err := link.Flush(until); err != nil {
		return position.Position{}, Answer{}, err
	}
	begun, err := link.Receive(until)
	if err != nil {
		return position.Position{}, Answer{}, err
	}
	ended, err := link.Receive(until)
	if err != nil || !begun.Succeeded() {
		begun.Phase = ended.Phase
		return position.Position{}, begun, err
	}
	l.proveLead(begun)
	return begun.Position, ended, nil
}

// proveLead takes note of an answer that a replaced primary wouldn't give.
func (l *lease) proveLead(a Answer) { l.group.Led(l.conn.Server, l.sent, a.Position) }

func (l *lease) abandon(until time.Time) (Answer, error) { return l.run(0, Abandon{}, until) }
