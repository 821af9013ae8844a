package proxy

import "time"

// localExecutor runs commands on a connection of this VM's pool.
type localExecutor struct{ conn *Conn }

func (e localExecutor) release(keep bool, d time.Duration) {
	e.conn.leave()
	e.conn.pool.Release(e.conn, keep, d)
}

// maxPreparedPlans limits the statements kept prepared on one connection.
const maxPreparedPlans = 128

// noteWrite records whether the transaction that is open after commands has written.
func (c *Conn) noteWrite(p *profile, commands []Command, answers []Answer) {
	if len(answers) == 0 || answers[len(answers)-1].Phase != InTransaction {
		c.hasWritten = false
		return
	}
	c.hasWritten = c.hasWritten || writes(p, lastForward(commands))
}

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
	commits := c.pool.AwaitsReplicas != nil && c.pool.AwaitsReplicas() && c.commits(p, commands)
	if commits {
		if err := c.pool.beginCommit(c); err != nil {
			c.leave()
			return nil, err
		}
	}
	answers, err := c.exec(p, commands, until)
	if commits {
		c.pool.endCommit(c, err == nil && answers[len(answers)-1].Succeeded())
	}
	c.noteWrite(p, commands, answers)
	c.inTransaction = len(answers) > 0 && answers[len(answers)-1].Phase == InTransaction
	if c.inTransaction {
		c.pool.markIdle(c)
	}
	c.leaveService(commands, answers, err)
	return answers, err
}
