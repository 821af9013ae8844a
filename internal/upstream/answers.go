package upstream

import (
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/savoryramp/savoryramp/internal/socket"
)

const (
	// answerParameter is the ParameterStatus with which a server numbers its answers: 0
	// at the start-up, n as the first message of the answer to the n-th cycle.
	answerParameter = "savoryramp.answer"
	startupAnswer   = "0"
	severityFatal   = "FATAL"
)

// messageSet is a set of kinds of messages that were sent.
type messageSet uint8

const (
	sentQuery messageSet = 1 << iota
	sentParse
	sentBind
	sentDescribe
	sentExecute
	sentClose
)

// cycles counts what was sent on a connection. A cycle is everything that is sent up to
// and including a Query or a Sync.
type cycles struct {
	mu sync.Mutex
	// sent is the number of the newest cycle of which a message was sent.
	sent int64
	// isOpen is true while the newest cycle lacks its Query or Sync.
	isOpen bool
	// unanswered holds the kinds of messages in each cycle whose answer isn't complete,
	// oldest first. It is only used if the server doesn't number its answers.
	unanswered []messageSet
}

// record counts a message that is sent.
func (cy *cycles) record(m pgproto3.FrontendMessage, numbered bool) {
	cy.mu.Lock()
	defer cy.mu.Unlock()
	kind, isEnd := kindOf(m)
	if !cy.isOpen {
		cy.sent++
		if !numbered {
			cy.unanswered = append(cy.unanswered, 0)
		}
	}
	cy.isOpen = !isEnd
	if n := len(cy.unanswered); n > 0 {
		cy.unanswered[n-1] |= kind
	}
}

// kindOf returns the kind of a message, and whether it ends a cycle.
func kindOf(m pgproto3.FrontendMessage) (kind messageSet, isEnd bool) {
	switch m.(type) {
	case *pgproto3.Query:
		return sentQuery, true
	case *pgproto3.Sync:
		return 0, true
	case *pgproto3.Parse:
		return sentParse, false
	case *pgproto3.Bind:
		return sentBind, false
	case *pgproto3.Describe:
		return sentDescribe, false
	case *pgproto3.Execute:
		return sentExecute, false
	case *pgproto3.Close:
		return sentClose, false
	}
	return 0, false
}

// newest returns the number of the newest cycle.
func (cy *cycles) newest() int64 {
	cy.mu.Lock()
	defer cy.mu.Unlock()
	return cy.sent
}

// oldest returns what was sent in the oldest unanswered cycle, false if there is none.
func (cy *cycles) oldest() (messageSet, bool) {
	cy.mu.Lock()
	defer cy.mu.Unlock()
	if len(cy.unanswered) == 0 {
		return 0, false
	}
	return cy.unanswered[0], true
}

// endOldest ends the oldest unanswered cycle.
func (cy *cycles) endOldest() {
	cy.mu.Lock()
	defer cy.mu.Unlock()
	copy(cy.unanswered, cy.unanswered[1:])
	cy.unanswered = cy.unanswered[:len(cy.unanswered)-1]
}

// permits reports whether a message can belong to the answer to a cycle in which s was
// sent.
func (s messageSet) permits(m pgproto3.BackendMessage) bool {
	switch m.(type) {
	case *pgproto3.ErrorResponse, *pgproto3.ReadyForQuery, *pgproto3.NoticeResponse, *pgproto3.NotificationResponse, *pgproto3.ParameterStatus:
		return true
	case *pgproto3.ParseComplete:
		return s&sentParse != 0
	case *pgproto3.BindComplete:
		return s&sentBind != 0
	case *pgproto3.CloseComplete:
		return s&sentClose != 0
	case *pgproto3.ParameterDescription, *pgproto3.NoData:
		return s&sentDescribe != 0
	case *pgproto3.RowDescription:
		return s&(sentQuery|sentDescribe) != 0
	case *pgproto3.PortalSuspended:
		return s&sentExecute != 0
	case *pgproto3.AuthenticationOk, *pgproto3.AuthenticationSASLFinal, *pgproto3.BackendKeyData:
		return false
	}
	return s&(sentQuery|sentExecute) != 0
}

// Send queues a message until Flush.
func (c *Conn) Send(m pgproto3.FrontendMessage) {
	c.cycles.record(m, c.numbered)
	c.frontend.Send(m)
}

// isOwn reports whether a message belongs to the answer to the oldest unanswered cycle,
// or stands outside of answers. Messages of repeated answers aren't own ones. It returns
// ErrBroken if it can't be shown to which answer the message belongs.
func (c *Conn) isOwn(m pgproto3.BackendMessage) (bool, error) {
	if !c.numbered {
		return c.isPermitted(m)
	}
	if p, found := m.(*pgproto3.ParameterStatus); found && p.Name == answerParameter {
		return false, c.beginAnswer(p.Value)
	}
	_, isEnd := m.(*pgproto3.ReadyForQuery)
	switch {
	case c.skipping:
		c.skipping = !isEnd
		return false, nil
	case c.inAnswer:
		c.inAnswer = !isEnd
		return true, nil
	}
	return c.isValidOutside(m)
}

// beginAnswer begins the answer of a number, or skips it if it came before.
func (c *Conn) beginAnswer(value string) error {
	number, err := strconv.ParseInt(value, 10, 64)
	switch {
	case err != nil || number < 0 || c.inAnswer:
	case c.skipping:
		if number == 0 && c.skippedNumber == 0 {
			return nil
		}
	case number <= c.answered:
		c.skip(number)
		return nil
	case number == c.answered+1 && number <= c.cycles.newest():
		c.answered, c.inAnswer = number, true
		return nil
	}
	return c.rejectAnswer(value)
}

// skip begins to skip a repeated answer.
func (c *Conn) skip(number int64) {
	c.skipping, c.skippedNumber = true, number
	c.monitor.reportSkipped(c, number)
}

// isPermitted reports whether a message of a server that doesn't number its answers can
// belong to the oldest unanswered cycle.
func (c *Conn) isPermitted(m pgproto3.BackendMessage) (bool, error) {
	sent, found := c.cycles.oldest()
	if !found {
		return c.isValidOutside(m)
	}
	if !sent.permits(m) {
		return false, c.rejectAnswer(fmt.Sprintf("%T", m))
	}
	if _, isEnd := m.(*pgproto3.ReadyForQuery); isEnd {
		c.cycles.endOldest()
		c.answered++
	}
	return true, nil
}

// isValidOutside reports whether a message is valid outside of answers: a notification or
// notice, a changed setting, or the end of the connection. The start-up's answer may be
// repeated there.
func (c *Conn) isValidOutside(m pgproto3.BackendMessage) (bool, error) {
	switch m := m.(type) {
	case *pgproto3.NotificationResponse, *pgproto3.NoticeResponse:
		return true, nil
	case *pgproto3.ParameterStatus:
		if m.Name != positionParameter {
			return true, nil
		}
	case *pgproto3.ErrorResponse:
		if m.Severity == severityFatal {
			return false, ErrBroken.New("server %s ended the connection: %s: %s", c.Server, m.Code, m.Message)
		}
	case *pgproto3.AuthenticationOk, *pgproto3.AuthenticationSASLFinal:
		if c.numbered {
			c.skip(0)
			return false, nil
		}
	}
	return false, c.rejectAnswer(fmt.Sprintf("%T", m))
}

// rejectAnswer returns the error after which the connection must be closed, since what
// was received can't be shown to belong to the outstanding request.
func (c *Conn) rejectAnswer(received string) error {
	c.notReusable.Store(true)
	c.monitor.reportRejected(c, received)
	return ErrBroken.New("server %s sent %s in place of answer %d", c.Server, received, c.answered+1)
}

// isAnswered reports whether all cycles were answered completely.
func (c *Conn) isAnswered() bool {
	c.cycles.mu.Lock()
	defer c.cycles.mu.Unlock()
	return c.answered == c.cycles.sent && !c.cycles.isOpen && !c.inAnswer
}

// isInputValid reports whether an idle connection has received nothing but what is valid
// outside of answers. A server that numbers its answers needs no check.
func (c *Conn) isInputValid(timeout time.Duration) bool {
	for !c.numbered && (c.frontend.ReadBufferLen() > 0 || !socket.IsAlive(c.netConn)) {
		if _, err := c.Receive(time.Now().Add(timeout)); err != nil {
			return false
		}
	}
	return true
}
