package caller

import (
	"context"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/savoryramp/savoryramp/internal/platform"
	"github.com/savoryramp/savoryramp/internal/upstream"
	"github.com/savoryramp/savoryramp/pkg/position"
)

// finish ends the answer: what an idle primary says done must be confirmed first.
func (x *exchange) finish(ctx context.Context) error {
	s := x.session
	if !x.failedBy {
		for _, m := range x.request.instead {
			s.send(m)
		}
	}
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
		x.group.AcknowledgeRule() != platform.TermLeased
}

// confirmRead waits until what the answer shows can't be lost.
func (x *exchange) confirmRead(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), x.session.server.Deadline)
	defer cancel()
	if x.asksSeen {
		return x.group.ConfirmPosition(ctx, x.conn)
	}
	return x.group.ConfirmRead(ctx, x.conn)
}

// confirm waits until the commit can't be lost by a promotion.
func (x *exchange) confirm(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), x.session.server.Deadline)
	defer cancel()
	switch x.group.AcknowledgeRule() {
	case platform.TermLeased:
		return x.group.ConfirmTerm(x.conn.Position)
	default:
		return x.group.Confirm(ctx, x.conn.Position)
	}
}

// raise lifts the session's floor to its own commit and tells the caller.
func (s *Session) raise(name platform.UpstreamName, p position.Position) {
	before, known := s.floors[name]
	if known && before.own && before.position.Compare(p) >= 0 {
		return
	}
	s.setFloor(name, floor{position: position.Max(before.position, p), own: true})
	if t := s.token(); t != "" {
		s.send(&pgproto3.ParameterStatus{Name: settingSession, Value: t})
	}
}
