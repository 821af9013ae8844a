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

// Token is a fencing token: it rises with each change of who may promote in a group.
type Token int64

// Promotions is how primaries are replaced.
type Promotions interface {
	// Token makes this VM the one that may promote in a group, unless it is already.
	// ErrUnavailable, ErrOutcomeUnknown, ErrConflict: it isn't, or not known to be.
	Token(ctx context.Context, service ServiceName) (Token, error)
	// Forget makes the next Token take a new one, after an order was fenced off.
	Forget(service ServiceName)
	// Promote orders a server to lead the next term. ErrFenced: the token is too old or
	// the server doesn't run. ErrOutcomeUnknown: it may be carried out seconds later.
	Promote(ctx context.Context, service ServiceName, id ServerID, t Token) error
}

const (
	// decideEvery is how often verdicts are looked at.
	decideEvery = 100 * time.Millisecond
	// actWithin bounds one attempt at a failover.
	actWithin = 4 * time.Second
	// statusWithin bounds one question to a replica; a full queue answers at once.
	statusWithin = 300 * time.Millisecond
	// catchUpWithin bounds the wait for a replica to receive all of a primary that was
	// told to stop.
	catchUpWithin = 800 * time.Millisecond
	// leadWithin bounds the wait for a promoted server to act as primary.
	leadWithin = 2 * time.Second
	// settlePause is between two looks at a server that is to change.
	settlePause = 20 * time.Millisecond
	// againAfter is the least time between two attempts of one VM in a group.
	againAfter = 1500 * time.Millisecond
	// unknownFor is how long a lead must be unknown before its place is filled: VMs that
	// start need that long to find it.
	unknownFor = 1200 * time.Millisecond
)

// Failover replaces primaries that fail or leave. The exported fields are set before Run.
type Failover struct {
	VM         *VM
	Fleet      *heartbeat.Fleet
	Promotions Promotions
	// Fenced platforms depose a primary by promoting another. Where they don't, VMs use a
	// primary only while it is endorsed.
	Fenced bool
	Logger log.Logger

	mu sync.Mutex
	// standing has since when a group's verdict has stood.
	standing map[ServiceName]standing
	tasks    sync.WaitGroup

	endorseMu    sync.Mutex
	endorsements map[ServiceName]endorsement
}

type standing struct {
	verdict failover.Verdict
	lead    ServerID
	since   time.Time
	// acting is true while this VM acts; tried is when it last did.
	acting bool
	tried  time.Time
}

// Run decides until ctx ends.
func (f *Failover) Run(ctx context.Context) error {
	f.standing = map[ServiceName]standing{}
	tick := time.NewTicker(decideEvery)
	defer tick.Stop()
	defer f.tasks.Wait()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		peers := f.Fleet.Peers()
		for _, g := range f.VM.Groups() {
			f.decide(ctx, g, peers)
		}
	}
}

// decide acts on the group's verdict when this VM's turn has come.
func (f *Failover) decide(ctx context.Context, g *Group, peers []heartbeat.Peer) {
	proves, provers := f.Fleet.Among("prove/"+string(g.Name), Provers)
	if !proves {
		return
	}
	view := g.view(peers, proves, provers)
	view.Fence = f.fence()
	verdict, wait := view.Verdict(), view.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.standing[g.Name]
	if s.verdict != verdict || s.lead != ServerID(view.Own.Primary) {
		s = standing{verdict: verdict, lead: ServerID(view.Own.Primary), since: time.Now(), acting: s.acting, tried: s.tried}
		if verdict != failover.Keep {
			eventVerdict.Log(g.Logger, "verdict", verdict, "server", s.lead, "others", len(view.Others), "wait", wait)
		}
	}
	due := verdict != failover.Keep && !s.acting && time.Since(s.since) >= wait && time.Since(s.tried) > againAfter && f.Fleet.Settled()
	if due {
		s.acting, s.tried = true, time.Now()
		f.tasks.Go(func() { f.act(ctx, g, verdict) })
	}
	f.standing[g.Name] = s
}

func (f *Failover) act(ctx context.Context, g *Group, verdict failover.Verdict) {
	ctx, cancel := context.WithTimeout(ctx, actWithin)
	defer cancel()
	began := time.Now()
	before, _ := g.leader()
	err := f.replace(ctx, g, verdict, before)
	outcome := "done"
	if err != nil {
		outcome = "failed"
	}
	eventPromotion.Log(g.Logger, "verdict", verdict, "took", time.Since(began), "outcome", outcome, "err", err)
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.standing[g.Name]
	s.acting, s.tried = false, time.Now()
	f.standing[g.Name] = s
}

// replace promotes the best replica; before is the lead, nil if none is known.
func (f *Failover) replace(ctx context.Context, g *Group, verdict failover.Verdict, before *member) error {
	token, err := f.Promotions.Token(ctx, g.Name)
	if err != nil {
		return err
	}
	heard := g.ask(ctx, before)
	if g.succeededBy(heard) {
		return nil
	}
	pick, found := failover.Pick(replicas(heard), g.followers(before), g.sync())
	if !found {
		return ErrNoServer.New("service %s: %d replicas answered, too few to promote one", g.Name, len(heard))
	}
	if verdict == failover.HandOver {
		if pick.Leaving {
			return ErrNoServer.New("service %s: every replica is leaving", g.Name)
		}
		if err := f.stopPrimary(ctx, g, before, ServerID(pick.Server), token); err != nil {
			return err
		}
	}
	eventPromote.Log(g.Logger, "server", pick.Server, "token", token, "received", pick.Received, "heard", len(heard))
	err = f.Promotions.Promote(ctx, g.Name, ServerID(pick.Server), token)
	if isType(err, ErrFenced) {
		f.Promotions.Forget(g.Name)
		return err
	}
	if err != nil && !isType(err, ErrOutcomeUnknown) {
		return err
	}
	return g.awaitPromoted(ctx, ServerID(pick.Server))
}

// heardReplica is a replica's answer when a primary is sought.
type heardReplica struct {
	id ServerID
	// leaving replicas have said that they end.
	leaving bool
	status  ServerStatus
}

func replicas(heard []heardReplica) []failover.Replica {
	var list []failover.Replica
	for _, h := range heard {
		list = append(list, failover.Replica{
			Server: string(h.id), Leaving: h.leaving,
			Received: failover.Place{Term: int64(h.status.Received.Term), Offset: int64(h.status.Received.Offset)},
		})
	}
	return list
}

// ask asks all members but one for their status, at once.
func (g *Group) ask(ctx context.Context, not *member) []heardReplica {
	var mu sync.Mutex
	var heard []heardReplica
	var tasks sync.WaitGroup
	for _, m := range g.list() {
		if m == not {
			continue
		}
		tasks.Go(func() {
			s, err := g.command(ctx, m, AskStatus{})
			if err != nil {
				eventRetry.Log(g.Logger, "server", m.pool.Server.ID, "err", err)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			heard = append(heard, heardReplica{m.pool.Server.ID, g.leaving(m), s})
		})
	}
	tasks.Wait()
	return heard
}

func (g *Group) leaving(m *member) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return m.server.Leaving
}

// command runs one command whose answer is a status; busy servers are asked again.
func (g *Group) command(ctx context.Context, m *member, c Command) (ServerStatus, error) {
	until := time.Now().Add(statusWithin)
	for {
		conn, err := m.pool.TakeAny(ctx, until)
		if err == nil {
			l := g.lease(local{conn}, conn.Server, true)
			a, failed := l.run(nil, c, until)
			l.give(failed == nil && a.Phase == Idle)
			if failed == nil && a.Succeeded() {
				return conn.Link.Status(a)
			}
			err = failed
			if err == nil {
				err = ErrBusy.New("server %s: %s %s", conn.Server, a.Failure, a.Detail)
			}
		}
		if time.Until(until) < settlePause || !isType(err, ErrBusy) && !isType(err, ErrRefused) {
			return ServerStatus{}, err
		}
		clock.Sleep(ctx, settlePause)
	}
}

// followers counts the members but the lead.
func (g *Group) followers(lead *member) int {
	n := len(g.list())
	if lead != nil {
		n--
	}
	return n
}

func (g *Group) sync() int {
	if c := g.VM.Configuration(); c != nil && c.Services[g.Name] != nil {
		return c.Services[g.Name].SyncReplicas
	}
	return 0
}

// succeededBy believes a server that leads a newer term than is known here: another VM
// was quicker.
func (g *Group) succeededBy(heard []heardReplica) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, h := range heard {
		if h.status.Primary && h.status.Term > g.term {
			g.believe(h.id, h.status.Term, "says that it leads")
			return true
		}
	}
	return false
}

// stopPrimary has a primary take no more writes and waits until a replica has received
// all that it acknowledged. If the replica doesn't, the primary leads again.
func (f *Failover) stopPrimary(ctx context.Context, g *Group, lead *member, to ServerID, token Token) error {
	g.mu.Lock()
	target := g.members[to]
	g.mu.Unlock()
	if target == nil || lead == nil {
		return ErrNoServer.New("service %s: the servers changed", g.Name)
	}
	now, err := g.command(ctx, lead, AskStatus{})
	if err != nil {
		return err
	}
	if !now.Primary {
		return ErrNoServer.New("server %s doesn't lead any more", lead.pool.Server.ID)
	}
	if err := g.awaitReceived(ctx, target, now.Received); err != nil {
		return err
	}
	stopped, err := g.command(ctx, lead, Demote{Term: now.Term + 1})
	if err != nil {
		return err
	}
	eventStopped.Log(g.Logger, "server", lead.pool.Server.ID, "term", now.Term, "received", stopped.Received)
	if err := g.awaitReceived(ctx, target, stopped.Received); err != nil {
		// Whoever promotes it anew loses nothing; an error of that is the outcome.
		return errorx.DecorateMany("handed back", err, f.Promotions.Promote(ctx, g.Name, lead.pool.Server.ID, token))
	}
	return nil
}

// awaitReceived waits until a server has received a position.
func (g *Group) awaitReceived(ctx context.Context, m *member, p position.Position) error {
	until := time.Now().Add(catchUpWithin)
	for time.Now().Before(until) {
		s, err := g.command(ctx, m, AskStatus{})
		if err == nil && s.Received.Compare(p) >= 0 {
			return nil
		}
		clock.Sleep(ctx, settlePause)
	}
	return ErrSilent.New("server %s hasn't received position %s", m.pool.Server.ID, p)
}

// awaitPromoted waits until a server acts as primary.
func (g *Group) awaitPromoted(ctx context.Context, id ServerID) error {
	until := time.Now().Add(leadWithin)
	for time.Now().Before(until) && ctx.Err() == nil {
		g.mu.Lock()
		m := g.members[id]
		g.mu.Unlock()
		if m == nil {
			break
		}
		g.proveAt(ctx, m)
		if lead, _ := g.leader(); lead == m {
			return nil
		}
		clock.Sleep(ctx, settlePause)
	}
	return ErrSilent.New("server %s doesn't act as primary yet", id)
}
