package proxy

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/joomcode/errorx"

	"github.com/savoryramp/savoryramp/internal/clock"
	"github.com/savoryramp/savoryramp/internal/heartbeat"
	"github.com/savoryramp/savoryramp/pkg/failover"
	"github.com/savoryramp/savoryramp/pkg/position"
)

// Token is a fencing token. It increases whenever another VM becomes the one that may promote
// servers of a group.
type Token int64

// Promoter promotes servers to primary.
type Promoter interface {
	// AcquireToken makes this VM the one that may promote servers of a group, unless it already
	// is, and announces the term that it is about to create to those that will be so after it. It returns
	// its token and the newest term that was announced before, by this or any other VM, or 0 if none was. It
	// may have to wait until another VM's orders can't arrive any more. After an error the VM must not
	// promote: another VM may hold that right.
	AcquireToken(ctx context.Context, service ServiceName, term position.Term) (t Token, announced position.Term, err error)
	// DiscardToken makes the next AcquireToken request a new token. It is called after
	// Promote returned ErrFenced.
	DiscardToken(service ServiceName)
	// Promote orders a server to become the primary of the next term. ErrFenced means that the
	// token is outdated or that the server isn't running. After ErrOutcomeUnknown the order may
	// still take effect seconds later, after any other error it doesn't.
	Promote(ctx context.Context, service ServiceName, id ServerID, t Token) error
	// AcquireForPause makes this VM the one that may pause replicas of a group and promote a server, with a new
	// token. It records until EndResume that replicas may be paused, so that other VMs learn it if this one fails. It
	// may have to wait until other VMs' orders and commands can't arrive any more. term is the one that this VM is
	// about to create. It returns ErrNotPromotable if another VM hasn't ended its pause and mayTakeOver is false for it.
	AcquireForPause(ctx context.Context, service ServiceName, term position.Term, mayTakeOver func(RecordedPause) bool) (PauseRight, error)
	// BeginResume announces that this VM is about to make replicas receive again, at once; whoever calls
	// AcquireForPause waits meanwhile. EndResume records that no replica is paused, and the
	// newest term that was or may be created. Both return ErrConflict if another
	// VM has acquired a token since: that one may rely on the replicas being paused.
	BeginResume(ctx context.Context, service ServiceName, t Token) error
	EndResume(ctx context.Context, service ServiceName, t Token, created position.Term) error
	// ReadPause returns what is recorded on paused replicas of a group.
	ReadPause(ctx context.Context, service ServiceName) (RecordedPause, error)
	// ReadRoster returns the recorded servers of a group that may hold confirmed commits. WriteRoster records others in
	// place of those of its version. It returns ErrConflict if another VM has changed the record since.
	ReadRoster(ctx context.Context, service ServiceName) (RecordedRoster, error)
	WriteRoster(ctx context.Context, service ServiceName, r RecordedRoster) error
}

const (
	// decisionInterval is the interval between evaluations of all groups.
	decisionInterval = 100 * time.Millisecond
	// failoverTimeout limits one failover attempt.
	failoverTimeout = 4 * time.Second
	// statusTimeout limits one command that a server answers with its status, including retries.
	// A server with a full queue refuses at once.
	statusTimeout = 300 * time.Millisecond
	// catchUpTimeout limits each wait until a replica has received the log of a leaving primary:
	// before and after its demotion.
	catchUpTimeout = 800 * time.Millisecond
	// promotionTimeout limits the wait until a promoted server acts as primary.
	promotionTimeout = 2 * time.Second
	// orderRepeatInterval is the pause before an order without an answer is repeated.
	orderRepeatInterval = 500 * time.Millisecond
	// statusPollInterval is the pause between two queries while waiting for a server to change
	// its state.
	statusPollInterval = 20 * time.Millisecond
	// failoverBackoff is the minimum time between two attempts of this VM in the same group, and
	// answersBackoff the same after an attempt in which the servers' answers allowed no promotion.
	failoverBackoff = 1500 * time.Millisecond
	answersBackoff  = 500 * time.Millisecond
	// unknownPrimaryTimeout is how long a VM may know no primary of a group before it reports a
	// failure. A starting VM needs that long to find the primary.
	unknownPrimaryTimeout = 1200 * time.Millisecond
)

// Failover replaces primaries that fail or leave. Its exported fields must be set before Run.
type Failover struct {
	VM       *VM
	Fleet    *heartbeat.Fleet
	Promoter Promoter
	// PromotionFences is true if the platform deposes the old primary when it promotes another
	// server. Otherwise VMs use a primary only while it has a quorum.
	PromotionFences bool
	Logger          log.Logger

	mu sync.Mutex
	// pending has the latest decision on each group.
	pending map[ServiceName]pendingDecision
	// unanswered has the server of the latest order in a group if that had no answer.
	unanswered map[ServiceName]ServerID
	attempts   sync.WaitGroup
	// fleetUnknown is true if this VM didn't know which VMs there are when it last evaluated the groups. It is
	// only used by Run.
	fleetUnknown bool

	// promotedAt has when this VM last ordered a promotion in a group.
	promotedAt map[ServiceName]clock.Instant
	// pauses has what is left to be done in each group in which replicas may be paused.
	pauses map[ServiceName]*pauseWatch
	// rosters has the progress of the checks of each group's roster.
	rosters map[ServiceName]*rosterWatch

	quorumMu     sync.Mutex
	quorumChecks map[ServiceName]quorumCheck
}

// pendingDecision is a decision on a group's primary, and its execution by this VM.
type pendingDecision struct {
	decision failover.Decision
	// primary is the primary that the decision is about, or empty if none is known. since is
	// when decision or primary last changed.
	primary ServerID
	since   time.Time
	// running is true while this VM carries out the decision; lastAttempt is when it last
	// started or finished doing so, and backoff how long it then waits.
	running     bool
	lastAttempt time.Time
	backoff     time.Duration
	// firstAttempt is when it first did so since the decision last changed, zero if it hasn't.
	firstAttempt time.Time
	// evaluatedAt is when the group was last evaluated.
	evaluatedAt clock.Instant
}

// Run evaluates all groups periodically until ctx ends.
func (f *Failover) Run(ctx context.Context) error {
	f.pending = map[ServiceName]pendingDecision{}
	tick := time.NewTicker(decisionInterval)
	defer tick.Stop()
	defer f.attempts.Wait()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		if unknown := !f.Fleet.KnowsFleet(); unknown != f.fleetUnknown {
			f.fleetUnknown = unknown
			eventFleetUnknown.Log(f.Logger, "unknown", unknown, "vms", f.Fleet.Size())
		}
		for _, g := range f.VM.Groups() {
			f.evaluate(ctx, g)
		}
	}
}

// view returns what this VM's decision on a group depends on, and whether this VM is one of its verifiers.
// evaluatedAt is when the group was last evaluated.
func (f *Failover) view(g *Group, evaluatedAt clock.Instant) (failover.View, bool) {
	// All calls and all VMs must use the same string, so that they select the same verifiers.
	isVerifier, verifiers := f.Fleet.SelectVMs("prove/"+string(g.Name), MaxVerifiers)
	view := g.failoverView(f.Fleet.PeersNamed(verifiers), isVerifier)
	view.FenceDelay, view.FleetUnknown = f.fenceDelay(), !f.Fleet.KnowsFleet()
	if evaluatedAt != 0 {
		view.Unwatched = clock.Since(evaluatedAt)
	}
	return view, isVerifier
}

// evaluate makes a decision on the group's primary, if this VM is one of its verifiers, and
// carries the decision out when this VM's turn has come.
func (f *Failover) evaluate(ctx context.Context, g *Group) {
	g.noteWatched()
	f.mu.Lock()
	defer f.mu.Unlock()
	pending := f.pending[g.Name]
	view, isVerifier := f.view(g, pending.evaluatedAt)
	if !isVerifier {
		return
	}
	decision := view.Decide()
	wait := f.wait(g, view, decision)
	if view.WasPaused() || pending.decision != decision || pending.primary != ServerID(view.OwnObservation.Primary) {
		pending = pendingDecision{decision: decision, primary: ServerID(view.OwnObservation.Primary), since: time.Now(), running: pending.running, lastAttempt: pending.lastAttempt, backoff: pending.backoff}
		if decision != failover.Keep {
			eventDecision.Log(g.Logger, "verdict", decision, "server", pending.primary, "others", len(view.Others), "wait", wait)
		}
	}
	pending.evaluatedAt = clock.Now()
	f.watchPause(ctx, g, view, decision, pending.running)
	f.watchRoster(ctx, g, view)
	due := decision != failover.Keep && !pending.running && time.Since(pending.since) >= wait && time.Since(pending.lastAttempt) > pending.backoff && f.Fleet.Settled()
	if due {
		pending.running, pending.lastAttempt = true, time.Now()
		if pending.firstAttempt.IsZero() {
			pending.firstAttempt = time.Now()
		}
		a := f.newAttempt(g, decision, pending)
		f.attempts.Go(func() { f.runFailover(ctx, a) })
	}
	f.pending[g.Name] = pending
}

// wait returns how long a decision must have been unchanged before this VM acts. The VM that has promoted a server a
// moment ago goes first, since another one would have to wait for the end of its turn (MayTakeOver). f.mu is held.
func (f *Failover) wait(g *Group, view failover.View, decision failover.Decision) time.Duration {
	if at, found := f.promotedAt[g.Name]; found && decision == failover.Replace && clock.Since(at) < failoverTimeout {
		return view.FenceDelay
	}
	return g.handOverWait(decision, view.ActionDelay())
}

// MayTakeOver reports whether this VM may become the promoter of a group in place of another one, which became it some
// time ago: that VM's attempt has ended, or it is silent. Two VMs that act in turn would undo each other's promotions.
func (f *Failover) MayTakeOver(holder VMName, age time.Duration) bool {
	return age >= failoverTimeout || f.isSilent(holder)
}

// isSilent reports whether a VM was heard before and isn't any more.
func (f *Failover) isSilent(name VMName) bool {
	for _, p := range f.Fleet.Peers() {
		if VMName(p.VM) == name {
			return p.Silent
		}
	}
	return false
}

// newAttempt returns an attempt to carry out a pending decision.
func (f *Failover) newAttempt(g *Group, decision failover.Decision, pending pendingDecision) attempt {
	oldPrimary, _ := g.currentPrimary()
	return attempt{group: g, decision: decision, oldPrimary: oldPrimary, first: pending.firstAttempt, stands: func() bool {
		f.mu.Lock()
		evaluatedAt := f.pending[g.Name].evaluatedAt
		f.mu.Unlock()
		view, isVerifier := f.view(g, evaluatedAt)
		return isVerifier && view.StillStands(decision, string(pending.primary))
	}}
}

// runFailover carries out a decision and logs the outcome.
func (f *Failover) runFailover(ctx context.Context, a attempt) {
	ctx, cancel := context.WithTimeout(ctx, failoverTimeout)
	defer cancel()
	began := time.Now()
	err := f.replacePrimary(ctx, a)
	outcome, backoff := "done", failoverBackoff
	if err != nil {
		outcome = "failed"
	}
	if isType(err, ErrNotPromotable) {
		backoff = answersBackoff
	}
	g := a.group
	eventPromotionEnded.Log(g.Logger, "verdict", a.decision, "took", time.Since(began), "outcome", outcome, "err", err)
	f.mu.Lock()
	defer f.mu.Unlock()
	pending := f.pending[g.Name]
	pending.running, pending.lastAttempt, pending.backoff = false, time.Now(), backoff
	f.pending[g.Name] = pending
}

// replacePrimary promotes the best replica, unless another VM has already promoted a server. For
// a hand-over it first stops the old primary.
func (f *Failover) replacePrimary(ctx context.Context, a attempt) error {
	g := a.group
	if g.syncReplicas() > 0 {
		if a.decision == failover.Replace {
			return f.replaceConfirmed(ctx, a)
		}
		// A token that was kept would not show whether another VM is about to replace the primary.
		f.Promoter.DiscardToken(g.Name)
	}
	chosen, e, err := f.chooseServer(ctx, a, 0)
	if err != nil || chosen.Server == "" {
		return err
	}
	askedAt := clock.Now()
	token, announced, err := f.Promoter.AcquireToken(ctx, g.Name, g.newestTerm()+1)
	if err != nil {
		return err
	}
	// The token may have been awaited.
	if a.isSuperseded() {
		return nil
	}
	if !a.stands() {
		return a.outdated("after the token was acquired")
	}
	if !e.HoldsAfter(clock.Since(askedAt), chosen, int64(max(announced, g.newestTerm()))) {
		chosen, e, err = f.chooseServer(ctx, a, announced)
		if err != nil || chosen.Server == "" {
			return err
		}
	}
	id := ServerID(chosen.Server)
	if !g.allowsPromotion(id) {
		return ErrNoServer.New("service %s: server %s is in a zone that is being evacuated", g.Name, id)
	}
	if a.decision == failover.HandOver {
		if chosen.Leaving {
			return ErrNoServer.New("service %s: every replica is leaving", g.Name)
		}
		if err := f.stopPrimary(ctx, a, id, token); err != nil {
			return err
		}
	}
	if f.outstandingOrder(g.Name, id) {
		f.Promoter.DiscardToken(g.Name)
		if token, _, err = f.Promoter.AcquireToken(ctx, g.Name, g.newestTerm()+1); err != nil {
			return err
		}
	}
	switch {
	case a.isSuperseded():
		return nil
	// A hand-over has stopped the primary itself, so that only another primary can stand against it.
	case a.decision != failover.HandOver && !a.stands(), g.newestTerm() > position.Term(max(e.NewestTerm, chosen.Received.Term)):
		return a.outdated("before the order")
	}
	eventPromote.Log(g.Logger, "server", id, "token", token, "received", chosen.Received, "heard", len(e.Answered), "listed", e.Listed, "newest-term", e.NewestTerm)
	return f.promoteAndAwait(ctx, g, id, token, func(context.Context) error { return nil })
}

// promoteAndAwait promotes a server and waits until it acts as primary. An order without an answer may
// have been lost, or be carried out seconds later, while the group has no primary: it is repeated. The
// same order with the same token has no further effect, but where the platform doesn't check tokens each
// order could be carried out after another VM's, so there only one is sent. recheck returns an error if the order may not
// be repeated.
func (f *Failover) promoteAndAwait(ctx context.Context, g *Group, id ServerID, token Token, recheck func(context.Context) error) error {
	term := g.newestTerm() + 1
	// checked is how long the latest recheck took, by which the wait before it is shorter.
	checked := time.Duration(0)
	for {
		err := f.promote(ctx, g, id, token, term)
		f.recordOrder(g.Name, id, err)
		if err == nil || isType(err, ErrOutcomeUnknown) && !f.PromotionFences {
			return g.awaitPromoted(ctx, id, promotionTimeout)
		}
		if !isType(err, ErrOutcomeUnknown) {
			return err
		}
		if g.awaitPromoted(ctx, id, orderRepeatInterval-checked) == nil {
			return nil
		}
		if ctx.Err() != nil {
			return err
		}
		began := time.Now()
		if err := recheck(ctx); err != nil {
			return err
		}
		checked = min(time.Since(began), orderRepeatInterval)
	}
}

// recordOrder records whether an order was answered.
func (f *Failover) recordOrder(service ServiceName, id ServerID, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !isType(err, ErrOutcomeUnknown) {
		delete(f.unanswered, service)
		return
	}
	if f.unanswered == nil {
		f.unanswered = map[ServiceName]ServerID{}
	}
	f.unanswered[service] = id
}

// outstandingOrder reports whether an order to promote another server may still be carried out. Only a
// higher token keeps it from replacing this one.
func (f *Failover) outstandingOrder(service ServiceName, id ServerID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	before, found := f.unanswered[service]
	return found && before != id
}

// promote orders the promotion that creates a term. It gives up the token if that is outdated. Otherwise the
// order may have created the term, even if its answer was lost.
func (f *Failover) promote(ctx context.Context, g *Group, id ServerID, token Token, term position.Term) error {
	f.mu.Lock()
	if f.promotedAt == nil {
		f.promotedAt = map[ServiceName]clock.Instant{}
	}
	f.promotedAt[g.Name] = clock.Now()
	f.mu.Unlock()
	err := f.Promoter.Promote(ctx, g.Name, id, token)
	if isType(err, ErrFenced) {
		f.Promoter.DiscardToken(g.Name)
	}
	if err == nil || isType(err, ErrOutcomeUnknown) {
		g.noteTerm(term)
	}
	return err
}

// stopPrimary demotes a primary and waits until a replica has received everything that it
// acknowledged. If the replica doesn't receive it in time, the old primary is promoted again.
func (f *Failover) stopPrimary(ctx context.Context, a attempt, successor ServerID, token Token) error {
	g, primary := a.group, a.oldPrimary
	g.mu.Lock()
	target := g.members[successor]
	g.mu.Unlock()
	if target == nil || primary == nil {
		return ErrNoServer.New("service %s: the old primary or its successor is no longer known", g.Name)
	}
	status, err := g.runStatusCommand(ctx, primary, QueryStatus{})
	if err != nil {
		return err
	}
	if !status.Primary {
		return ErrNoServer.New("server %s is no longer the primary", primary.pool.Server.ID)
	}
	if err := g.awaitReceived(ctx, target, status.Received); err != nil {
		return err
	}
	stopped, err := g.runStatusCommand(ctx, primary, Demote{Term: status.Term + 1})
	if err != nil {
		return err
	}
	if stopped.Primary {
		return ErrNoServer.New("server %s is still the primary after it was demoted", primary.pool.Server.ID)
	}
	eventPrimaryStopped.Log(g.Logger, "server", primary.pool.Server.ID, "term", status.Term, "received", stopped.Received)
	if err := g.awaitReceived(ctx, target, stopped.Received); err != nil {
		// The old primary has the complete log, so promoting it again loses nothing. An error
		// of that promotion is part of the result.
		return errorx.DecorateMany("handed back", err, f.promote(ctx, g, primary.pool.Server.ID, token, g.newestTerm()+1))
	}
	return nil
}

// awaitReceived waits until a server's log contains a position. It gives up after
// catchUpTimeout.
func (g *Group) awaitReceived(ctx context.Context, m *member, p position.Position) error {
	deadline := time.Now().Add(catchUpTimeout)
	for time.Now().Before(deadline) {
		s, err := g.runStatusCommand(ctx, m, QueryStatus{})
		if err == nil && s.Received.Compare(p) >= 0 {
			return nil
		}
		clock.Sleep(ctx, statusPollInterval)
	}
	return ErrTimeout.New("server %s hasn't received position %s", m.pool.Server.ID, p)
}

// awaitPromoted waits until a server passes verification as primary. It gives up after the time limit,
// or if the server is no longer listed.
func (g *Group) awaitPromoted(ctx context.Context, id ServerID, limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		g.mu.Lock()
		m := g.members[id]
		g.mu.Unlock()
		if m == nil {
			break
		}
		g.verifyServer(ctx, m)
		if primary, _ := g.currentPrimary(); primary == m {
			return nil
		}
		clock.Sleep(ctx, statusPollInterval)
	}
	return ErrTimeout.New("server %s doesn't act as primary yet", id)
}
