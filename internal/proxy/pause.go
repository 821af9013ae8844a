package proxy

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/savoryramp/savoryramp/internal/clock"
	"github.com/savoryramp/savoryramp/pkg/failover"
	"github.com/savoryramp/savoryramp/pkg/position"
)

const (
	// resumeTimeout limits the time from BeginResume to the end of the commands that it announces.
	resumeTimeout = 2 * statusTimeout
	// releaseTimeout limits ending a pause after an attempt, also while the VM shuts down.
	releaseTimeout = 2 * time.Second
)

// PauseRight is the right to pause the replicas of a group, and to promote one of them.
type PauseRight struct {
	Token Token
	// Term is the term with which replicas are paused.
	Term position.Term
	// Announced is the newest term that another attempt was about to create, 0 if none was.
	Announced position.Term
	// Before is the term of a pause that an earlier attempt has left, 0 if none has.
	Before position.Term
}

// RecordedPause is what is recorded on paused replicas of a group.
type RecordedPause struct {
	// Term is the term with which replicas may be paused, 0 if none is.
	Term position.Term
	// Token is the newest one of the group, Holder the VM that has acquired it.
	Token  Token
	Holder VMName
	// Age is the time since replicas may have been paused, if Term isn't 0, and AttemptAge the time since the holder
	// last acquired the right to pause them, as it also does to end a pause.
	Age, AttemptAge time.Duration
}

// pause is an attempt's pause of replicas. While too few replicas receive the log to confirm a commit, none can be
// acknowledged, so that the replicas' answers still hold when one of them is promoted.
type pause struct {
	attempt
	right PauseRight
	// members are those that were sent the command to pause, unanswered those that haven't answered it.
	members, unanswered []*member
	// tasks are the commands to pause.
	tasks sync.WaitGroup
	// isOpen is true while the attempt has sent an order that may yet be carried out.
	isOpen bool
	// promoted is the server that has taken over, nil if none has.
	promoted *member
}

// replaceConfirmed replaces a primary whose commits are confirmed by replicas: it pauses the replicas, promotes the one
// with the longest log, and makes the others receive again.
func (f *Failover) replaceConfirmed(ctx context.Context, a attempt) error {
	g := a.group
	readRoster := sync.OnceValue(func() error {
		_, err := f.readRoster(ctx, g)
		return err
	})
	f.attempts.Go(func() { _ = readRoster() })
	if !g.knowsRoster() {
		// The list may lack servers that others have seen.
		if err := readRoster(); err != nil {
			return err
		}
	}
	chosen, e, err := f.chooseServer(ctx, a, 0)
	if err != nil || chosen.Server == "" {
		return err
	}
	if err := readRoster(); err != nil {
		return err
	}
	p := &pause{attempt: a}
	if p.right, err = f.Promoter.AcquireForPause(ctx, g.Name, g.newestTerm()+1, f.mayReplacePause); err != nil {
		return err
	}
	err = f.promotePaused(ctx, p, e)
	f.endPause(ctx, p)
	return err
}

// mayReplacePause reports whether an attempt may begin although another VM's pause is recorded: that VM's attempt has
// ended, or the VM is silent.
func (f *Failover) mayReplacePause(r RecordedPause) bool {
	return f.MayTakeOver(r.Holder, r.AttemptAge)
}

// promotePaused pauses the replicas and promotes one of them. before is the election that led here.
func (f *Failover) promotePaused(ctx context.Context, p *pause, before failover.Election) error {
	g := p.group
	// The right may have been awaited.
	if p.isSuperseded() {
		return nil
	}
	if !p.stands() {
		return p.outdated("after the token was acquired")
	}
	statuses, err := f.pauseReplicas(ctx, p)
	if err != nil || g.adoptNewerPrimary(statuses) || p.isSuperseded() {
		return err
	}
	e := p.pausedElection(statuses, before, p.right.Announced)
	chosen, refused := e.Choose()
	if refused != "" {
		g.recordRefusal(string(refused))
		eventPromotionRefused.Log(g.Logger, "reason", refused, "verdict", p.decision, "listed", e.Listed, "answered", len(e.Answered), "newest-term", e.NewestTerm, "announced", p.right.Announced, "pause-term", p.right.Term, "unlisted", fmt.Sprint(g.unlistedServers()))
		return ErrNotPromotable.New("service %s: %s: %d of %d replicas are paused, the newest known term is %d", g.Name, refused, len(statuses), e.Replicas, e.NewestTerm)
	}
	id := ServerID(chosen.Server)
	switch {
	case !g.allowsPromotion(id):
		return ErrNoServer.New("service %s: server %s is in a zone that is being evacuated", g.Name, id)
	case p.isSuperseded():
		return nil
	case !p.stands(), g.newestTerm() > position.Term(max(e.NewestTerm, chosen.Received.Term)):
		return p.outdated("before the order")
	}
	eventPromote.Log(g.Logger, "server", id, "token", p.right.Token, "received", chosen.Received, "heard", len(e.Answered), "listed", e.Listed, "newest-term", e.NewestTerm, "pause-term", p.right.Term)
	err = f.promoteAndAwait(ctx, g, id, p.right.Token, p.checkPaused)
	g.mu.Lock()
	m := g.members[id]
	g.mu.Unlock()
	if primary, _ := g.currentPrimary(); err == nil && primary == m {
		p.promoted = m
	}
	// A promotion that was accepted takes effect some time later.
	p.isOpen = p.promoted == nil && (err == nil || isType(err, ErrTimeout) || isType(err, ErrOutcomeUnknown))
	return err
}

// checkPaused returns ErrAbandoned if a replica says that it isn't paused any more, as after a restart: it may confirm
// commits that the chosen one lacks.
func (p *pause) checkPaused(ctx context.Context) error {
	statuses := p.askMembers(ctx, &p.tasks, p.members, QueryStatus{}, func([]replicaStatus) bool { return true })
	for _, s := range statuses {
		isUnanswered := slices.ContainsFunc(p.unanswered, func(m *member) bool { return m.pool.Server.ID == s.id })
		if s.status.HeldTerm == 0 && !s.status.Primary && !isUnanswered {
			return ErrAbandoned.New("service %s: replica %s isn't paused any more", p.group.Name, s.id)
		}
	}
	return nil
}

// pausedElection returns what the choice among paused replicas depends on. The old primary's answer only counts as one
// that was given.
func (a attempt) pausedElection(paused []replicaStatus, before failover.Election, announced position.Term) failover.Election {
	e := a.election(paused, max(announced, position.Term(before.NewestTerm)))
	for _, r := range before.Answered {
		if r.OldPrimary {
			e.Answered = append(e.Answered, r)
		}
	}
	return e
}

// pauseReplicas pauses all servers but the old primary, as far as they answer, and returns the statuses of those that
// are paused. It returns ErrAbandoned if a server knows the term of the pause already, on which the command has no
// effect.
func (f *Failover) pauseReplicas(ctx context.Context, p *pause) ([]replicaStatus, error) {
	g := p.group
	p.members = p.replicas()
	p.unanswered = slices.Clone(p.members)
	needed := p.pausesNeeded()
	paused := p.askMembers(ctx, &p.tasks, p.members, PauseReceiving{Term: p.right.Term}, func(statuses []replicaStatus) bool {
		return countReplicas(statuses) >= needed
	})
	isOutdated := false
	for _, s := range paused {
		p.unanswered = slices.DeleteFunc(p.unanswered, func(m *member) bool { return m.pool.Server.ID == s.id })
		g.noteTerm(max(s.status.Term, s.status.Received.Term))
		isOutdated = isOutdated || s.status.Term >= p.right.Term
	}
	eventPaused.Log(g.Logger, "term", p.right.Term, "token", p.right.Token, "replicas", len(p.members), "answered", len(paused), "newest-term", g.newestTerm(), "outdated", isOutdated)
	if isOutdated && !g.adoptNewerPrimary(paused) {
		return nil, p.outdated("when the replicas were paused")
	}
	return paused, nil
}

// countReplicas counts the answers of replicas. The command to pause has no effect on a primary.
func countReplicas(statuses []replicaStatus) int {
	n := 0
	for _, s := range statuses {
		if !s.status.Primary {
			n++
		}
	}
	return n
}

// replicas returns the servers but the old primary that may be asked.
func (a attempt) replicas() []*member {
	return slices.DeleteFunc(a.askedMembers(), func(m *member) bool { return m == a.oldPrimary })
}

// pausesNeeded returns how many replicas have to be paused so that no commit can be confirmed. For a replacement each
// commit that was must be on one of them, too, so that it counts the roster, also servers that aren't listed or may not be
// asked. The end of a pause only counts servers that are listed, since others are taken for gone.
func (a attempt) pausesNeeded() int {
	servers, syncReplicas := a.group.confirmation()
	if a.decision == failover.Keep {
		servers, syncReplicas = len(a.group.sortedMembers()), a.group.syncReplicas()
	}
	return failover.AnswersNeeded(servers-1, syncReplicas)
}

// endPause makes the replicas of an attempt that has ended receive again, unless that isn't known to be safe: an order
// of this VM or of another one may yet promote one of them with what it has now. The pause is then left for watchPause.
func (f *Failover) endPause(ctx context.Context, p *pause) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	p.tasks.Wait()
	isSafe := p.promoted != nil || !p.isOpen && p.right.isFirst(p.group)
	var err error
	if isSafe {
		err = f.resume(ctx, p)
	}
	if !isSafe || err != nil {
		eventPauseLeft.Log(p.group.Logger, "token", p.right.Token, "term", p.right.Term, "ordered", p.isOpen, "before", p.right.Before, "announced", p.right.Announced, "outcome", "left", "err", err)
		// Another VM that has acquired a token since is responsible.
		f.leavePause(p, !IsConflict(err))
	}
}

// isFirst reports whether no other attempt's order can be outstanding: each earlier one has ended its pause, and the
// term that it was about to create exists.
func (r PauseRight) isFirst(g *Group) bool { return r.Before == 0 && r.Announced <= g.knownTerm() }

// resume makes the servers of a pause receive again. Those that don't answer, and those whose command to pause may yet
// be carried out, are tried again by watchPause. It returns ErrConflict if another VM has become responsible.
func (f *Failover) resume(ctx context.Context, p *pause) error {
	g, began := p.group, clock.Now()
	if err := f.Promoter.BeginResume(ctx, g.Name, p.right.Token); err != nil {
		return err
	}
	members := slices.DeleteFunc(slices.Clone(p.members), func(m *member) bool { return m == p.promoted || !g.isMember(m) })
	var failed []*member
	if clock.Since(began) > statusTimeout {
		failed = members
	} else {
		failed = f.resumeMembers(ctx, g, members)
	}
	if clock.Since(began) > resumeTimeout {
		return ErrTimeout.New("service %s: making replicas receive again took %s", g.Name, clock.Since(began))
	}
	f.mu.Lock()
	w := f.watchOf(g)
	var left []ServerID
	for _, m := range failed {
		left = append(left, m.pool.Server.ID)
		w.resumeLater(m, pauseRetryInterval<<min(w.failures, maxRetryDoublings))
	}
	w.failures++
	if len(left) == 0 {
		w.failures = 0
	}
	for _, m := range p.unanswered {
		w.resumeLater(m, lateCommandTime)
	}
	f.mu.Unlock()
	eventResumed.Log(g.Logger, "token", p.right.Token, "replicas", len(members), "unanswered", fmt.Sprint(left))
	return f.Promoter.EndResume(ctx, g.Name, p.right.Token, g.knownTerm())
}

// resumeMembers makes replicas receive again, and returns those that don't answer.
func (f *Failover) resumeMembers(ctx context.Context, g *Group, members []*member) (failed []*member) {
	errors := make([]error, len(members))
	var tasks sync.WaitGroup
	for i, m := range members {
		tasks.Go(func() { _, errors[i] = g.runStatusCommand(ctx, m, ResumeReceiving{}) })
	}
	tasks.Wait()
	for i, m := range members {
		if errors[i] != nil {
			failed = append(failed, m)
		}
	}
	return failed
}

// isMember reports whether a server is still listed.
func (g *Group) isMember(m *member) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.members[m.pool.Server.ID] == m
}

// knownTerm returns the newest term of which this VM knows a primary.
func (g *Group) knownTerm() position.Term {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.term
}
