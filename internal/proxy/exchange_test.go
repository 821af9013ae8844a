package proxy

import (
	"strings"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/savoryramp/savoryramp/pkg/position"
)

// scriptedLink is a connection on which given answers arrive after the first commands. Later ones are markers,
// which are answered as a server does.
type scriptedLink struct {
	// script has the answers to the first commands, late those that arrive before the answers to markers.
	script, late []Answer
	// change changes the answers to markers, unless it is nil.
	change  func([]Answer) []Answer
	answers []Answer
	sent    []Command
	flushed int
}

func (l *scriptedLink) Send(c Command, _ time.Time) { l.sent = append(l.sent, c) }
func (*scriptedLink) Input() InputState             { return NoInput }
func (*scriptedLink) Close()                        {}
func (l *scriptedLink) remaining() int              { return len(l.answers) }

func (l *scriptedLink) Flush(time.Time) error {
	if l.flushed++; l.flushed == 1 {
		l.answers, l.sent = append(l.answers, l.script...), nil
		return nil
	}
	phase := l.script[len(l.script)-1].Phase
	if n := len(l.late); n > 0 {
		phase = l.late[n-1].Phase
	}
	var markers []Answer
	for _, c := range l.sent {
		phase = phaseAfter(c, phase)
		markers = append(markers, Answer{Digest: "-", Phase: phase})
	}
	if l.change != nil {
		markers = l.change(markers)
	}
	l.answers = append(append(l.answers, l.late...), markers...)
	return nil
}

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
		// silent is true if the server doesn't answer markers, repeats if it is known to repeat answers.
		silent, repeats bool
		// verified is true if the latest commands verified the primary.
		verified bool
		commands []Command
		// answers arrive after the commands, late before the answers to markers that are sent after that.
		answers, late []Answer
		want          Answer
		err           *errorx.Type
	}{
		"a first refusal is the write's":                 {commands: []Command{write}, answers: []Answer{busy}, want: busy},
		"a second refusal before the answers to markers": {before: []Answer{busy}, commands: []Command{write}, answers: []Answer{busy}, want: busy},
		"a repeated refusal, then the write's answer":    {before: []Answer{busy}, commands: []Command{write}, answers: []Answer{busy}, late: []Answer{done("d.w", Idle)}, want: done("d.w", Idle)},
		"a repeated refusal, then other repeats":         {before: []Answer{busy, done("d.0", Idle)}, commands: []Command{write}, answers: []Answer{busy}, late: []Answer{done("d.0", Idle)}, err: ErrUnproven},
		"a second refusal, then no answer":               {before: []Answer{busy}, commands: []Command{write}, answers: []Answer{busy}, silent: true, err: ErrTimeout},
		"a second refusal at a server that repeats":      {before: []Answer{busy}, repeats: true, commands: []Command{write}, answers: []Answer{busy}, err: ErrUnproven},
		"a commit refused twice":                         {before: []Answer{{Failure: Busy, Detail: "i-1", Phase: InTransaction}}, begun: true, commands: []Command{commit}, answers: []Answer{{Failure: Busy, Detail: "i-1", Phase: InTransaction}}, want: Answer{Failure: Busy, Detail: "i-1", Phase: InTransaction}},
		"a repeated refusal, then the commit's answer":   {before: []Answer{busy}, begun: true, commands: []Command{commit}, answers: []Answer{{Failure: Busy, Detail: "i-1", Phase: InTransaction}}, late: []Answer{done("d.c", Idle)}, want: done("d.c", Idle)},
		"a commit refused twice at one that repeats":     {before: []Answer{busy}, begun: true, repeats: true, commands: []Command{commit}, answers: []Answer{{Failure: Busy, Detail: "i-1", Phase: InTransaction}}, err: ErrUnproven},
		"a statement's answer outside the transaction":   {begun: true, commands: []Command{read}, answers: []Answer{done("d.r", Idle)}, err: ErrUnproven},
		"a refusal of the begin after a repeated answer": {begun: true, commands: []Command{read}, answers: []Answer{{Failure: NotPrimary, Detail: "i-1", Phase: Idle}}, err: ErrUnproven},
		"an answer without a digest before the read's":   {commands: []Command{read}, answers: []Answer{inTx, idle, done("d.r", Idle)}, want: done("d.r", Idle)},
		"the start's answer before the read's":           {commands: []Command{read}, answers: []Answer{{Phase: Idle}, done("d.r", Idle)}, want: done("d.r", Idle)},
		"an earlier digest before the read's":            {before: []Answer{done("d.0", Idle)}, commands: []Command{read}, answers: []Answer{done("d.0", Idle), done("d.r", Idle)}, want: done("d.r", Idle)},
		"a verification":                                 {commands: []Command{BeginAt{}, Abandon{}}, answers: []Answer{inTx, idle}, want: idle},
		"a verification with a repeated answer":          {commands: []Command{BeginAt{}, Abandon{}}, answers: []Answer{inTx, inTx, idle}, err: ErrUnproven},
		"a read after a repeated verification":           {verified: true, commands: []Command{Forward{ID: "r", Statement: Read{Text: "READ x"}, Floor: position.Position{Term: 1, Offset: 1}}}, answers: []Answer{inTx, idle, done("d.r", Idle)}, err: ErrUnproven},
		"a write after a repeated verification":          {verified: true, commands: []Command{write}, answers: []Answer{inTx, idle, done("d.w", Idle)}, want: done("d.w", Idle)},
		"a status that was received before":              {before: []Answer{status}, commands: []Command{QueryStatus{}}, answers: []Answer{status}, want: status},
		"a status before another one":                    {before: []Answer{status}, commands: []Command{QueryStatus{}}, answers: []Answer{status}, late: []Answer{{Digest: "-", Rows: []string{"replica 2"}, Phase: Idle}}, err: ErrUnproven},
	} {
		t.Run(name, func(t *testing.T) {
			link := &scriptedLink{}
			c := &Conn{Link: link, pool: &Pool{}, alignment: alignment{phase: Idle}, values: map[string]string{}, plans: map[planDigest]StatementName{}}
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
			link.script, link.late = test.answers, test.late
			if test.silent {
				link.change = func([]Answer) []Answer { return nil }
			}
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
		late    = Answer{Digest: "d.late", Phase: Idle}
		own     = Answer{Digest: "d.own", Phase: Idle}
	)
	for name, test := range map[string]struct {
		late    []Answer
		change  func([]Answer) []Answer
		unknown bool
	}{
		"the refusal was the read's": {},
		"the refusal was repeated":   {late: []Answer{late}},
		"another answer without a digest": {
			change: func(m []Answer) []Answer { return append([]Answer{{Digest: "-", Phase: Idle}}, m...) }, unknown: true,
		},
		"the answer comes after the markers": {
			change: func(m []Answer) []Answer { return append([]Answer{m[0], late}, m[1:]...) }, unknown: true,
		},
		"a marker is refused": {
			change: func(m []Answer) []Answer { return append([]Answer{{Failure: Busy, Phase: Idle}}, m[1:]...) }, unknown: true,
		},
		"the connection is silent": {change: func([]Answer) []Answer { return nil }, unknown: true},
	} {
		t.Run(name, func(t *testing.T) {
			link := &scriptedLink{script: []Answer{lagging}, late: test.late, change: test.change}
			c := &Conn{Link: link, pool: &Pool{}, alignment: alignment{phase: Idle}, values: map[string]string{}, plans: map[planDigest]StatementName{}}
			// The position differs: a server may send the present one with a repeated answer.
			before := lagging
			before.Position = position.Position{Term: 1, Offset: 7}
			c.history.note(before)
			until := time.Now().Add(time.Second)
			answers, err := c.exec(nil, []Command{Forward{ID: "1", Statement: Read{Text: "READ x"}}}, until)
			assert.NilError(t, err)
			assert.DeepEqual(t, answers, []Answer{lagging})
			assert.Assert(t, len(link.sent) > 0, "markers")
			if err := c.prepare(until); test.unknown {
				assert.Assert(t, err != nil && c.mustClose(), "%v", err)
				return
			}
			link.flushed, link.script = 0, []Answer{own}
			answers, err = c.exec(nil, []Command{Forward{ID: "2", Statement: Read{Text: "READ x"}}}, until)
			assert.NilError(t, err)
			assert.DeepEqual(t, answers, []Answer{own})
		})
	}
}

// TestPrepare guards against a statement that is sent into the open transaction of another caller: a begin was taken
// for refused, since a refusal arrived again, and had begun.
func TestPrepare(t *testing.T) {
	link := &scriptedLink{script: []Answer{{Failure: Lagging, Detail: "i-1", Phase: InTransaction}}}
	c := &Conn{Link: link, pool: &Pool{}, alignment: alignment{phase: Idle}, values: map[string]string{}, plans: map[planDigest]StatementName{}}
	_, err := c.exec(nil, []Command{BeginAt{ReadOnly: true}}, time.Now().Add(time.Second))
	assert.NilError(t, err)
	assert.Assert(t, errorx.IsOfType(c.prepare(time.Now().Add(time.Second)), ErrUnsettled))
	assert.Assert(t, c.mustClose())
}

// Guards against memory that pooled connections hold for sessions that have ended, and that nobody is charged for.
func TestConnectionWithLongValuesIsNotKept(t *testing.T) {
	tests := map[string]struct {
		size int
		kept bool
	}{"usual": {200, true}, "long": {maxIdleValues, false}}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			runTest(t, func(tb *testbed) {
				awaitVerifiedPrimary()
				c := tb.openSession(testDatabase)
				assert.Assert(t, c.exec(Set{"note", strings.Repeat("x", test.size)}).Succeeded())
				assert.Assert(t, c.exec(write("1")).Succeeded())
				c.Close()
				found := false
				for _, m := range tb.vm.group(testService).sortedMembers() {
					m.pool.mu.Lock()
					for _, wp := range m.pool.workspacePools {
						for _, conn := range wp.idle {
							found = found || conn.values["note"] != ""
						}
					}
					m.pool.mu.Unlock()
				}
				assert.Equal(t, found, test.kept)
			})
		})
	}
}

// Guards against a prepared statement that runs in place of another one, since connections know plans by their digest.
func TestPlanDigests(t *testing.T) {
	plans := []Plan{{}, {Writes: true}, {Shape: "q"}, {Writes: true, Shape: "q"}, {Shape: "\x00q"}, {Shape: "\x01q"}}
	seen := map[planDigest]Plan{}
	for _, p := range plans {
		if other, found := seen[p.digest()]; found {
			t.Errorf("%v and %v have the same digest", p, other)
		}
		seen[p.digest()] = p
	}
}
