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
	// lookEvery is how often the holder of a group's lease looks at its primary.
	monitorInterval = 100 * time.Millisecond
	// failedFor is how long the evidence against a primary must last.
	failureConfirmDuration = 500 * time.Millisecond
	// stalledFor is how long a primary may move on while no replica receives.
	replicationStallTimeout = time.Second
	// quietFor is how long no log may have grown before a VM that hears no other one
	// takes a primary for failed.
	logIdleTimeout = time.Second
	// promoteWithin bounds one attempt at a promotion.
	promotionTimeout = 3 * time.Second
	// handOverWithin bounds a planned hand-over.
	handOverTimeout = 5 * time.Second
	// followEvery spaces the times a server is told whom to follow.
	followInterval = time.Second
	// bookkeepEvery spaces the attempts to reserve a term and to record an outcome.
	recordInterval = 2 * time.Second
)

// Coordination joins this VM with the others of its fleet.
type Coordination interface {
	// Lease takes part in the lease of a name until ctx ends, and gives a function
	// that tells whether this VM holds it.
	JoinLease(ctx context.Context, name string) (held func() bool)
	// Opinions counts the VMs that answer and have a view of a server, and those of
	// them that can't use it.
	Observations(server platform.ServerName) (heard, against int)
	// Tell lets the other VMs know whether this one can use a server.
	ReportObservation(server platform.ServerName, usable bool)
}

// guard watches over a group's primary while this VM holds the group's lease. The
// lease only saves work: two guards at once are harmless, since each promotion has a
// term of its own and the servers' fences decide.
type failoverMonitor struct {
	group      *Group
	promoter   *term.Promoter
	holdsLease func() bool

	// failedSince is when the evidence against the primary began, zero without.
	failedSince time.Time
	// stalledAt is how far the replicas had received when they were seen to stall.
	stalledOffset   position.Offset
	stalledSince    time.Time
	recordedAt      time.Time
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

// run looks at the primary until ctx ends.
func (u *failoverMonitor) run(ctx context.Context) {
	u.holdsLease = u.group.Coordination.JoinLease(ctx, "group/"+string(u.group.Upstream.Name))
	tick := time.NewTicker(monitorInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if !u.holdsLease() {
			u.failedSince, u.stalledSince, u.hasReservedTerm = time.Time{}, time.Time{}, false
			continue
		}
		u.check(ctx)
	}
}

// look does what the state of the group asks for.
func (u *failoverMonitor) check(ctx context.Context) {
	reason := u.failureReason()
	if reason != "" {
		u.handleFailure(ctx, reason)
		return
	}
	u.failedSince = time.Time{}
	if u.needsHandOver() {
		u.handOver(ctx)
		return
	}
	u.redirectStrayReplicas(ctx)
	u.recordAndReserve(ctx)
}

// failing promotes once the evidence has lasted.
func (u *failoverMonitor) handleFailure(ctx context.Context, reason string) {
	if u.failedSince.IsZero() {
		u.failedSince = time.Now()
	}
	if time.Since(u.failedSince) < failureConfirmDuration {
		return
	}
	suspect := u.failedPrimary()
	eventPrimaryFailed.Log(u.group.Logger, "server", suspect, "reason", reason)
	r, err := u.promote(ctx, reason, suspect)
	if err != nil {
		eventPromotionFailed.Log(u.group.Logger, "err", err)
		return
	}
	u.failedSince, u.stalledSince, u.recordedAt, u.hasReservedTerm = time.Time{}, time.Time{}, time.Time{}, false
	eventPromoted.Log(u.group.Logger, "term", r.Term, "server", r.Primary)
}

// suspect names the server that led the newest term, empty if none did.
func (u *failoverMonitor) failedPrimary() term.ServerName {
	u.group.mu.Lock()
	defer u.group.mu.Unlock()
	if m := u.group.newestPrimary(); m != nil {
		return term.ServerName(m.server.Name)
	}
	return ""
}

// promote runs one promotion: in the reserved term if there is one, since that needs
// no table, else in a new one.
func (u *failoverMonitor) promote(ctx context.Context, reason string, suspect term.ServerName) (term.Record, error) {
	if u.hasReservedTerm {
		ctx, cancel := context.WithTimeout(ctx, promotionTimeout)
		defer cancel()
		r, err := u.promoter.PromoteReserved(ctx, reason, suspect)
		if err == nil || errorx.IsOfType(err, term.ErrNoMajority) {
			return r, err
		}
		u.hasReservedTerm = false
	}
	ctx, cancel := context.WithTimeout(ctx, promotionTimeout+u.promoter.PromotionDelay)
	defer cancel()
	return u.promoter.Promote(ctx, reason, suspect)
}

// leaving tells whether the primary is to leave while a replica stays.
func (u *failoverMonitor) needsHandOver() bool {
	g := u.group
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

func (u *failoverMonitor) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout+u.promoter.PromotionDelay)
	defer cancel()
	r, err := u.promoter.HandOver(ctx, "it leaves")
	if err != nil {
		eventPromotionFailed.Log(u.group.Logger, "err", err)
		return
	}
	u.hasReservedTerm = false
	eventHandedOver.Log(u.group.Logger, "term", r.Term, "server", r.Primary)
}

// bookkeep writes the right to the next term in advance, and the outcome of a
// promotion that the table hasn't heard of.
func (u *failoverMonitor) recordAndReserve(ctx context.Context) {
	if time.Since(u.recordedAt) < recordInterval {
		return
	}
	u.recordedAt = time.Now()
	ctx, cancel := context.WithTimeout(ctx, recordInterval)
	defer cancel()
	if err := u.promoter.RecordOutcome(ctx); err != nil || u.hasReservedTerm || u.promoter.PromotionDelay > 0 {
		return
	}
	if _, err := u.promoter.Reserve(ctx); err != nil {
		eventReserveFailed.Log(u.group.Logger, "err", err)
		return
	}
	u.hasReservedTerm = true
}

// leader is the server that leads the newest term, usable or not; g.mu is held.
func (g *Group) newestPrimary() *member {
	for _, m := range g.members {
		if m.status.Role == Primary && m.status.Term == g.term && g.term > 0 {
			return m
		}
	}
	return nil
}

// usable counts the servers that answer this VM; g.mu is held.
func (g *Group) countUsable() int {
	n := 0
	for _, m := range g.members {
		if m.usable {
			n++
		}
	}
	return n
}
