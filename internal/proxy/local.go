package proxy

import (
	"fmt"
	"time"
)

// localExecutor runs commands on a connection of this VM's pool.
type localExecutor struct{ conn *Conn }

func (e localExecutor) release(keep bool, d time.Duration) {
	e.conn.leave()
	e.conn.pool.Release(e.conn, keep, d)
}

// maxPreparedPlans limits the statements kept prepared on one connection.
const maxPreparedPlans = 128

// exec runs commands on the connection. A transaction that they leave open counts as idle until
// the next call.
func (e localExecutor) exec(p *profile, commands []Command, until time.Time) ([]Answer, error) {
	c := e.conn
	if len(commands) == 1 {
		if _, begins := commands[0].(BeginAt); begins {
			if err := c.pool.admitTransaction(c); err != nil {
				return nil, err
			}
		}
	}
	if err := c.pool.beginCommands(c, commands, until); err != nil {
		return nil, err
	}
	if err := c.enterService(commands, until); err != nil {
		return nil, err
	}
	answers, err := c.exec(p, commands, until)
	c.inTransaction = len(answers) > 0 && answers[len(answers)-1].Phase == InTransaction
	if c.inTransaction {
		c.pool.markIdle(c)
	}
	c.leaveService(commands, answers, err)
	return answers, err
}

// exec runs commands in order, preceded by those that make the connection match the profile.
func (c *Conn) exec(p *profile, commands []Command, until time.Time) ([]Answer, error) {
	// extra counts, for each command, the answers to profile commands that precede its own.
	extra := make([]int, len(commands))
	for i, command := range commands {
		if p != nil {
			extra[i], command = c.queueProfile(p, command)
		}
		c.Link.Send(command)
	}
	if err := c.Link.Flush(until); err != nil {
		return nil, err
	}
	answers := make([]Answer, len(commands))
	for i := range commands {
		refused := ""
		for range extra[i] {
			a, err := c.Link.Receive(until)
			if err != nil {
				return nil, err
			}
			c.observe(Reset{}, a)
			if !a.Succeeded() {
				refused = string(a.Failure) + " " + a.Detail
			}
		}
		a, err := c.Link.Receive(until)
		if err != nil {
			return nil, err
		}
		c.observe(commands[i], a)
		if refused != "" {
			// The statement may have run with values other than the session's.
			return nil, ErrBroken.New("server %s refused a session value: %s", c.Server, refused)
		}
		answers[i] = a
	}
	return answers, nil
}

// queueProfile buffers the commands that set the connection's values and plans to those of the
// profile. It returns their number, and the command with the name that its prepared statement
// has on the server.
func (c *Conn) queueProfile(p *profile, command Command) (int, Command) {
	n := 0
	if c.hasStaleValues(p.values) || len(c.plans) >= maxPreparedPlans {
		c.Link.Send(Reset{})
		c.values, c.plans = map[string]string{}, map[Plan]StatementName{}
		n++
	}
	for name, value := range p.values {
		if before, found := c.values[name]; !found || before != value {
			c.Link.Send(Assign{Name: name, Value: value})
			c.values[name] = value
			n++
		}
	}
	f, isForward := command.(Forward)
	e, isExecute := f.Statement.(Execute)
	if !isForward || !isExecute {
		return n, command
	}
	plan := p.plans[e.Name]
	name, found := c.plans[plan]
	if !found {
		name = StatementName("p" + itoa(int64(len(c.plans)+1)))
		c.Link.Send(PreparePlan{Name: name, Plan: plan})
		c.plans[plan] = name
		n++
	}
	f.Statement = Execute{Name: name, Arguments: e.Arguments}
	return n, f
}

// hasStaleValues reports whether the connection has values that the session hasn't set.
func (c *Conn) hasStaleValues(values map[string]string) bool {
	for name := range c.values {
		if _, found := values[name]; !found {
			return true
		}
	}
	return false
}

// observe reports an answer that isn't, or may not be, that of a command.
func (c *Conn) observe(command Command, a Answer) {
	whose, identical := c.history.attribute(command, c.phase, a)
	if whose != ownAnswer && (whose != unclearAnswer || identical) {
		c.reportUnexpected(command, a, whose, identical)
	}
	c.phase = a.Phase
}

// maxLoggedDigest is how much of a digest is logged.
const maxLoggedDigest = 60

// reportUnexpected logs and counts an answer that isn't, or may not be, that of a command.
func (c *Conn) reportUnexpected(command Command, a Answer, whose attribution, identical bool) {
	request := InternalRequestID
	if f, isForward := command.(Forward); isForward {
		request = f.ID
	}
	eventUnexpectedAnswer.Log(c.pool.Logger, "server", c.Server, "connection", c.number, "request", request, "command", fmt.Sprintf("%T", command),
		"kind", whose, "identical", identical, "digest", a.Digest[:min(len(a.Digest), maxLoggedDigest)], "failure", a.Failure, "phase", a.Phase, "phase-before", c.phase, "position", a.Position, "received-before", len(c.history.contents))
	if c.pool.OnUnexpected != nil {
		c.pool.OnUnexpected(whose)
	}
}
