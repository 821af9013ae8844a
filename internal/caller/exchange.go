package caller

import (
	"context"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/joomcode/errorx"

	"github.com/savoryramp/savoryramp/internal/platform"
	"github.com/savoryramp/savoryramp/internal/upstream"
	"github.com/savoryramp/savoryramp/pkg/position"
)

// maxAttempts bounds how often a request that hasn't run is sent elsewhere.
const maxAttempts = 4

// request is what is sent to a server in one go, up to one ReadyForQuery.
type request struct {
	kind kind
	// sends puts the messages on the connection and gives the steps of the answer.
	sends func(c *upstream.Conn) []step
	// runs is false when nothing of it executes, as when a statement is prepared.
	runs bool
	// sql is the text of a simple request.
	sql string
	// mayCommit is true when it may end a transaction that began before it.
	mayCommit bool
	// unsynced requests end with Flush: their answer has no ReadyForQuery.
	unsynced bool
	// maybeRan is true once an attempt was sent that may have written something.
	maybeRan bool
}

// exchange is one attempt at a request on one connection.
type exchange struct {
	session *Session
	conn    *upstream.Conn
	request *request
	group   *upstream.Group
	// inTransaction is true when the attempt began inside a transaction.
	inTransaction bool
	// implicit is true when that transaction ends at the next Sync.
	implicit bool
	// guarded attempts run in a read-only transaction of savoryramp's own, in which
	// what was taken for a read can't write.
	guarded bool
	// seen is true once the server told its position in this answer.
	seen bool
	// sent is true once a byte may have left for the server.
	sent bool
	// forwarded is true once a byte of the answer may have left for the caller.
	forwarded bool
	// began is where the answer begins in the session's gathered bytes.
	began int
	// tag is that of the newest CommandComplete, which is held back until it is
	// known to be true.
	tag string
	// committed is true once a COMMIT was answered; everything from there is held.
	committed bool
	steps     []step
	status    byte
	// answered is true once the server was ready after the request.
	answered bool
	// failedBy is true once the server answered with an error.
	failedBy bool
}

// perform runs a request outside or inside of a transaction and answers the caller.
func (s *Session) perform(ctx context.Context, r *request) error {
	began := time.Now()
	if s.failed {
		return s.performFailed(r)
	}
	if s.conn == nil && r.kind == kindEnd {
		r.kind = kindRead
	}
	group, found := s.server.Upstreams.Group(s.database.Upstream)
	if !found {
		s.refuse(upstream.ErrNoServer.New("upstream %s isn't served here yet", s.database.Upstream))
		return s.endRefused(r)
	}
	if s.conn == nil && r.runs {
		if err := s.admit(ctx); err != nil {
			s.refuse(err)
			return s.endRefused(r)
		}
	}
	role, err := s.attempts(ctx, group, r)
	if err != nil {
		return err
	}
	s.server.metrics.answered(s.workspace.Name, r.kind, role, time.Since(began))
	return nil
}

func (s *Session) admit(ctx context.Context) error {
	if s.server.Limiter == nil {
		return nil
	}
	return s.server.Limiter.Admit(ctx, s.workspace.Name)
}

// endRefused ends the answer to a request that savoryramp refused.
func (s *Session) endRefused(r *request) error {
	if r.unsynced {
		s.skipping = true
		return s.flush()
	}
	return s.ready()
}

// performFailed answers in a transaction that lost its connection.
func (s *Session) performFailed(r *request) error {
	if r.kind != kindEnd {
		s.send(&pgproto3.ErrorResponse{
			Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: string(CodeFailed),
			Message: "current transaction is aborted, commands ignored until end of transaction block",
		})
		return s.endRefused(r)
	}
	s.failed = false
	s.send(&pgproto3.CommandComplete{CommandTag: []byte("ROLLBACK")})
	return s.ready()
}

// attempts sends the request until it was answered, or may have run.
func (s *Session) attempts(ctx context.Context, group *upstream.Group, r *request) (upstream.Role, error) {
	ctx, cancel := context.WithTimeout(ctx, s.server.MaxWait)
	defer cancel()
	for attempt := 1; ; attempt++ {
		x := &exchange{session: s, request: r, group: group, inTransaction: s.conn != nil, implicit: s.implicit, conn: s.conn, began: len(s.out.bytes)}
		err := x.prepare(ctx)
		if err == nil {
			err = x.run(ctx)
		}
		if err == nil {
			role := x.conn.Role
			return role, s.settle(x)
		}
		if isType(err, errCaller) {
			x.drop()
			return "", err
		}
		r.maybeRan = r.maybeRan || x.mayHaveRun(err)
		again := attempt < maxAttempts && x.repeatable(err) && ctx.Err() == nil
		x.abandon(err)
		if again {
			eventRerun.Log(s.server.Logger, "workspace", s.workspace.Name, "attempt", attempt, "err", err)
			continue
		}
		return "", s.fail(x, err)
	}
}

// prepare gives the exchange a connection, with the session's settings.
func (x *exchange) prepare(ctx context.Context) error {
	s := x.session
	if x.conn != nil {
		return nil
	}
	claim := upstream.Request{Workspace: s.workspace.Name, Weight: s.workspace.Weight}
	var err error
	switch x.request.kind {
	case kindRead, kindBeginReadOnly:
		var f position.Position
		if f, err = s.floor(ctx, x.group); err != nil {
			return err
		}
		x.conn, err = x.group.Read(ctx, claim, upstream.Freshness{Floor: f, MaxStaleness: s.settings.staleness(s.database)})
	default:
		x.conn, err = x.group.Write(ctx, claim)
	}
	if err != nil {
		return err
	}
	s.use(x.conn)
	return x.restore()
}

// restore runs the caller's own SET statements on a connection just taken.
func (x *exchange) restore() error {
	for _, sql := range x.session.held {
		x.conn.Dirty = true
		if _, err := x.conn.Ask(sql, time.Now().Add(x.session.server.Deadline)); err != nil && !isType(err, upstream.ErrServer) {
			return err
		}
	}
	return nil
}

// floor gives the session's floor for a group, asked for at its first read.
func (s *Session) floor(ctx context.Context, g *upstream.Group) (position.Position, error) {
	f, known := s.floors[s.database.Upstream]
	if known && f.own {
		return f.position, nil
	}
	if known {
		return g.Clip(f.position), nil
	}
	asked, err := g.Floor(ctx)
	if err != nil {
		return position.Position{}, err
	}
	s.floors[s.database.Upstream] = floor{position: asked}
	return g.Clip(asked), nil
}

// run sends the request and relays its answer.
func (x *exchange) run(ctx context.Context) error {
	x.guarded = x.conn.Role == upstream.Primary && x.request.kind == kindRead && x.request.runs && !x.inTransaction && !x.request.unsynced
	x.send()
	x.sent = true
	if err := x.conn.Flush(); err != nil {
		return err
	}
	if err := x.guard(); err != nil {
		return err
	}
	if x.guarded && x.status != 'T' {
		x.guarded = false
		return upstream.ErrBroken.New("server %s began no transaction", x.conn.Server)
	}
	x.synthesize()
	for !x.over() {
		m, err := x.conn.Receive(time.Now().Add(x.session.server.Deadline))
		if err != nil {
			return err
		}
		if err := x.relay(ctx, m); err != nil {
			return err
		}
	}
	return x.guard()
}

// over tells whether the answer is whole.
func (x *exchange) over() bool {
	if x.request.unsynced {
		return len(x.steps) == 0 || x.failedBy
	}
	return x.answered
}

// relay passes one message of the answer on.
func (x *exchange) relay(ctx context.Context, m pgproto3.BackendMessage) error {
	switch m := m.(type) {
	case *pgproto3.ParameterStatus:
		return x.noted(m)
	case *pgproto3.NotificationResponse:
		return nil
	case *pgproto3.ErrorResponse:
		return x.failure(m)
	case *pgproto3.ReadyForQuery:
		x.answered, x.status = true, m.TxStatus
		return x.finish(ctx)
	case *pgproto3.CopyInResponse, *pgproto3.CopyOutResponse, *pgproto3.CopyBothResponse:
		return ErrUnsupported.New("COPY isn't passed through")
	}
	if !x.wanted(m) {
		return nil
	}
	return x.forward(m)
}

// noted checks the server's position against the floor before rows go out.
func (x *exchange) noted(m *pgproto3.ParameterStatus) error {
	if m.Name != "savoryramp.position" || x.seen {
		return nil
	}
	x.seen = true
	if !x.request.runs || x.request.kind != kindRead && x.request.kind != kindBeginReadOnly {
		return nil
	}
	if x.inTransaction && x.conn.Role == upstream.Primary {
		return nil
	}
	if _, naive := x.group.Reads.(upstream.AnyReplica); naive {
		return nil
	}
	f := x.session.floors[x.session.database.Upstream]
	if !f.own {
		f.position = x.group.Clip(f.position)
	}
	if !x.conn.Position.Covers(f.position) {
		return errStale.New("server %s is at %s, under the floor %s", x.conn.Server, x.conn.Position, f.position)
	}
	return nil
}

// failure passes an error of the server on, unless the request can go elsewhere.
func (x *exchange) failure(m *pgproto3.ErrorResponse) error {
	if m.Code == string(CodeReadOnly) && !x.forwarded && !x.committed && !x.inTransaction && x.request.kind != kindBeginReadOnly {
		return errReadOnly.New("server %s refused to write", x.conn.Server)
	}
	x.failedBy = true
	x.steps = nil
	x.conn.Unnamed = ""
	return x.forward(m)
}

// forward gathers a message for the caller and lets larger pieces go.
func (x *exchange) forward(m pgproto3.BackendMessage) error {
	o := &x.session.out
	if !x.committed {
		o.free()
	}
	if c, found := m.(*pgproto3.CommandComplete); found && !x.committed {
		o.hold()
		x.tag = string(c.CommandTag)
		x.committed = x.tag == "COMMIT"
	}
	if c, found := m.(*pgproto3.CommandComplete); found && !leavesNothing(string(c.CommandTag)) {
		x.conn.Dirty = true
	}
	if err := o.send(m); err != nil {
		return err
	}
	if len(o.bytes) < flushAt {
		return nil
	}
	if x.committed && len(o.bytes) > maxHeldBack {
		return ErrUnknownOutcome.New("more than %d bytes follow a commit in one answer", maxHeldBack)
	}
	x.forwarded = true
	return o.flush()
}

// finish ends the answer: what an idle primary says done must be confirmed first.
func (x *exchange) finish(ctx context.Context) error {
	s := x.session
	x.track()
	if x.wrote() {
		if err := x.confirm(ctx); err != nil {
			s.out.takeBack()
			return err
		}
		s.out.free()
		s.raise(s.database.Upstream, x.conn.Position)
	} else if x.readPrimary() {
		if err := x.confirmRead(ctx); err != nil {
			s.out.takeBack()
			return err
		}
	}
	s.out.free()
	return nil
}

// wrote tells whether the answer says that something was committed.
func (x *exchange) wrote() bool {
	if x.conn.Role != upstream.Primary || !x.request.runs {
		return false
	}
	if x.committed {
		return true
	}
	if x.status != 'I' || x.failedBy || x.tag == "ROLLBACK" {
		return false
	}
	return x.request.kind != kindRead
}

// readPrimary tells whether the answer shows what the primary has just committed, which
// a promotion could still lose.
func (x *exchange) readPrimary() bool {
	return x.conn.Role == upstream.Primary && x.request.runs && x.status == 'I' && !x.failedBy && x.tag != "ROLLBACK" &&
		x.group.Acknowledge() != platform.TermLeased
}

// confirmRead waits until what the answer shows can't be lost.
func (x *exchange) confirmRead(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), x.session.server.Deadline)
	defer cancel()
	return x.group.ConfirmRead(ctx, x.conn)
}

// confirm waits until the commit can't be lost by a promotion.
func (x *exchange) confirm(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), x.session.server.Deadline)
	defer cancel()
	switch x.group.Acknowledge() {
	case platform.TermLeased:
		return x.group.ConfirmTerm(x.conn.Position)
	default:
		return x.group.Confirm(ctx, x.conn.Position)
	}
}

// track remembers a caller's own SET, which outlives the transaction.
func (x *exchange) track() {
	switch x.tag {
	case "SET", "RESET":
	case "DISCARD ALL", "DISCARD", "DEALLOCATE", "DEALLOCATE ALL":
		x.conn.Dirty = true
		return
	default:
		return
	}
	if q := x.request.text(); q != "" && len(x.session.held) < maxHeld {
		x.session.held = append(x.session.held, q)
	}
}

// maxHeld bounds the SET statements kept for a session.
const maxHeld = 32

// raise lifts the session's floor to its own commit and tells the caller.
func (s *Session) raise(name platform.UpstreamName, p position.Position) {
	before, known := s.floors[name]
	if known && before.own && before.position.Compare(p) >= 0 {
		return
	}
	s.floors[name] = floor{position: position.Max(before.position, p), own: true}
	if t := s.token(); t != "" {
		s.send(&pgproto3.ParameterStatus{Name: settingSession, Value: t})
	}
}

// settle keeps or gives back the connection, and ends the answer.
func (s *Session) settle(x *exchange) error {
	if x.request.unsynced {
		s.implicit = s.implicit || !x.inTransaction
		s.conn = x.conn
		s.skipping = x.failedBy
		s.out.free()
		return s.flush()
	}
	s.implicit = false
	if x.status == 'I' {
		s.use(nil)
		x.conn.Release(true)
		s.conn = nil
	} else {
		s.conn = x.conn
	}
	s.send(&pgproto3.ReadyForQuery{TxStatus: x.status})
	if x.status == 'I' {
		s.partWays()
	}
	return s.flush()
}

func isType(err error, t *errorx.Type) bool { return errorx.IsOfType(err, t) }
