package caller

import (
	"context"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/savoryramp/savoryramp/internal/platform"
	"github.com/savoryramp/savoryramp/internal/upstream"
	"github.com/savoryramp/savoryramp/pkg/position"
)

// finishAnswer releases the held-back end of the answer. The result of a write or of a
// read on the primary must first be confirmed to survive a failover.
func (x *attempt) finishAnswer(ctx context.Context) error {
	s := x.session
	if !x.hasServerError {
		for _, m := range x.request.replacementAnswer {
			s.send(m)
		}
	}
	if x.needsCommitConfirmation() {
		if err := x.confirmCommit(ctx); err != nil {
			s.output.discardHeld()
			return err
		}
		s.output.release()
		s.raiseFloor(s.database.Upstream, x.conn.Position)
	} else if x.needsReadConfirmation() {
		if err := x.confirmRead(ctx); err != nil {
			s.output.discardHeld()
			return err
		}
	}
	s.output.release()
	return nil
}

// needsCommitConfirmation reports whether the answer tells the caller that a write was
// committed.
func (x *attempt) needsCommitConfirmation() bool {
	if x.conn.Role != upstream.Primary || !x.request.executes {
		return false
	}
	if x.committed {
		return true
	}
	if x.txStatus != 'I' || x.hasServerError || x.commandTag == "ROLLBACK" {
		return false
	}
	return x.request.kind != kindRead
}

// needsReadConfirmation reports whether the answer may contain commits of the primary
// that a promotion could still lose.
func (x *attempt) needsReadConfirmation() bool {
	return x.conn.Role == upstream.Primary && x.request.executes && x.txStatus == 'I' && !x.hasServerError && x.commandTag != "ROLLBACK" &&
		x.group.AcknowledgeRule() != platform.TermLeased
}

// confirmRead waits until the data in the answer can't be lost by a promotion.
func (x *attempt) confirmRead(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), x.session.server.ResponseTimeout)
	defer cancel()
	if x.sendsStatusQuery {
		return x.group.ConfirmPosition(ctx, x.conn)
	}
	return x.group.ConfirmRead(ctx, x.conn)
}

// confirmCommit waits until the commit can't be lost by a promotion.
func (x *attempt) confirmCommit(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), x.session.server.ResponseTimeout)
	defer cancel()
	switch x.group.AcknowledgeRule() {
	case platform.TermLeased:
		return x.group.ConfirmTerm(x.conn.Position)
	default:
		return x.group.Confirm(ctx, x.conn.Position)
	}
}

// raiseFloor raises the session's floor to the position of its own commit and sends the
// caller the new session token.
func (s *Session) raiseFloor(upstreamName platform.UpstreamName, p position.Position) {
	previous, known := s.floors[upstreamName]
	if known && previous.fromOwnWrite && previous.position.Compare(p) >= 0 {
		return
	}
	s.setFloor(upstreamName, floor{position: position.Max(previous.position, p), fromOwnWrite: true})
	if t := s.sessionToken(); t != "" {
		s.send(&pgproto3.ParameterStatus{Name: settingSession, Value: t})
	}
}
