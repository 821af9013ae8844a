package proxy

import (
	"context"
	"time"

	"github.com/savoryramp/savoryramp/internal/clock"
	"github.com/savoryramp/savoryramp/pkg/failover"
	"github.com/savoryramp/savoryramp/pkg/position"
)

const (
	// pauseRetryInterval is the time between two attempts of this VM to end a pause. It doubles up to
	// maxRetryDoublings times while a replica doesn't answer, and twice with each attempt that fails. The longest one is
	// longer than another VM waits until it takes over (mayEndPause).
	pauseRetryInterval = 500 * time.Millisecond
	maxRetryDoublings  = 4
	// pauseCheckInterval is how often the first verifier in rank looks for pauses that other VMs have left. Each further
	// one does so more rarely.
	pauseCheckInterval = 2 * time.Second
	// abandonedPauseAge is the age at which a pause of another VM counts as left: that VM's attempt, and ending its
	// pause, have ended by then.
	abandonedPauseAge = failoverTimeout + releaseTimeout
	// lateCommandTime is how long after it was sent a command without an answer may be carried out.
	lateCommandTime = 15 * time.Second
)

// pauseWatch is what this VM has to do, or to find out, about paused replicas of a group.
type pauseWatch struct {
	// isLeft is true if this VM has left a pause, since when leftAt has.
	isLeft bool
	leftAt clock.Instant
	// due has when a server has to be made to receive again.
	due map[*member]clock.Instant
	// failures counts the attempts in a row after which a server still had to be.
	failures int
	// settleFailures counts the attempts in a row to end a pause that have failed.
	settleFailures int
	// checkedAt is when the last check began or ended.
	checkedAt clock.Instant
	// isRunning is true while a check runs.
	isRunning bool
}

// watchOf returns the watch of a group; f.mu is held.
func (f *Failover) watchOf(g *Group) *pauseWatch {
	if f.pauses == nil {
		f.pauses = map[ServiceName]*pauseWatch{}
	}
	w := f.pauses[g.Name]
	if w == nil {
		w = &pauseWatch{due: map[*member]clock.Instant{}}
		f.pauses[g.Name] = w
	}
	return w
}

// leavePause records that a pause of this VM is left, and whether this VM has to end it. If not, it only makes the
// servers receive again once nobody else may rely on the pause.
func (f *Failover) leavePause(p *pause, isOwn bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.watchOf(p.group)
	if isOwn && !w.isLeft {
		w.isLeft, w.leftAt = true, clock.Now()
	}
	for _, m := range p.members {
		if m != p.promoted {
			w.resumeLater(m, pauseRetryInterval)
		}
	}
}

// resumeLater records that a server has to be made to receive again after some time.
func (w *pauseWatch) resumeLater(m *member, after time.Duration) {
	w.due[m] = max(w.due[m], clock.Now()+clock.Instant(after))
}

// isDue reports whether a server has to be made to receive again now.
func (w *pauseWatch) isDue() bool {
	for _, at := range w.due {
		if clock.Now() >= at {
			return true
		}
	}
	return false
}

// watchPause starts a check for pauses that attempts have left, when that is due, unless this VM is about to replace
// the primary, which ends them as well. Pauses of other VMs are looked for by the verifiers that can use the primary,
// the first in rank more often. f.mu is held.
func (f *Failover) watchPause(ctx context.Context, g *Group, view failover.View, decision failover.Decision, isAttempting bool) {
	if g.syncReplicas() == 0 && f.pauses[g.Name] == nil || decision == failover.Replace || isAttempting || view.OwnObservation.Failing || view.FleetUnknown || view.WasPaused() || !f.Fleet.Settled() {
		return
	}
	f.startPauseCheck(ctx, g, view.Rank())
}

// startPauseCheck starts a check for pauses when that is due for a VM of a rank. f.mu is held.
func (f *Failover) startPauseCheck(ctx context.Context, g *Group, rank int) {
	w := f.watchOf(g)
	interval := pauseCheckInterval * time.Duration(1+rank)
	if w.isLeft || w.isDue() {
		interval = pauseRetryInterval << min(2*w.settleFailures, maxRetryDoublings)
	}
	if w.isRunning || w.checkedAt != 0 && clock.Since(w.checkedAt) < interval {
		return
	}
	w.isRunning, w.checkedAt = true, clock.Now()
	f.attempts.Go(func() {
		f.checkPause(ctx, g)
		f.mu.Lock()
		defer f.mu.Unlock()
		w.isRunning, w.checkedAt = false, clock.Now()
	})
}

// checkPause ends a pause that was left, and makes the servers receive again that have to.
func (f *Failover) checkPause(ctx context.Context, g *Group) {
	ctx, cancel := context.WithTimeout(ctx, failoverTimeout)
	defer cancel()
	recorded, err := f.Promoter.ReadPause(ctx, g.Name)
	if err != nil {
		eventPauseLeft.Log(g.Logger, "outcome", "unknown", "err", err)
		return
	}
	f.mu.Lock()
	w := f.watchOf(g)
	isAbandoned, isDue := w.isLeft || recorded.Holder == f.VM.Name || f.mayEndPause(recorded), w.isDue()
	if recorded.Term == 0 {
		w.isLeft = false
	}
	f.mu.Unlock()
	switch {
	case recorded.Term != 0 && !isAbandoned, recorded.Term == 0 && !isDue && !f.isHeld(ctx, g, recorded):
		return
	}
	err = f.settle(ctx, g)
	f.mu.Lock()
	w.settleFailures++
	if err == nil {
		w.settleFailures = 0
	}
	failures := w.settleFailures
	f.mu.Unlock()
	eventPauseLeft.Log(g.Logger, "token", recorded.Token, "term", recorded.Term, "holder", recorded.Holder, "age", recorded.Age, "failures", failures, "outcome", "settled", "err", err)
}

// mayEndPause reports whether a pause of another VM is left, so that this one may end it: that VM is silent, or its
// attempts to end the pause fail.
func (f *Failover) mayEndPause(r RecordedPause) bool {
	return r.Age >= abandonedPauseAge && r.AttemptAge >= failoverTimeout || f.isSilent(r.Holder)
}

// isHeld reports whether a replica tells that it is paused although that isn't recorded.
func (f *Failover) isHeld(ctx context.Context, g *Group, recorded RecordedPause) bool {
	primary, _ := g.currentPrimary()
	a := attempt{group: g, oldPrimary: primary}
	for _, m := range a.replicas() {
		if s, err := g.runStatusCommand(ctx, m, QueryStatus{}); err == nil && s.HeldTerm > s.Term {
			// Another VM may have paused it since the record was read.
			again, err := f.Promoter.ReadPause(ctx, g.Name)
			return err == nil && again.Term == 0 && again.Token == recorded.Token
		}
	}
	return false
}

// settle ends a pause that was left. If an order of its attempt may yet be carried out, it first makes sure that none
// is. It makes all replicas receive again.
func (f *Failover) settle(ctx context.Context, g *Group) error {
	primary, _ := g.currentPrimary()
	if primary == nil {
		return ErrNoServer.New("service %s has no primary", g.Name)
	}
	p := &pause{attempt: attempt{group: g, decision: failover.Keep, oldPrimary: primary, first: time.Now()}}
	var err error
	if p.right, err = f.Promoter.AcquireForPause(ctx, g.Name, g.newestTerm()+1, f.mayEndPause); err != nil {
		return err
	}
	p.members = p.replicas()
	defer p.tasks.Wait()
	if !p.right.isFirst(g) {
		err = f.excludeOrders(ctx, p)
	}
	if err == nil {
		p.tasks.Wait()
		f.forgetDue(p)
		err = f.resume(ctx, p)
	}
	f.mu.Lock()
	w := f.watchOf(g)
	if err == nil {
		w.isLeft = false
	}
	f.mu.Unlock()
	if err != nil {
		f.leavePause(p, !IsConflict(err))
	}
	return err
}

// forgetDue forgets which servers of a pause have to be made to receive again now.
func (f *Failover) forgetDue(p *pause) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.watchOf(p.group)
	for m, at := range w.due {
		if clock.Now() >= at {
			delete(w.due, m)
		}
	}
}

// excludeOrders makes sure that no order of an earlier attempt is carried out any more. Once the primary has told that it
// acts, it pauses the replicas itself and has the platform promote the primary, which changes nothing but makes it refuse
// all earlier tokens, and waits for promotions that are under way. If another server is promoted meanwhile, no commit of
// it can be confirmed without the primary, so that the order loses none. An attempt of this VM may have sent its order a
// moment ago; for another one's, and after the time in which an order may be carried out late, it isn't needed that
// enough replicas answer. After an error no more replicas are paused than before.
func (f *Failover) excludeOrders(ctx context.Context, p *pause) error {
	g := p.group
	f.mu.Lock()
	w := f.watchOf(g)
	isRecent := w.isLeft && clock.Since(w.leftAt) < lateCommandTime
	f.mu.Unlock()
	asked := make(chan []*member, 1)
	go func() { asked <- p.receivingMembers(ctx) }()
	before, err := p.actingPrimary(ctx)
	receiving := <-asked
	if err != nil {
		return err
	}
	paused, err := f.pauseReplicas(ctx, p)
	if err == nil {
		err = f.fenceOrders(ctx, p, before.Term, paused, isRecent)
	}
	if err != nil {
		f.resumeAgain(ctx, p, receiving)
	}
	return err
}

// fenceOrders has the platform refuse all earlier tokens, and waits for promotions that are under way. paused are the
// replicas that are paused meanwhile, term is that in which the primary acts, and isRecent is true if this VM may have
// sent an order a moment ago.
func (f *Failover) fenceOrders(ctx context.Context, p *pause, term position.Term, paused []replicaStatus, isRecent bool) error {
	g := p.group
	if needed := p.pausesNeeded(); len(paused) < needed && isRecent {
		return ErrNotPromotable.New("service %s: %d of %d replicas are paused, %d are needed", g.Name, len(paused), len(p.members), needed)
	}
	if err := f.Promoter.Promote(ctx, g.Name, p.oldPrimary.pool.Server.ID, p.right.Token); err != nil {
		return err
	}
	clock.Sleep(ctx, promotionTimeout)
	again, err := p.actingPrimary(ctx)
	if err == nil && again.Term != term {
		return ErrAbandoned.New("service %s: term %d has begun, the primary was that of term %d", g.Name, again.Term, term)
	}
	return err
}

// receivingMembers returns the replicas of a pause that receive the log, as far as they answer.
func (p *pause) receivingMembers(ctx context.Context) []*member {
	var receiving []*member
	statuses := p.askMembers(ctx, &p.tasks, p.members, QueryStatus{}, func([]replicaStatus) bool { return true })
	for _, s := range statuses {
		for _, m := range p.members {
			if m.pool.Server.ID == s.id && s.status.HeldTerm == 0 && !s.status.Primary {
				receiving = append(receiving, m)
			}
		}
	}
	return receiving
}

// resumeAgain makes the replicas receive again that did so before an attempt to end a pause which has failed, so that
// the attempt leaves no more of them paused than it found. The pause stays recorded.
func (f *Failover) resumeAgain(ctx context.Context, p *pause, receiving []*member) {
	if len(receiving) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	p.tasks.Wait()
	err := f.Promoter.BeginResume(ctx, p.group.Name, p.right.Token)
	var failed []*member
	if err == nil {
		failed = f.resumeMembers(ctx, p.group, receiving)
	}
	eventResumed.Log(p.group.Logger, "token", p.right.Token, "replicas", len(receiving), "unanswered", len(failed), "outcome", "attempt failed", "err", err)
}

// actingPrimary returns the status of the attempt's primary, which says that it acts. It returns ErrAbandoned if it
// doesn't act or another one is known.
func (a attempt) actingPrimary(ctx context.Context) (ServerStatus, error) {
	g, id := a.group, a.oldPrimary.pool.Server.ID
	s, err := g.runStatusCommand(ctx, a.oldPrimary, QueryStatus{})
	for deadline := time.Now().Add(askTime); err != nil && ctx.Err() == nil && time.Now().Before(deadline); {
		clock.Sleep(ctx, askPause)
		s, err = g.runStatusCommand(ctx, a.oldPrimary, QueryStatus{})
	}
	if err != nil {
		return ServerStatus{}, err
	}
	if !s.Primary || s.Term < g.knownTerm() || a.isSuperseded() {
		return ServerStatus{}, ErrAbandoned.New("service %s: server %s isn't the primary of the newest term", g.Name, id)
	}
	return s, nil
}
