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
	lookEvery = 100 * time.Millisecond
	// failedFor is how long the evidence against a primary must last.
	failedFor = 500 * time.Millisecond
	// stalledFor is how long a primary may move on while no replica receives.
	stalledFor = time.Second
	// quietFor is how long no log may have grown before a VM that hears no other one
	// takes a primary for failed.
	quietFor = time.Second
	// promoteWithin bounds one attempt at a promotion.
	promoteWithin = 3 * time.Second
	// handOverWithin bounds a planned hand-over.
	handOverWithin = 5 * time.Second
	// followEvery spaces the times a server is told whom to follow.
	followEvery = time.Second
	// bookkeepEvery spaces the attempts to reserve a term and to record an outcome.
	bookkeepEvery = 2 * time.Second
)

// Coordination joins this VM with the others of its fleet.
type Coordination interface {
	// Lease takes part in the lease of a name until ctx ends, and gives a function
	// that tells whether this VM holds it.
	Lease(ctx context.Context, name string) (held func() bool)
	// Opinions counts the VMs that answer and have a view of a server, and those of
	// them that can't use it.
	Opinions(server platform.ServerName) (heard, against int)
	// Tell lets the other VMs know whether this one can use a server.
	Tell(server platform.ServerName, usable bool)
}

// guard watches over a group's primary while this VM holds the group's lease. The
// lease only saves work: two guards at once are harmless, since each promotion has a
// term of its own and the servers' fences decide.
type guard struct {
	group    *Group
	promoter *term.Promoter
	held     func() bool

	// failedSince is when the evidence against the primary began, zero without.
	failedSince time.Time
	// stalledAt is how far the replicas had received when they were seen to stall.
	stalledAt    position.Offset
	stalledSince time.Time
	keptAt       time.Time
	reserved     bool
}

func newGuard(g *Group) *guard {
	p := &term.Promoter{
		ID: term.PromoterID(uuid.NewString()), Table: record{g}, Servers: control{g},
		NewChange: func() term.Change { return term.Change(uuid.NewString()) },
	}
	if g.Upstream.Acknowledge == platform.TermLeased {
		p.Wait = validityWait
	}
	for _, s := range g.Upstream.Servers {
		p.Group = append(p.Group, term.Server(s.Name))
	}
	return &guard{group: g, promoter: p}
}

// run looks at the primary until ctx ends.
func (u *guard) run(ctx context.Context) {
	u.held = u.group.Coordination.Lease(ctx, "group/"+string(u.group.Upstream.Name))
	tick := time.NewTicker(lookEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if !u.held() {
			u.failedSince, u.stalledSince, u.reserved = time.Time{}, time.Time{}, false
			continue
		}
		u.look(ctx)
	}
}

// look does what the state of the group asks for.
func (u *guard) look(ctx context.Context) {
	reason := u.evidence()
	if reason != "" {
		u.failing(ctx, reason)
		return
	}
	u.failedSince = time.Time{}
	if u.leaving() {
		u.handOver(ctx)
		return
	}
	u.rejoin(ctx)
	u.bookkeep(ctx)
}

// failing promotes once the evidence has lasted.
func (u *guard) failing(ctx context.Context, reason string) {
	if u.failedSince.IsZero() {
		u.failedSince = time.Now()
	}
	if time.Since(u.failedSince) < failedFor {
		return
	}
	suspect := u.suspect()
	eventPrimaryFailed.Log(u.group.Logger, "server", suspect, "reason", reason)
	r, err := u.promote(ctx, reason, suspect)
	if err != nil {
		eventPromotionFailed.Log(u.group.Logger, "err", err)
		return
	}
	u.failedSince, u.stalledSince, u.keptAt, u.reserved = time.Time{}, time.Time{}, time.Time{}, false
	eventPromoted.Log(u.group.Logger, "term", r.Term, "server", r.Primary)
}

// suspect names the server that led the newest term, empty if none did.
func (u *guard) suspect() term.Server {
	u.group.mu.Lock()
	defer u.group.mu.Unlock()
	if m := u.group.leader(); m != nil {
		return term.Server(m.server.Name)
	}
	return ""
}

// promote runs one promotion: in the reserved term if there is one, since that needs
// no table, else in a new one.
func (u *guard) promote(ctx context.Context, reason string, suspect term.Server) (term.Record, error) {
	if u.reserved {
		ctx, cancel := context.WithTimeout(ctx, promoteWithin)
		defer cancel()
		r, err := u.promoter.PromoteReserved(ctx, reason, suspect)
		if err == nil || errorx.IsOfType(err, term.ErrNoMajority) {
			return r, err
		}
		u.reserved = false
	}
	ctx, cancel := context.WithTimeout(ctx, promoteWithin+u.promoter.Wait)
	defer cancel()
	return u.promoter.Promote(ctx, reason, suspect)
}

// leaving tells whether the primary is to leave while a replica stays.
func (u *guard) leaving() bool {
	g := u.group
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.primary()
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

func (u *guard) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handOverWithin+u.promoter.Wait)
	defer cancel()
	r, err := u.promoter.HandOver(ctx, "it leaves")
	if err != nil {
		eventPromotionFailed.Log(u.group.Logger, "err", err)
		return
	}
	u.reserved = false
	eventHandedOver.Log(u.group.Logger, "term", r.Term, "server", r.Primary)
}

// bookkeep writes the right to the next term in advance, and the outcome of a
// promotion that the table hasn't heard of.
func (u *guard) bookkeep(ctx context.Context) {
	if time.Since(u.keptAt) < bookkeepEvery {
		return
	}
	u.keptAt = time.Now()
	ctx, cancel := context.WithTimeout(ctx, bookkeepEvery)
	defer cancel()
	if err := u.promoter.Record(ctx); err != nil || u.reserved || u.promoter.Wait > 0 {
		return
	}
	if _, err := u.promoter.Reserve(ctx); err != nil {
		eventReserveFailed.Log(u.group.Logger, "err", err)
		return
	}
	u.reserved = true
}

// leader is the server that leads the newest term, usable or not; g.mu is held.
func (g *Group) leader() *member {
	for _, m := range g.members {
		if m.status.Role == Primary && m.status.Term == g.term && g.term > 0 {
			return m
		}
	}
	return nil
}

// usable counts the servers that answer this VM; g.mu is held.
func (g *Group) usable() int {
	n := 0
	for _, m := range g.members {
		if m.usable {
			n++
		}
	}
	return n
}
