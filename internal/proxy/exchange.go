package proxy

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/savoryramp/savoryramp/internal/clock"
)

// sentCommand is a command whose answer is awaited.
type sentCommand struct {
	command Command
	// isSetup is true for a command that only prepares the connection for the next one.
	isSetup bool
	// isMarker is true for a setup command that must be answered as expected.
	isMarker bool
	// writes is true for a statement that writes.
	writes bool
}

// exec runs commands in order, preceded by those that make the connection match the profile. Answers to the
// callers' statements and statuses are shown to be the commands' own: ErrUnproven means that one isn't, and that
// the commands may have run. Refusals after which nothing is promised but that another attempt follows, or that
// the transaction is rolled back, may be repeated ones (see needsProof).
func (c *Conn) exec(p *profile, commands []Command, until time.Time) ([]Answer, error) {
	if len(c.markers) > 0 {
		if err := c.receiveMarkers(until); err != nil {
			return nil, c.unsettled(err.Error())
		}
	}
	if len(commands) == 0 {
		return nil, nil
	}
	sent := c.send(p, commands, until)
	if err := c.Link.Flush(until); err != nil {
		return nil, err
	}
	before, skipped, skippedPlain := c.phase, c.skipped, c.skippedPlain
	answers, unclear, err := c.receiveAll(sent, until)
	if err != nil {
		return nil, err
	}
	last := lastCommand(sent)
	a := &answers[len(answers)-1]
	f, forwards := last.command.(Forward)
	// A read at a position is what follows a verification of the primary.
	isVerifiedRead := c.verified && forwards && !f.Floor.IsZero()
	c.verified = endsVerification(commands)
	c.isDoubtful = c.isDoubtful || unclear
	switch {
	case unclear && needsProof(last, before):
		*a, err = c.settle(last.command, *a, until)
		c.isDoubtful = false
	case a.Succeeded() && !forwards && c.skipped != skipped && !isStatusCommand(last.command):
		// Answers to the VM's own commands look alike.
		err = c.misalign("%s was answered after repeated answers", commandName(last.command))
	case isVerifiedRead && c.skippedPlain != skippedPlain:
		// The answers that verified the primary may have been repeated ones, and these the true ones.
		err = c.misalign("repeated answers followed a verification")
	case forwards && !a.Succeeded() && before == InTransaction && a.Phase == Idle && !isCommit(f):
		// The refusal is that of the begin, whose answer was a repeated one.
		err = c.misalign("a statement was refused outside its transaction")
	case c.isDoubtful && c.phase == Idle:
		c.sendMarkers(until)
	}
	if err != nil {
		return nil, err
	}
	return answers, nil
}

// lastCommand returns the last command that isn't setup.
func lastCommand(sent []sentCommand) sentCommand {
	for sent[len(sent)-1].isSetup {
		sent = sent[:len(sent)-1]
	}
	return sent[len(sent)-1]
}

// send buffers commands, preceded by those that make the connection match the profile.
func (c *Conn) send(p *profile, commands []Command, until time.Time) []sentCommand {
	var sent []sentCommand
	for _, command := range commands {
		writes := false
		if p != nil {
			f, _ := command.(Forward)
			if e, isExecute := f.Statement.(Execute); isExecute {
				writes = p.plans[e.Name].Writes
			}
			sent, command = c.queueProfile(p, sent, command, until)
		}
		c.Link.Send(command, until)
		sent = append(sent, sentCommand{command: command, writes: writes})
		if _, begins := command.(BeginAt); begins && c.pool.repeatsAnswers() {
			// A repeated answer to an earlier begin could be taken for that of this one. Those to the next
			// commands show whether a transaction is open.
			for _, m := range c.markersInTransaction(minBeginMarkers + rand.IntN(minBeginMarkers)) {
				c.Link.Send(m, until)
				sent = append(sent, sentCommand{command: m, isSetup: true, isMarker: true})
			}
		}
	}
	return sent
}

// minBeginMarkers is how many markers follow a begin at least. Their number varies, so that an earlier such sequence,
// repeated in one piece, mostly doesn't stand for this one.
const minBeginMarkers = 3

// receiveAll receives the answers to commands, and returns those that aren't setup. unclear reports whether one
// of them may be a repeated one.
func (c *Conn) receiveAll(sent []sentCommand, until time.Time) (answers []Answer, unclear bool, err error) {
	refused := ""
	for _, s := range sent {
		a, whose, err := c.receive(s.command, until)
		switch {
		case err != nil:
			return nil, false, err
		case whose == lateAnswer:
			return nil, false, c.misalign("%s received the answer to an earlier statement", commandName(s.command))
		case s.isMarker && (whose != ownAnswer || !a.Succeeded()):
			return nil, false, c.misalign("the answer to a begin may be a repeated one")
		case s.isSetup && whose == unclearAnswer:
			return nil, false, c.misalign("a refusal of %s may be a repeated one", commandName(s.command))
		case s.isSetup && !a.Succeeded():
			refused = string(a.Failure) + " " + a.Detail
		}
		if !s.isSetup {
			answers = append(answers, a)
			unclear = unclear || whose == unclearAnswer
		}
	}
	if refused != "" {
		// The statement may have run with values other than the session's.
		return nil, false, ErrBroken.New("server %s refused a session value: %s", c.Server, refused)
	}
	return answers, unclear, nil
}

// receive receives the answer to the oldest unanswered command, or a late one. It skips repeated answers.
func (c *Conn) receive(command Command, until time.Time) (Answer, attribution, error) {
	for {
		a, err := c.Link.Receive(until)
		if err != nil {
			return Answer{}, "", err
		}
		whose := c.history.attribute(command, c.phase, a)
		if whose == repeatedAnswer || whose == lateAnswer {
			c.noteUnexpected(command, a, whose)
		}
		if whose == repeatedAnswer {
			continue
		}
		_, forwards := command.(Forward)
		c.refused = c.refused || forwards && !a.Succeeded() && a.Failure != Lagging
		if whose != lateAnswer {
			c.phase = a.Phase
		}
		return a, whose, nil
	}
}

// noteUnexpected logs and counts an answer that isn't that of a command.
func (c *Conn) noteUnexpected(command Command, a Answer, whose attribution) {
	c.skipped++
	if a.Digest == completedWithoutDigest {
		c.skippedPlain++
	}
	c.pool.repeatedAt.Store(int64(clock.Now()))
	eventUnexpectedAnswer.Log(c.pool.Logger, "server", c.Server, "connection", c.number,
		"request", requestOf(command), "command", commandName(command), "kind", whose,
		"digest", truncateText(a.Digest), "failure", a.Failure, "position", a.Position,
		"phase", a.Phase, "phase-before", c.phase, "remembered", len(c.history.contents))
	c.pool.countUnexpected(whose)
}

// misalign gives up a connection on which an answer can't be attributed, and returns ErrUnproven.
func (c *Conn) misalign(format string, arguments ...any) error {
	c.misaligned = true
	return ErrUnproven.New("server %s, connection %d: "+format, append([]any{c.Server, c.number}, arguments...)...)
}

// needsProof reports whether a refusal of a command must be shown to be its own before anything follows from it.
// before is the transaction state in which it was sent. A refused read or begin is tried elsewhere, and a
// transaction with a refused statement is rolled back; before the connection's next use, markers show whether the
// true answer comes later.
func needsProof(s sentCommand, before Phase) bool {
	f, forwards := s.command.(Forward)
	if !forwards {
		return isStatusCommand(s.command)
	}
	_, writes := f.Statement.(Write)
	return isCommit(f) || before == Idle && (writes || s.writes)
}

func isCommit(f Forward) bool {
	_, commits := f.Statement.(Commit)
	return commits
}

// settle finds out whether a refusal or status that is equal to an earlier one is that of a command. Servers
// answer in order: if it was a repeated one, the true answer arrives before those to markers sent now. settle
// returns the true answer, or ErrUnproven if that isn't clear.
func (c *Conn) settle(command Command, unclear Answer, until time.Time) (Answer, error) {
	c.pool.countUnexpected(unclearAnswer)
	markers := c.markersHere()
	if len(markers) == 0 {
		return Answer{}, c.misalign("%s %s may be a repeated answer", unclear.Failure, unclear.Detail)
	}
	for _, m := range markers {
		c.Link.Send(m, until)
	}
	if err := c.Link.Flush(until); err != nil {
		return Answer{}, err
	}
	answer, skipped := unclear, c.skipped
	for i := 0; i < len(markers); {
		a, whose, err := c.receive(markers[i], until)
		switch {
		case err != nil:
			return Answer{}, err
		case whose == lateAnswer && i == 0 && c.skipped == skipped+1 && a.Phase == phaseAfter(command, c.phase):
			answer, skipped, c.phase = a, c.skipped, a.Phase
			continue
		case whose != ownAnswer || !a.Succeeded() || c.skipped != skipped:
			return Answer{}, c.misalign("%s %s may be a repeated answer", unclear.Failure, unclear.Detail)
		}
		i++
	}
	eventSettled.Log(c.pool.Logger, "server", c.Server, "connection", c.number,
		"request", requestOf(command), "command", commandName(command),
		"failure", unclear.Failure, "outcome", answer.Failure, "digest", truncateText(answer.Digest))
	return answer, nil
}

// markersHere returns markers for the connection's transaction state: commands without effect whose answers follow those
// to all earlier commands. It returns nil if there are none. In a transaction they leave the state unchanged, while
// after a commit that ran it is another. Repeated answers to the VM's own
// commands could stand for markers, so nothing is proved by them at a server that is known to repeat answers.
func (c *Conn) markersHere() []Command {
	switch {
	case c.pool.repeatsAnswers():
		return nil
	case c.phase == Idle:
		return c.nextMarkers()
	case c.phase == InTransaction:
		return c.markersInTransaction(2)
	}
	return nil
}

// markersInTransaction returns commands without effect whose answers have the transaction state that there is.
func (c *Conn) markersInTransaction(n int) []Command {
	var markers []Command
	for range n {
		c.markerPlans++
		markers = append(markers, PreparePlan{Name: StatementName("m" + itoa(int64(c.markerPlans))), Plan: Plan{Shape: "marker"}})
	}
	return markers
}

// sendMarkers sends markers after a refusal that may be a repeated one, outside a transaction. Their answers are
// received before the connection's next use, so that nothing waits for them now. Without markers the connection
// is closed.
func (c *Conn) sendMarkers(until time.Time) {
	c.isDoubtful = false
	c.pool.countUnexpected(unclearAnswer)
	c.markers = c.markersHere()
	for _, m := range c.markers {
		c.Link.Send(m, until)
	}
	if len(c.markers) == 0 || c.Link.Flush(until) != nil {
		c.misaligned = true
	}
}

// receiveMarkers receives the answers to markers. It returns ErrUnsettled if it isn't clear that all earlier answers
// have arrived, and the error of the connection. The connection must be closed then.
func (c *Conn) receiveMarkers(until time.Time) error {
	markers, skippedPlain := c.markers, c.skippedPlain
	c.markers = nil
	for i := 0; i < len(markers); {
		a, whose, err := c.receive(markers[i], until)
		switch {
		case err != nil:
			c.misaligned = true
			return err
		case whose == lateAnswer && i == 0 && a.Phase == Idle:
			// The true answer to a read that was tried elsewhere.
			continue
		case whose != ownAnswer || !a.Succeeded() || c.skippedPlain != skippedPlain:
			return c.unsettled("the answer to a marker isn't clear")
		}
		i++
	}
	return nil
}

// unsettled gives up a connection on which nothing may be sent, and returns ErrUnsettled.
func (c *Conn) unsettled(reason string) error {
	c.misaligned = true
	return ErrUnsettled.New("server %s, connection %d: %s", c.Server, c.number, reason)
}

// prepareTimeout bounds waiting for the rest of what has arrived, and for the answers to markers, before a
// connection's next use. Servers answer markers at once.
const prepareTimeout = 200 * time.Millisecond

// prepare makes an idle connection ready for use. It discards what has arrived since its latest use, which can't
// be the answer to what will be sent. It returns ErrUnsettled if an earlier answer can't be attributed, and
// ErrBroken or ErrTimeout if the connection doesn't work.
func (c *Conn) prepare(until time.Time) error {
	if latest := time.Now().Add(prepareTimeout); latest.Before(until) {
		until = latest
	}
	if len(c.markers) > 0 {
		return c.receiveMarkers(until)
	}
	if c.phase != Idle {
		return c.unsettled("a transaction is open")
	}
	for {
		switch c.Link.Input() {
		case NoInput:
			return nil
		case InputClosed:
			return ErrBroken.New("server %s closed the connection", c.Server)
		}
		a, err := c.Link.Receive(until)
		if err != nil {
			return err
		}
		seen := c.history.note(a)
		c.noteUnexpected(nil, a, repeatedAnswer)
		isStatement := a.Digest != "" && a.Digest != completedWithoutDigest
		if !seen && (!a.Succeeded() || isStatement) || a.Digest == completedWithoutDigest && a.Phase != Idle {
			// It may be the true answer to a command for which another one was taken.
			return c.unsettled("an answer to nothing arrived")
		}
	}
}

// mustClose reports whether the connection isn't used again. At a server that repeats answers, an equal refusal
// of a later statement couldn't be told from one that this connection has received.
func (c *Conn) mustClose() bool {
	return c.misaligned || c.history.isFull() || c.refused && c.pool.repeatsAnswers() || c.valuesSize() > maxIdleValues
}

// maxIdleValues is the size in bytes of the session values that a pooled connection may have while no session uses it.
// Usual values take some hundred bytes.
const maxIdleValues = 16 << 10

func (c *Conn) valuesSize() int {
	size := 0
	for name, value := range c.values {
		size += len(name) + len(value)
	}
	return size
}

// endsVerification reports whether commands verify the primary.
func endsVerification(commands []Command) bool {
	_, ends := commands[len(commands)-1].(Abandon)
	return ends && len(commands) > 1
}

func isStatusCommand(c Command) bool {
	switch c.(type) {
	case QueryStatus, Demote, PauseReceiving, ResumeReceiving:
		return true
	}
	return false
}

// requestOf returns the ID of the request that a command belongs to.
func requestOf(c Command) RequestID {
	if f, forwards := c.(Forward); forwards {
		return f.ID
	}
	return InternalRequestID
}

// commandName returns the name of a command, or of the statement that it forwards, for logs.
func commandName(c Command) string {
	if c == nil {
		return "none"
	}
	if f, forwards := c.(Forward); forwards {
		return fmt.Sprintf("%T", f.Statement)
	}
	return fmt.Sprintf("%T", c)
}

// maxLoggedText is how much of a server's text is logged, in bytes.
const maxLoggedText = 60

func truncateText(text string) string { return text[:min(len(text), maxLoggedText)] }

// queueProfile buffers the commands that set the connection's values and plans to those of the
// profile. It appends them to those sent, and returns the command with the name that its prepared
// statement has on the server.
func (c *Conn) queueProfile(p *profile, sent []sentCommand, command Command, until time.Time) ([]sentCommand, Command) {
	queue := func(setup Command) {
		c.Link.Send(setup, until)
		sent = append(sent, sentCommand{command: setup, isSetup: true})
	}
	if c.hasStaleValues(p.values) || len(c.plans)+c.markerPlans >= maxPreparedPlans {
		queue(Reset{})
		c.values, c.plans, c.markerPlans = map[string]string{}, map[planDigest]StatementName{}, 0
	}
	for name, value := range p.values {
		if before, found := c.values[name]; !found || before != value {
			queue(Assign{Name: name, Value: value})
			c.values[name] = value
		}
	}
	f, isForward := command.(Forward)
	e, isExecute := f.Statement.(Execute)
	if !isForward || !isExecute {
		return sent, command
	}
	plan := p.plans[e.Name]
	digest := plan.digest()
	name, found := c.plans[digest]
	if !found {
		name = StatementName("p" + itoa(int64(len(c.plans)+1)))
		queue(PreparePlan{Name: name, Plan: plan})
		c.plans[digest] = name
	}
	f.Statement = Execute{Name: name, Arguments: e.Arguments}
	return sent, f
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
