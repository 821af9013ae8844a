package proxy

import (
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/savoryramp/savoryramp/pkg/position"
)

// scriptedLink is a connection on which given answers arrive, whatever is sent.
type scriptedLink struct {
	answers []Answer
	sent    int
}

func (l *scriptedLink) Send(Command)          { l.sent++ }
func (*scriptedLink) Flush(time.Time) error   { return nil }
func (*scriptedLink) Input() InputState       { return NoInput }
func (*scriptedLink) Close()                  {}
func (l *scriptedLink) remaining() int        { return len(l.answers) }
func (l *scriptedLink) arrive(list ...Answer) { l.answers = append(l.answers, list...) }

func (*scriptedLink) DecodeStatus(Answer) (ServerStatus, error) { return ServerStatus{}, nil }

func (l *scriptedLink) Receive(time.Time) (Answer, error) {
	if len(l.answers) == 0 {
		return Answer{}, ErrTimeout.New("no answer")
	}
	a := l.answers[0]
	l.answers = l.answers[1:]
	return a, nil
}

// TestExchange guards against refusals that aren't true, commits that are sent again after they ran, and answers of
// earlier statements: the second of two equal refusals on a connection may be the first one, repeated.
func TestExchange(t *testing.T) {
	var (
		read   = Forward{ID: "r", Statement: Read{Text: "READ x"}}
		write  = Forward{ID: "w", Statement: Write{Text: "WRITE x 1"}}
		commit = Forward{ID: "c", Statement: Commit{}}
		busy   = Answer{Failure: Busy, Detail: "i-1", Phase: Idle}
		inTx   = Answer{Digest: "-", Phase: InTransaction}
		idle   = Answer{Digest: "-", Phase: Idle}
		status = Answer{Digest: "-", Rows: []string{"primary 1"}, Phase: Idle}
	)
	done := func(digest string, p Phase) Answer { return Answer{Digest: digest, Phase: p} }
	for name, test := range map[string]struct {
		// before has arrived on the connection earlier; begun is true if a transaction is open.
		before []Answer
		begun  bool
		// repeats is true if the server is known to repeat answers.
		repeats bool
		// verified is true if the latest commands verified the primary.
		verified bool
		commands []Command
		answers  []Answer
		want     Answer
		err      *errorx.Type
	}{
		"a first refusal is the write's":                 {commands: []Command{write}, answers: []Answer{busy}, want: busy},
		"a second refusal before the answers to markers": {before: []Answer{busy}, commands: []Command{write}, answers: []Answer{busy, inTx, idle, inTx, idle}, want: busy},
		"a repeated refusal, then the write's answer":    {before: []Answer{busy}, commands: []Command{write}, answers: []Answer{busy, done("d.w", Idle), inTx, idle, inTx, idle}, want: done("d.w", Idle)},
		"a repeated refusal, then other repeats":         {before: []Answer{busy, done("d.0", Idle)}, commands: []Command{write}, answers: []Answer{busy, done("d.0", Idle), inTx, idle, inTx, idle}, err: ErrUnproven},
		"a second refusal, then no answer":               {before: []Answer{busy}, commands: []Command{write}, answers: []Answer{busy}, err: ErrTimeout},
		"a second refusal at a server that repeats":      {before: []Answer{busy}, repeats: true, commands: []Command{write}, answers: []Answer{busy, inTx, idle, inTx, idle}, err: ErrUnproven},
		"a commit refused twice":                         {before: []Answer{{Failure: Busy, Detail: "i-1", Phase: InTransaction}}, begun: true, commands: []Command{commit}, answers: []Answer{{Failure: Busy, Detail: "i-1", Phase: InTransaction}, inTx, inTx}, want: Answer{Failure: Busy, Detail: "i-1", Phase: InTransaction}},
		"a repeated refusal, then the commit's answer":   {before: []Answer{busy}, begun: true, commands: []Command{commit}, answers: []Answer{{Failure: Busy, Detail: "i-1", Phase: InTransaction}, done("d.c", Idle), idle, idle}, want: done("d.c", Idle)},
		"a commit refused twice at one that repeats":     {before: []Answer{busy}, begun: true, repeats: true, commands: []Command{commit}, answers: []Answer{{Failure: Busy, Detail: "i-1", Phase: InTransaction}, inTx, inTx}, err: ErrUnproven},
		"a statement's answer outside the transaction":   {begun: true, commands: []Command{read}, answers: []Answer{done("d.r", Idle)}, err: ErrUnproven},
		"an answer without a digest before the read's":   {commands: []Command{read}, answers: []Answer{inTx, idle, done("d.r", Idle)}, want: done("d.r", Idle)},
		"the start's answer before the read's":           {commands: []Command{read}, answers: []Answer{{Phase: Idle}, done("d.r", Idle)}, want: done("d.r", Idle)},
		"an earlier digest before the read's":            {before: []Answer{done("d.0", Idle)}, commands: []Command{read}, answers: []Answer{done("d.0", Idle), done("d.r", Idle)}, want: done("d.r", Idle)},
		"a verification":                                 {commands: []Command{BeginAt{}, Abandon{}}, answers: []Answer{inTx, idle}, want: idle},
		"a verification with a repeated answer":          {commands: []Command{BeginAt{}, Abandon{}}, answers: []Answer{inTx, inTx, idle}, err: ErrUnproven},
		"a read after a repeated verification":           {verified: true, commands: []Command{Forward{ID: "r", Statement: Read{Text: "READ x"}, Floor: position.Position{Term: 1, Offset: 1}}}, answers: []Answer{inTx, idle, done("d.r", Idle)}, err: ErrUnproven},
		"a write after a repeated verification":          {verified: true, commands: []Command{write}, answers: []Answer{inTx, idle, done("d.w", Idle)}, want: done("d.w", Idle)},
		"a status that was received before":              {before: []Answer{status}, commands: []Command{QueryStatus{}}, answers: []Answer{status, inTx, idle, inTx, idle}, want: status},
		"a status before another one":                    {before: []Answer{status}, commands: []Command{QueryStatus{}}, answers: []Answer{status, {Digest: "-", Rows: []string{"replica 2"}, Phase: Idle}, inTx, idle, inTx, idle}, err: ErrUnproven},
	} {
		t.Run(name, func(t *testing.T) {
			link := &scriptedLink{}
			c := &Conn{Link: link, pool: &Pool{}, phase: Idle, values: map[string]string{}, plans: map[Plan]StatementName{}}
			for _, a := range test.before {
				c.history.note(a)
			}
			if test.begun {
				c.phase = InTransaction
			}
			c.verified = test.verified
			if test.repeats {
				c.noteUnexpected(nil, Answer{}, repeatedAnswer)
			}
			link.arrive(test.answers...)
			answers, err := c.exec(nil, test.commands, time.Now().Add(time.Second))
			if test.err != nil {
				assert.Assert(t, errorx.IsOfType(err, test.err), "%v, %+v", err, answers)
				assert.Assert(t, c.mustClose() || errorx.IsOfType(err, ErrTimeout))
				return
			}
			assert.NilError(t, err)
			assert.DeepEqual(t, answers[len(answers)-1], test.want)
			assert.Equal(t, link.remaining(), 0)
		})
	}
}

// TestMarkers guards against the answer to a refused read that arrives later and is taken for that of the next
// statement on the connection.
func TestMarkers(t *testing.T) {
	var (
		lagging = Answer{Failure: Lagging, Detail: "i-1", Phase: Idle}
		inTx    = Answer{Digest: "-", Phase: InTransaction}
		idle    = Answer{Digest: "-", Phase: Idle}
		late    = Answer{Digest: "d.late", Phase: Idle}
		own     = Answer{Digest: "d.own", Phase: Idle}
	)
	for name, test := range map[string]struct {
		answers []Answer
		unknown bool
	}{
		"the refusal was the read's":         {answers: []Answer{inTx, idle, inTx, idle, own}},
		"the refusal was repeated":           {answers: []Answer{late, inTx, idle, inTx, idle, own}},
		"another answer without a digest":    {answers: []Answer{idle, inTx, idle, inTx, idle, own}, unknown: true},
		"the answer comes after the markers": {answers: []Answer{inTx, idle, late, inTx, idle, own}, unknown: true},
		"a marker is refused":                {answers: []Answer{{Failure: Busy, Phase: Idle}, idle, inTx, idle, own}, unknown: true},
		"the connection is silent":           {unknown: true},
	} {
		t.Run(name, func(t *testing.T) {
			link := &scriptedLink{}
			c := &Conn{Link: link, pool: &Pool{}, phase: Idle, values: map[string]string{}, plans: map[Plan]StatementName{}}
			c.history.note(lagging)
			link.arrive(lagging)
			until := time.Now().Add(time.Second)
			answers, err := c.exec(nil, []Command{Forward{ID: "1", Statement: Read{Text: "READ x"}}}, until)
			assert.NilError(t, err)
			assert.DeepEqual(t, answers, []Answer{lagging})
			assert.Equal(t, link.sent, 5, "the read and four markers")
			link.arrive(test.answers...)
			if err := c.prepare(until); test.unknown {
				assert.Assert(t, errorx.IsOfType(err, ErrUnsettled), "%v", err)
				assert.Assert(t, c.mustClose())
				return
			}
			answers, err = c.exec(nil, []Command{Forward{ID: "2", Statement: Read{Text: "READ x"}}}, until)
			assert.NilError(t, err)
			assert.DeepEqual(t, answers, []Answer{own})
		})
	}
}
