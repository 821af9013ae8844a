package fakeupstream

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// Duplicates is the fault that whole answers are sent a second time on the same
// connection. A duplicate never begins within another answer.
type Duplicates struct {
	// Share of the answers that are duplicated, from 0 to 1.
	Share float64
	// MaxDelay bounds the random delay of a duplicate after its answer.
	MaxDelay time.Duration
	// Seed determines, together with the number of a connection, which of its answers
	// are duplicated and when.
	Seed uint64
}

// SetDuplicates changes which answers are duplicated; the zero value duplicates none.
func (s *Server) SetDuplicates(d Duplicates) {
	s.change(FaultDuplicate, d, func() { s.faults.duplicates = d })
}

func (s *Server) duplicates() Duplicates {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	return s.faults.duplicates
}

// duplicator draws the duplicates of one connection.
type duplicator struct {
	fault  Duplicates
	random *rand.Rand
}

// draw returns the delay of the next answer's duplicate, false if it gets none.
func (d *duplicator) draw(fault Duplicates, id ConnectionID) (time.Duration, bool) {
	if fault.Share == 0 {
		return 0, false
	}
	if d.random == nil || d.fault != fault {
		d.fault, d.random = fault, rand.New(rand.NewPCG(fault.Seed, uint64(id)))
	}
	isDuplicated := d.random.Float64() < fault.Share
	delay := time.Duration(d.random.Int64N(int64(fault.MaxDelay) + 1))
	return delay, isDuplicated
}

// beginCycle begins a cycle with its answer's number, unless one has begun.
func (s *session) beginCycle() {
	if s.answering {
		return
	}
	s.beginAnswer()
	s.cycle++
	s.tellAnswer()
}

// tellAnswer numbers an answer. It goes before its other messages, and among the
// parameters of the start-up.
func (s *session) tellAnswer() {
	if !s.server.Unnumbered {
		s.backend.Send(&pgproto3.ParameterStatus{Name: answerParameter, Value: strconv.FormatInt(s.cycle, 10)})
	}
}

// beginAnswer starts recording an answer.
func (s *session) beginAnswer() {
	s.answering = true
	s.conn.record(true)
}

// endAnswer ends the recording of an answer that was sent completely, and returns it.
func (s *session) endAnswer() []byte {
	s.answering = false
	return s.conn.record(false)
}

// duplicate sends an answer again after a delay.
func (s *session) duplicate(answer []byte, delay time.Duration) {
	if sleep(s.ctx, delay) == nil && s.thaw() {
		s.conn.duplicate(answer)
	}
}

// record begins or ends the recording of what is written, and returns what was recorded.
// At the end of an answer, it writes the duplicates that were due within it.
func (c *conn) record(on bool) []byte {
	c.writing <- struct{}{}
	defer func() { <-c.writing }()
	recorded := c.recorded
	c.recording, c.recorded = on, nil
	for _, d := range c.overdue {
		_, _ = c.write(d)
	}
	c.overdue = nil
	return recorded
}

// duplicate writes an answer again, or leaves it to the end of an answer that was sent in
// part.
func (c *conn) duplicate(answer []byte) {
	c.writing <- struct{}{}
	defer func() { <-c.writing }()
	if len(c.recorded) > 0 {
		c.overdue = append(c.overdue, answer)
		return
	}
	_, _ = c.write(answer)
}
