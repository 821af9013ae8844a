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
	"github.com/savoryramp/savoryramp/pkg/placement"
	"github.com/savoryramp/savoryramp/pkg/position"
)

// Token is a fencing token. It increases whenever another VM becomes the one that may promote
// servers of a group.
type Token int64

// Promoter promotes servers to primary.
type Promoter interface {
	// AcquireToken makes this VM the one that may promote servers of a group, unless it already
	// is. It may have to wait until another VM's orders can't arrive any more. After an error the VM
	// must not promote: another VM may hold that right.
	AcquireToken(ctx context.Context, service ServiceName) (Token, error)
	// DiscardToken makes the next AcquireToken request a new token. It is called after
	// Promote returned ErrFenced.
	DiscardToken(service ServiceName)
	// Promote orders a server to become the primary of the next term. ErrFenced means that the
	// token is outdated or that the server isn't running. After ErrOutcomeUnknown the order may
	// still take effect seconds later, after any other error it doesn't.
	Promote(ctx context.Context, service ServiceName, id ServerID, t Token) error
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
	// failoverBackoff is the minimum time between two attempts of this VM in the same group.
	failoverBackoff = 1500 * time.Millisecond
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
	// started or finished doing so.
	running     bool
	lastAttempt time.Time
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
		for _, g := range f.VM.Groups() {
			f.evaluate(ctx, g)
		}
	}
}

// evaluate makes a decision on the group's primary, if this VM is one of its verifiers, and
// carries the decision out when this VM's turn has come.
func (f *Failover) evaluate(ctx context.Context, g *Group) {
	// All calls and all VMs must use the same string, so that they select the same verifiers.
	isVerifier, verifiers := f.Fleet.SelectVMs("prove/"+string(g.Name), MaxVerifiers)
	if !isVerifier {
		return
	}
	view := g.failoverView(f.Fleet.PeersNamed(verifiers), isVerifier)
	view.FenceDelay = f.fenceDelay()
	decision := view.Decide()
	wait := g.handOverWait(decision, view.ActionDelay())
	f.mu.Lock()
	defer f.mu.Unlock()
	pending := f.pending[g.Name]
	if pending.decision != decision || pending.primary != ServerID(view.OwnObservation.Primary) {
		pending = pendingDecision{decision: decision, primary: ServerID(view.OwnObservation.Primary), since: time.Now(), running: pending.running, lastAttempt: pending.lastAttempt}
		if decision != failover.Keep {
			eventDecision.Log(g.Logger, "verdict", decision, "server", pending.primary, "others", len(view.Others), "wait", wait)
		}
	}
	due := decision != failover.Keep && !pending.running && time.Since(pending.since) >= wait && time.Since(pending.lastAttempt) > failoverBackoff && f.Fleet.Settled()
	if due {
		pending.running, pending.lastAttempt = true, time.Now()
		f.attempts.Go(func() { f.runFailover(ctx, g, decision) })
	}
	f.pending[g.Name] = pending
}

// runFailover carries out a decision and logs the outcome.
func (f *Failover) runFailover(ctx context.Context, g *Group, decision failover.Decision) {
	ctx, cancel := context.WithTimeout(ctx, failoverTimeout)
	defer cancel()
	began := time.Now()
	oldPrimary, _ := g.currentPrimary()
	err := f.replacePrimary(ctx, g, decision, oldPrimary)
	outcome := "done"
	if err != nil {
		outcome = "failed"
	}
	eventPromotionEnded.Log(g.Logger, "verdict", decision, "took", time.Since(began), "outcome", outcome, "err", err)
	f.mu.Lock()
	defer f.mu.Unlock()
	pending := f.pending[g.Name]
	pending.running, pending.lastAttempt = false, time.Now()
	f.pending[g.Name] = pending
}

// replacePrimary promotes the best replica, unless another VM has already promoted a server. For
// a hand-over it first stops the old primary. oldPrimary is nil if no primary is known.
func (f *Failover) replacePrimary(ctx context.Context, g *Group, decision failover.Decision, oldPrimary *member) error {
	token, err := f.Promoter.AcquireToken(ctx, g.Name)
	if err != nil {
		return err
	}
	// The token may have been awaited.
	if primary, _ := g.currentPrimary(); primary != nil && primary != oldPrimary {
		return nil
	}
	statuses := g.queryStatuses(ctx, oldPrimary)
	if g.adoptNewerPrimary(statuses) {
		return nil
	}
	chosen, found := failover.PickReplica(failoverReplicas(statuses), g.countReplicas(oldPrimary)-g.unaskedReplicas(decision), g.syncReplicas())
	if !found {
		return ErrNoServer.New("service %s: %d replicas answered, too few to promote one", g.Name, len(statuses))
	}
	if !g.allowsPromotion(ServerID(chosen.Server)) {
		return ErrNoServer.New("service %s: server %s is in a zone that is being evacuated", g.Name, chosen.Server)
	}
	if decision == failover.HandOver {
		if chosen.Leaving {
			return ErrNoServer.New("service %s: every replica is leaving", g.Name)
		}
		if err := f.stopPrimary(ctx, g, oldPrimary, ServerID(chosen.Server), token); err != nil {
			return err
		}
	}
	if f.outstandingOrder(g.Name, ServerID(chosen.Server)) {
		f.Promoter.DiscardToken(g.Name)
		if token, err = f.Promoter.AcquireToken(ctx, g.Name); err != nil {
			return err
		}
	}
	eventPromote.Log(g.Logger, "server", chosen.Server, "token", token, "received", chosen.Received, "heard", len(statuses))
	return f.promoteAndAwait(ctx, g, ServerID(chosen.Server), token)
}

// promoteAndAwait promotes a server and waits until it acts as primary. An order without an answer may
// have been lost, or be carried out seconds later, while the group has no primary: it is repeated. The
// same order with the same token has no further effect, but where the platform doesn't check tokens each
// order could be carried out after another VM's, so there only one is sent.
func (f *Failover) promoteAndAwait(ctx context.Context, g *Group, id ServerID, token Token) error {
	for {
		err := f.promote(ctx, g, id, token)
		f.recordOrder(g.Name, id, err)
		if err == nil || isType(err, ErrOutcomeUnknown) && !f.PromotionFences {
			return g.awaitPromoted(ctx, id, promotionTimeout)
		}
		if !isType(err, ErrOutcomeUnknown) {
			return err
		}
		if g.awaitPromoted(ctx, id, orderRepeatInterval) == nil {
			return nil
		}
		if ctx.Err() != nil {
			return err
		}
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

// promote orders a promotion. It gives up the token if that is outdated.
func (f *Failover) promote(ctx context.Context, g *Group, id ServerID, token Token) error {
	err := f.Promoter.Promote(ctx, g.Name, id, token)
	if isType(err, ErrFenced) {
		f.Promoter.DiscardToken(g.Name)
	}
	return err
}

// replicaStatus is a replica's answer to a status query during a failover.
type replicaStatus struct {
	id ServerID
	// leaving is true if the platform lists the server as shutting down.
	leaving bool
	status  ServerStatus
}

// failoverReplicas converts statuses to the type that failover.PickReplica takes.
func failoverReplicas(statuses []replicaStatus) []failover.Replica {
	var list []failover.Replica
	for _, replica := range statuses {
		list = append(list, failover.Replica{
			Server: string(replica.id), Leaving: replica.leaving,
			Received: failover.LogEnd{Term: int64(replica.status.Received.Term), Offset: int64(replica.status.Received.Offset)},
		})
	}
	return list
}

// queryStatuses queries the status of all members except one, concurrently, and returns those
// that answered.
func (g *Group) queryStatuses(ctx context.Context, exclude *member) []replicaStatus {
	var mu sync.Mutex
	var statuses []replicaStatus
	var tasks sync.WaitGroup
	for _, m := range g.sortedMembers() {
		if m == exclude || !g.allows(m, placement.Control) {
			continue
		}
		tasks.Go(func() {
			s, err := g.runStatusCommand(ctx, m, QueryStatus{})
			if err != nil {
				eventRetry.Log(g.Logger, "server", m.pool.Server.ID, "err", err)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			statuses = append(statuses, replicaStatus{m.pool.Server.ID, g.isLeaving(m), s})
		})
	}
	tasks.Wait()
	return statuses
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
		conn, err := m.pool.AcquireAny(ctx, deadline)
		if err == nil {
			co := g.newCheckout(localExecutor{conn}, conn.Server, true)
			a, runErr := co.run(nil, c, deadline)
			co.release(runErr == nil && a.Phase == Idle)
			if runErr == nil && a.Succeeded() {
				return conn.Link.DecodeStatus(a)
			}
			err = runErr
			if err == nil {
				err = ErrBusy.New("server %s: %s %s", conn.Server, a.Failure, a.Detail)
			}
		}
		if time.Until(deadline) < statusPollInterval || !isType(err, ErrBusy) && !isType(err, ErrRefused) {
			return ServerStatus{}, err
		}
		clock.Sleep(ctx, statusPollInterval)
	}
}

// countReplicas returns the number of members other than the primary.
func (g *Group) countReplicas(primary *member) int {
	n := len(g.sortedMembers())
	if primary != nil {
		n--
	}
	return n
}

func (g *Group) syncReplicas() int {
	if c := g.VM.Configuration(); c != nil && c.Services[g.Name] != nil {
		return c.Services[g.Name].SyncReplicas
	}
	return 0
}

// adoptNewerPrimary sets the primary to a server that reports a newer term than the known one,
// and reports whether there was one. In that case another VM has already completed the
// failover.
func (g *Group) adoptNewerPrimary(statuses []replicaStatus) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, replica := range statuses {
		if replica.status.Primary && replica.status.Term > g.term {
			g.setPrimary(replica.id, replica.status.Term, "reports that it is the primary")
			return true
		}
	}
	return false
}

// stopPrimary demotes a primary and waits until a replica has received everything that it
// acknowledged. If the replica doesn't receive it in time, the old primary is promoted again.
func (f *Failover) stopPrimary(ctx context.Context, g *Group, primary *member, successor ServerID, token Token) error {
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
	eventPrimaryStopped.Log(g.Logger, "server", primary.pool.Server.ID, "term", status.Term, "received", stopped.Received)
	if err := g.awaitReceived(ctx, target, stopped.Received); err != nil {
		// The old primary has the complete log, so promoting it again loses nothing. An error
		// of that promotion is part of the result.
		return errorx.DecorateMany("handed back", err, f.promote(ctx, g, primary.pool.Server.ID, token))
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
