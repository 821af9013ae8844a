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
type channel interface {
	// exec runs commands one behind the other; statements find the profile, which is nil
	// where none run. An error of the types that notSent tells means that none ran.
	exec(p *profile, commands []Command, until time.Time) ([]Answer, error)
	// give returns the channel; only one that is outside of transactions may be kept.
	give(keep bool, took time.Duration)
}

// lease is the use of a channel by one session, for a statement or a transaction.
type lease struct {
	channel channel
	server  ServerID
	group   *Group
	began   time.Time
	// sent is when the last command went out.
	sent clock.Instant
	// direct leases use a connection of this VM's own.
	direct bool
}

func (g *Group) lease(c channel, id ServerID, direct bool) *lease {
	return &lease{channel: c, server: id, group: g, direct: direct, began: time.Now()}
}

// give returns the connection to its pool.
func (l *lease) give(keep bool) { l.channel.give(keep, time.Since(l.began)) }

// run runs one command and gives its answer.
func (l *lease) run(p *profile, c Command, until time.Time) (Answer, error) {
	l.sent = clock.Now()
	answers, err := l.channel.exec(p, []Command{c}, until)
	if err != nil {
		return Answer{}, err
	}
	return answers[0], nil
}

// forward runs the caller's statement on a log that covers floor; zero for no demand.
func (l *lease) forward(s *Session, op *operation, floor position.Position, until time.Time) (Answer, error) {
	a, err := l.run(&s.profile, Forward{ID: op.request.ID, Statement: op.request.Statement, Floor: floor}, until)
	op.sent = op.sent || !notSent(err)
	return a, err
}

// beginAt opens a transaction at the server.
func (l *lease) beginAt(s *Session, b BeginAt, until time.Time) (Answer, error) {
	a, err := l.run(&s.profile, b, until)
	if err == nil && a.Succeeded() && !b.ReadOnly {
		l.proveLead(a)
	}
	return a, err
}

// prove has the primary open and end a transaction, which a replaced one refuses, and
// gives the position that its log had then. It takes no slot.
func (l *lease) prove(until time.Time) (position.Position, Answer, error) {
	l.sent = clock.Now()
	answers, err := l.channel.exec(nil, []Command{BeginAt{}, Abandon{}}, until)
	if err != nil {
		return position.Position{}, Answer{}, err
	}
	begun, ended := answers[0], answers[1]
	if !begun.Succeeded() {
		begun.Phase = ended.Phase
		return position.Position{}, begun, nil
	}
	l.proveLead(begun)
	return begun.Position, ended, nil
}

// proveLead takes note of an answer that a replaced primary wouldn't give.
func (l *lease) proveLead(a Answer) { l.group.led(l.server, l.sent, a.Position, l.direct) }

func (l *lease) abandon(until time.Time) (Answer, error) { return l.run(nil, Abandon{}, until) }

// failed takes note of an error of the channel.
func (l *lease) failed(err error) { l.group.failed(l.server, err, l.direct) }
