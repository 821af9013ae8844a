package proxy

import (
	"time"

	"github.com/savoryramp/savoryramp/internal/clock"
	"github.com/savoryramp/savoryramp/pkg/position"
)

// profile holds the session values and prepared statements of a session. The connection that
// runs a statement must have them set.
type profile struct {
	values map[string]string
	plans  map[StatementName]Plan
}

func newProfile() profile {
	return profile{values: map[string]string{}, plans: map[StatementName]Plan{}}
}

// executor runs commands on one server, over a connection of this VM or of another VM. It isn't
// safe for concurrent use.
type executor interface {
	// exec runs commands in order, on a connection that matches the profile. The profile is nil
	// if no command depends on it. If notSent is true for the error, none of the commands has
	// run.
	exec(p *profile, commands []Command, until time.Time) ([]Answer, error)
	// release returns the connection to its pool. keep must be false if a transaction is open
	// or an answer is outstanding; the connection is then closed.
	release(keep bool, took time.Duration)
}

// checkout is the use of a pooled connection by one session, for a statement or a transaction.
type checkout struct {
	executor  executor
	server    ServerID
	group     *Group
	startedAt time.Time
	// sent is the send time of the latest command.
	sent clock.Instant
	// local is true if the connection is one of this VM's own.
	local bool
	// released is true once the connection was returned or closed.
	released bool
}

func (g *Group) newCheckout(e executor, id ServerID, local bool) *checkout {
	return &checkout{executor: e, server: id, group: g, local: local, startedAt: time.Now()}
}

// release returns the connection to its pool, or closes it if keep is false.
func (c *checkout) release(keep bool) {
	c.released = true
	c.executor.release(keep, time.Since(c.startedAt))
}

// run runs one command and returns its answer.
func (c *checkout) run(p *profile, command Command, until time.Time) (Answer, error) {
	c.sent = clock.Now()
	answers, err := c.executor.exec(p, []Command{command}, until)
	if err != nil {
		return Answer{}, err
	}
	return answers[0], nil
}

// forward runs the caller's statement if the server's log contains floor; a zero floor means no
// requirement.
func (c *checkout) forward(s *Session, op *operation, floor position.Position, until time.Time) (Answer, error) {
	a, err := c.run(&s.profile, Forward{ID: op.request.ID, Statement: op.request.Statement, Floor: floor}, until)
	op.maybeSent = op.maybeSent || !notSent(err)
	return a, err
}

// beginAt opens a transaction on the server. That it acts as primary is shown only by the first statement: the
// answer to a begin may be a repeated one.
func (c *checkout) beginAt(s *Session, b BeginAt, until time.Time) (Answer, error) {
	return c.run(&s.profile, b, until)
}

// verifyPrimary has the server show that it is the primary by opening and rolling back a
// read-write transaction, which a deposed primary refuses. Where a promotion doesn't depose the
// old primary, callers must also check hasQuorum. The returned position is the end of the
// server's log at the begin. The transaction takes no slot of the server.
func (c *checkout) verifyPrimary(until time.Time) (position.Position, Answer, error) {
	c.sent = clock.Now()
	answers, err := c.executor.exec(nil, []Command{BeginAt{}, Abandon{}}, until)
	if err != nil {
		return position.Position{}, Answer{}, err
	}
	begun, ended := answers[0], answers[1]
	if !begun.Succeeded() {
		begun.Phase = ended.Phase
		return position.Position{}, begun, nil
	}
	c.markPrimary(begun)
	return begun.Position, ended, nil
}

// markPrimary records an answer that a server gives only while it acts as primary.
func (c *checkout) markPrimary(a Answer) { c.group.markPrimary(c.server, c.sent, a.Position, c.local) }

func (c *checkout) rollback(until time.Time) (Answer, error) { return c.run(nil, Abandon{}, until) }

// recordFailure records an error of the executor for the server.
func (c *checkout) recordFailure(err error) { c.group.recordFailure(c.server, err, c.local) }
