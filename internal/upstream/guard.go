package upstream

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/joomcode/errorx"

	"github.com/savoryramp/savoryramp/internal/platform"
	"github.com/savoryramp/savoryramp/pkg/position"
	"github.com/savoryramp/savoryramp/pkg/term"
)

const (
	// monitorInterval is how often the holder of a group's lease checks its primary.
	monitorInterval = 100 * time.Millisecond
	// failureConfirmDuration is how long a primary must count as failed before a
	// promotion.
	failureConfirmDuration = 500 * time.Millisecond
	// replicationStallTimeout is how long a primary's log may grow while no replica
	// receives it.
	replicationStallTimeout = time.Second
	// logIdleTimeout is how long no log may have grown before a VM without observations
	// from other VMs considers an unusable primary failed.
	logIdleTimeout = time.Second
	// promotionTimeout bounds one attempt at a promotion.
	promotionTimeout = 3 * time.Second
	// handOverTimeout bounds a planned hand-over.
	handOverTimeout = 5 * time.Second
	// followInterval is the least time between two follow statements to a server; it
	// also bounds the wait for the answer to one.
	followInterval = time.Second
	// recordInterval is the least time between two attempts to reserve a term and to
	// record the outcome of a promotion.
	recordInterval = 2 * time.Second
)

// Coordination connects this VM with the other VMs of its fleet.
type Coordination interface {
	// JoinLease competes for the named lease until ctx ends, and returns a function
	// that reports whether this VM holds it.
	JoinLease(ctx context.Context, name string) (holdsLease func() bool)
	// Observations counts the other VMs that report whether they can use a server, and
	// those of them that can't.
	Observations(server platform.ServerName) (reporting, unusable int)
	// ReportObservation reports to the other VMs whether this VM can use a server.
	ReportObservation(server platform.ServerName, usable bool)
}

// failoverMonitor checks a group's primary while this VM holds the group's lease. The
// lease only saves work: two monitors at once are harmless, since each promotion uses a
// term of its own and the servers reject statements of older terms.
type failoverMonitor struct {
	group      *Group
	promoter   *term.Promoter
	holdsLease func() bool

	// failedSince is when failureReason first returned a reason, zero if it currently
	// returns none.
	failedSince time.Time
	// stalledOffset is the furthest offset that a replica had received at stalledSince.
	stalledOffset position.Offset
	stalledSince  time.Time
	// recordedAt is when recordAndReserve last made an attempt; zero makes the next one
	// due.
	recordedAt time.Time
	// hasReservedTerm is true while promote may use a term that was reserved in
	// advance.
	hasReservedTerm bool
}

func newFailoverMonitor(g *Group) *failoverMonitor {
	p := &term.Promoter{
		ID: term.PromoterID(uuid.NewString()), Table: termRecord{g}, Servers: serverControl{g},
		NewChangeID: func() term.ChangeID { return term.ChangeID(uuid.NewString()) },
	}
	if g.Upstream.Acknowledge == platform.TermLeased {
		p.PromotionDelay = commitPermitExpiryWait
	}
	for _, s := range g.Upstream.Servers {
		p.Group = append(p.Group, term.ServerName(s.Name))
	}
	return &failoverMonitor{group: g, promoter: p}
}

// run checks the primary periodically until ctx ends.
func (fm *failoverMonitor) run(ctx context.Context) {
	fm.holdsLease = fm.group.Coordination.JoinLease(ctx, "group/"+string(fm.group.Upstream.Name))
	ticker := time.NewTicker(monitorInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if !fm.holdsLease() {
			fm.failedSince, fm.stalledSince, fm.hasReservedTerm = time.Time{}, time.Time{}, false
			continue
		}
		fm.check(ctx)
	}
}

// check promotes, hands over or repairs replication as the state of the group requires.
func (fm *failoverMonitor) check(ctx context.Context) {
	reason := fm.failureReason()
	if reason != "" {
		fm.handleFailure(ctx, reason)
		return
	}
	fm.failedSince = time.Time{}
	if fm.needsHandOver() {
		fm.handOver(ctx)
		return
	}
	fm.redirectStrayReplicas(ctx)
	fm.recordAndReserve(ctx)
}

// handleFailure promotes once the primary has counted as failed for
// failureConfirmDuration.
func (fm *failoverMonitor) handleFailure(ctx context.Context, reason string) {
	if fm.failedSince.IsZero() {
		fm.failedSince = time.Now()
	}
	if time.Since(fm.failedSince) < failureConfirmDuration {
		return
	}
	failed := fm.failedPrimary()
	eventPrimaryFailed.Log(fm.group.Logger, "server", failed, "reason", reason)
	r, err := fm.promote(ctx, reason, failed)
	if err != nil {
		eventPromotionFailed.Log(fm.group.Logger, "err", err)
		return
	}
	fm.failedSince, fm.stalledSince, fm.recordedAt, fm.hasReservedTerm = time.Time{}, time.Time{}, time.Time{}, false
	eventPromoted.Log(fm.group.Logger, "term", r.Term, "server", r.Primary)
}

// failedPrimary returns the name of the primary of the newest term, empty if there was
// none.
func (fm *failoverMonitor) failedPrimary() term.ServerName {
	fm.group.mu.Lock()
	defer fm.group.mu.Unlock()
	if m := fm.group.newestPrimary(); m != nil {
		return term.ServerName(m.server.Name)
	}
	return ""
}

// promote attempts one promotion: in the reserved term if there is one, since that
// needs no access to the table, otherwise in a new term.
func (fm *failoverMonitor) promote(ctx context.Context, reason string, failed term.ServerName) (term.Record, error) {
	if fm.hasReservedTerm {
		ctx, cancel := context.WithTimeout(ctx, promotionTimeout)
		defer cancel()
		r, err := fm.promoter.PromoteReserved(ctx, reason, failed)
		if err == nil || errorx.IsOfType(err, term.ErrNoMajority) {
			return r, err
		}
		fm.hasReservedTerm = false
	}
	ctx, cancel := context.WithTimeout(ctx, promotionTimeout+fm.promoter.PromotionDelay)
	defer cancel()
	return fm.promoter.Promote(ctx, reason, failed)
}

// needsHandOver reports whether the primary is marked as leaving and a replica can
// replace it.
func (fm *failoverMonitor) needsHandOver() bool {
	g := fm.group
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.usablePrimary()
	if m == nil || !m.server.Leaving {
		return false
	}
	for _, other := range g.members {
		if other != m && other.usable && !other.server.Leaving {
			return true
		}
	}
	return false
}

func (fm *failoverMonitor) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout+fm.promoter.PromotionDelay)
	defer cancel()
	r, err := fm.promoter.HandOver(ctx, "it leaves")
	if err != nil {
		eventPromotionFailed.Log(fm.group.Logger, "err", err)
		return
	}
	fm.hasReservedTerm = false
	eventHandedOver.Log(fm.group.Logger, "term", r.Term, "server", r.Primary)
}

// recordAndReserve records the outcome of a promotion that isn't in the table yet, and
// reserves the next term in advance.
func (fm *failoverMonitor) recordAndReserve(ctx context.Context) {
	if time.Since(fm.recordedAt) < recordInterval {
		return
	}
	fm.recordedAt = time.Now()
	ctx, cancel := context.WithTimeout(ctx, recordInterval)
	defer cancel()
	if err := fm.promoter.RecordOutcome(ctx); err != nil || fm.hasReservedTerm || fm.promoter.PromotionDelay > 0 {
		return
	}
	if _, err := fm.promoter.Reserve(ctx); err != nil {
		eventReserveFailed.Log(fm.group.Logger, "err", err)
		return
	}
	fm.hasReservedTerm = true
}

// newestPrimary returns the primary of the newest term, usable or not, nil if unknown;
// g.mu is held.
func (g *Group) newestPrimary() *member {
	for _, m := range g.members {
		if m.status.Role == Primary && m.status.Term == g.term && g.term > 0 {
			return m
		}
	}
	return nil
}

// countUsable counts the servers that this VM can use; g.mu is held.
func (g *Group) countUsable() int {
	n := 0
	for _, m := range g.members {
		if m.usable {
			n++
		}
	}
	return n
}
