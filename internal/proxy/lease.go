package proxy

import (
	"time"

	"github.com/savoryramp/savoryramp/internal/clock"
	"github.com/savoryramp/savoryramp/pkg/position"
)

// profile is what a session set and prepared; statements must find it at their server.
type profile struct {
	values map[string]string
	plans  map[StatementName]Plan
}

func newProfile() profile {
	return profile{values: map[string]string{}, plans: map[StatementName]Plan{}}
}

// channel carries commands to one server: a connection of this VM's, or one of another
// VM's. One task uses it at a time.
type executor interface {
	// exec runs commands one behind the other; statements find the profile, which is nil
	// where none run. An error of the types that notSent tells means that none ran.
	exec(p *profile, commands []Command, until time.Time) ([]Answer, error)
	// give returns the channel; only one that is outside of transactions may be kept.
	release(keep bool, took time.Duration)
}

// lease is the use of a channel by one session, for a statement or a transaction.
type checkout struct {
	executor  executor
	server    ServerID
	group     *Group
	startedAt time.Time
	// sent is when the last command went out.
	sentAt clock.Instant
	// direct leases use a connection of this VM's own.
	local bool
}

func (g *Group) newCheckout(e executor, id ServerID, local bool) *checkout {
	return &checkout{executor: e, server: id, group: g, local: local, startedAt: time.Now()}
}

// give returns the connection to its pool.
func (co *checkout) release(keep bool) { co.executor.release(keep, time.Since(co.startedAt)) }

// run runs one command and gives its answer.
func (co *checkout) run(p *profile, c Command, until time.Time) (Answer, error) {
	co.sentAt = clock.Now()
	answers, err := co.executor.exec(p, []Command{c}, until)
	if err != nil {
		return Answer{}, err
	}
	return answers[0], nil
}

// forward runs the caller's statement on a log that covers floor; zero for no demand.
func (co *checkout) forward(s *Session, op *operation, floor position.Position, until time.Time) (Answer, error) {
	a, err := co.run(&s.profile, Forward{ID: op.request.ID, Statement: op.request.Statement, Floor: floor}, until)
	op.maybeSent = op.maybeSent || !notSent(err)
	return a, err
}

// beginAt opens a transaction at the server.
func (co *checkout) beginAt(s *Session, b BeginAt, until time.Time) (Answer, error) {
	a, err := co.run(&s.profile, b, until)
	if err == nil && a.Succeeded() && !b.ReadOnly {
		co.recordPrimary(a)
	}
	return a, err
}

// prove has the primary open and end a transaction, which a replaced one refuses, and
// gives the position that its log had then. It takes no slot.
func (co *checkout) verifyPrimary(until time.Time) (position.Position, Answer, error) {
	co.sentAt = clock.Now()
	answers, err := co.executor.exec(nil, []Command{BeginAt{}, Abandon{}}, until)
	if err != nil {
		return position.Position{}, Answer{}, err
	}
	begun, ended := answers[0], answers[1]
	if !begun.Succeeded() {
		begun.Phase = ended.Phase
		return position.Position{}, begun, nil
	}
	co.recordPrimary(begun)
	return begun.Position, ended, nil
}

// proveLead takes note of an answer that a replaced primary wouldn't give.
func (co *checkout) recordPrimary(a Answer) {
	co.group.recordPrimary(co.server, co.sentAt, a.Position, co.local)
}

func (co *checkout) rollback(until time.Time) (Answer, error) { return co.run(nil, Abandon{}, until) }

// failed takes note of an error of the channel.
func (co *checkout) recordFailure(err error) { co.group.recordFailure(co.server, err, co.local) }
