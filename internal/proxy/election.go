package proxy

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/savoryramp/savoryramp/internal/clock"
	"github.com/savoryramp/savoryramp/pkg/failover"
	"github.com/savoryramp/savoryramp/pkg/placement"
	"github.com/savoryramp/savoryramp/pkg/position"
)

const (
	// askTime is how long an attempt asks servers again that haven't answered, while their answers may
	// change which one is promoted.
	askTime = 900 * time.Millisecond
	// askPause is the pause before a server that failed to answer is asked again.
	askPause = 50 * time.Millisecond
)

// attempt is one execution of a decision on a group's primary.
type attempt struct {
	group    *Group
	decision failover.Decision
	// oldPrimary is the primary that the decision is about, nil if none is known.
	oldPrimary *member
	// first is when this VM first attempted to carry out the decision.
	first time.Time
	// stands reports whether the decision still stands.
	stands func() bool
}

// isSuperseded reports whether another primary has become known.
func (a attempt) isSuperseded() bool {
	primary, _ := a.group.currentPrimary()
	return primary != nil && primary != a.oldPrimary
}

// askedMembers returns the servers that count for the choice: all but those in evacuated zones, which may
// not be asked.
func (a attempt) askedMembers() []*member {
	var list []*member
	for _, m := range a.group.sortedMembers() {
		if a.group.allows(m, placement.Control) {
			list = append(list, m)
		}
	}
	return list
}

// outdated logs that the decision no longer stands, and returns ErrAbandoned.
func (a attempt) outdated(when string) error {
	g := a.group
	observation := g.observation()
	eventDecisionOutdated.Log(g.Logger, "verdict", a.decision, "when", when, "server", observation.Server, "failing", observation.Failing, "newest-term", g.newestTerm())
	g.recordRefusal("outdated-decision")
	return ErrAbandoned.New("service %s: the decision to %s no longer stands %s", g.Name, a.decision, when)
}

// replicaStatus is a server's answer to a status query during a failover.
type replicaStatus struct {
	id ServerID
	// leaving is true if the platform lists the server as shutting down, isOldPrimary if it is the primary that
	// is to be replaced.
	leaving, isOldPrimary bool
	status                ServerStatus
}

// election returns what the choice of a server depends on. announced is the newest term in the promoter's
// row, 0 if it isn't known.
func (a attempt) election(statuses []replicaStatus, announced position.Term) failover.Election {
	g := a.group
	servers, syncReplicas := g.confirmation()
	e := failover.Election{SyncReplicas: syncReplicas, Replicas: servers - 1, SinceFirstAttempt: time.Since(a.first)}
	if a.decision == failover.HandOver {
		// The successor gets the whole log of the old primary, which has each confirmed commit.
		e.SyncReplicas = 0
	}
	for _, m := range g.sortedMembers() {
		if g.allows(m, placement.Control) {
			e.Listed++
		}
	}
	for _, s := range statuses {
		g.noteTerm(max(s.status.Term, s.status.Received.Term))
		e.Answered = append(e.Answered, failover.Replica{
			Server: string(s.id), Leaving: s.leaving,
			// A server that says it is the primary isn't paused, and confirms commits with the other replicas.
			OldPrimary: s.isOldPrimary || s.status.Primary && syncReplicas > 0,
			Received:   failover.LogEnd{Term: int64(s.status.Received.Term), Offset: int64(s.status.Received.Offset)},
		})
	}
	e.NewestTerm = int64(max(announced, g.newestTerm()))
	return e
}

// chooseServer asks the servers for their status and returns the one to promote, or one without a name if
// another VM has already promoted a server. It returns ErrNotPromotable if none may be promoted now.
func (f *Failover) chooseServer(ctx context.Context, a attempt, announced position.Term) (failover.Replica, failover.Election, error) {
	g := a.group
	statuses := f.queryStatuses(ctx, a, announced)
	if g.adoptNewerPrimary(statuses) {
		return failover.Replica{}, failover.Election{}, nil
	}
	e := a.election(statuses, announced)
	chosen, refused := e.Choose()
	if refused == "" {
		return chosen, e, nil
	}
	best, _ := failover.PickReplica(e.Answered, e.Replicas, 0)
	eventPromotionRefused.Log(g.Logger, "reason", refused, "verdict", a.decision, "listed", e.Listed, "answered", len(e.Answered), "best", best.Server, "received", best.Received, "newest-term", e.NewestTerm, "announced", announced, "since-first", e.SinceFirstAttempt, "unlisted", fmt.Sprint(g.unlistedServers()))
	g.recordRefusal(string(refused))
	return failover.Replica{}, e, ErrNotPromotable.New("service %s: %s: %d of %d servers answered, the best log ends at %s, the newest known term is %d", g.Name, refused, len(e.Answered), e.Listed, best.Received, e.NewestTerm)
}

// queryStatuses queries the status of all servers concurrently and returns those that answered. It waits
// until each server but the old primary has answered or failed once. As long as their answers don't allow a
// promotion, it asks those that failed again, up to askTime.
func (f *Failover) queryStatuses(ctx context.Context, a attempt, announced position.Term) []replicaStatus {
	return a.askMembers(ctx, &f.attempts, a.askedMembers(), QueryStatus{}, func(statuses []replicaStatus) bool {
		return a.election(statuses, announced).IsDecisive()
	})
}

// askMembers sends servers a command that is answered with a status, as queryStatuses does, until enough returns
// true. Commands that were sent by then may end later, with tasks.
func (a attempt) askMembers(ctx context.Context, tasks *sync.WaitGroup, members []*member, c Command, enough func([]replicaStatus) bool) []replicaStatus {
	// Queries of servers that don't answer end after those that matter.
	ctx, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()
	answers, failed := make(chan replicaStatus, len(members)), make(chan ServerID, len(members))
	awaited := map[ServerID]bool{}
	for _, m := range members {
		if m != a.oldPrimary {
			awaited[m.pool.Server.ID] = true
		}
		tasks.Go(func() { a.group.askUntilAnswered(ctx, m, c, m == a.oldPrimary, answers, failed) })
	}
	var statuses []replicaStatus
	for len(statuses) < len(members) {
		select {
		case s := <-answers:
			statuses = append(statuses, s)
			delete(awaited, s.id)
		case id := <-failed:
			delete(awaited, id)
		case <-ctx.Done():
			return statuses
		}
		if len(awaited) == 0 && enough(statuses) {
			break
		}
	}
	return statuses
}

// askUntilAnswered sends a server a command until it answers with its status or ctx ends. It reports the first failure.
func (g *Group) askUntilAnswered(ctx context.Context, m *member, c Command, isOldPrimary bool, answers chan<- replicaStatus, failed chan<- ServerID) {
	for first := true; ctx.Err() == nil; first = false {
		s, err := g.runStatusCommand(ctx, m, c)
		if err == nil {
			answers <- replicaStatus{m.pool.Server.ID, g.isLeaving(m), isOldPrimary, s}
			return
		}
		eventRetry.Log(g.Logger, "server", m.pool.Server.ID, "err", err)
		if first {
			failed <- m.pool.Server.ID
		}
		clock.Sleep(ctx, askPause)
	}
}

func (g *Group) isLeaving(m *member) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return m.server.Leaving
}

// runStatusCommand runs a command that is answered with a status. It retries while the server
// is busy or refuses connections, up to statusTimeout.
func (g *Group) runStatusCommand(ctx context.Context, m *member, c Command) (ServerStatus, error) {
	deadline := time.Now().Add(statusTimeout)
	for {
		conn, err := g.acquireAny(ctx, m, deadline)
		if err == nil {
			co := g.newCheckout(localExecutor{conn}, conn.Server, true)
			a, runErr := co.run(nil, c, deadline)
			co.release(runErr == nil && a.Phase == Idle)
			if runErr == nil && a.Succeeded() {
				return conn.Link.DecodeStatus(a)
			}
			err = runErr
			if err == nil {
				err = ErrBusy.New("server %s: %s %s", co.server, a.Failure, a.Detail)
			}
		}
		if ctx.Err() != nil || time.Until(deadline) < statusPollInterval || !isType(err, ErrBusy) && !isType(err, ErrRefused) && !isType(err, ErrUnproven) && !isType(err, ErrUnsettled) {
			return ServerStatus{}, err
		}
		clock.Sleep(ctx, statusPollInterval)
	}
}

func (g *Group) syncReplicas() int {
	if s := g.VM.service(g.Name); s != nil {
		return s.SyncReplicas
	}
	return 0
}

// adoptNewerPrimary sets the primary to the server that reports the newest term as primary, if that is newer
// than the known one, and reports whether there was one. In that case another VM has already completed the
// failover.
func (g *Group) adoptNewerPrimary(statuses []replicaStatus) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	var newest replicaStatus
	for _, s := range statuses {
		if s.status.Primary && s.status.Term > max(g.term, newest.status.Term) {
			newest = s
		}
	}
	if newest.id == "" {
		return false
	}
	g.setPrimary(newest.id, newest.status.Term, "reports that it is the primary")
	return true
}

// newestTerm returns the newest term of the group that a VM or a server has told, or that this VM may have
// created.
func (g *Group) newestTerm() position.Term {
	g.mu.Lock()
	defer g.mu.Unlock()
	return max(g.term, g.reportedTerm)
}

// noteTerm records that a term was told or may have been created.
func (g *Group) noteTerm(t position.Term) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.reportedTerm = max(g.reportedTerm, t)
}

// recordRefusal records why this VM didn't promote a server.
func (g *Group) recordRefusal(reason string) {
	g.VM.metrics.recordPromotionRefusal(g.Name, reason)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastRefusal = reason
}
