package proxy

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/savoryramp/savoryramp/internal/clock"
	"github.com/savoryramp/savoryramp/pkg/failover"
	"github.com/savoryramp/savoryramp/pkg/placement"
	"github.com/savoryramp/savoryramp/pkg/position"
)

const (
	// rosterCheckInterval is the time between two checks of a group's roster by the first verifier in rank, while there
	// is something to record or to find out. Each further one waits twice as much longer.
	rosterCheckInterval = time.Second
	// goneTime is how long a server must be missing in lists that are up to date before it counts as gone. Servers are
	// listed again within two seconds of the end of an outage of the store, which isn't noticed if it is shorter than
	// maxListAge.
	goneTime = 8 * time.Second
	// maxListAge is the age at which a list of servers is no longer up to date. It is longer than the time between two
	// answers of the store if nothing changes.
	maxListAge = 4 * time.Second
)

// RecordedRoster is the roster of a group that is recorded outside the VMs.
type RecordedRoster struct {
	failover.Roster
	// Version changes with each write. It is zero if no roster is recorded.
	Version int64
}

// rosterMemory is what a VM knows of the servers that may hold confirmed commits. The group's mu guards it.
type rosterMemory struct {
	// known has the servers that this VM has seen listed or recorded, until they are forgotten.
	known failover.Roster
	// recorded is the record as this VM last read or wrote it. A server of it that a newer record lacks was forgotten by
	// another VM.
	recorded RecordedRoster
	// isRead is true once the record was read.
	isRead bool
	// missingSince has since when a server has been missing in lists that are up to date.
	missingSince map[string]clock.Instant
	// raisedAt is when commits began to be confirmed by more replicas than known says, zero if they aren't.
	raisedAt clock.Instant
}

// listedServers returns the servers that the platform lists; g.mu is held.
func (g *Group) listedServers() failover.Listed {
	list := failover.Listed{}
	for id, m := range g.members {
		list[string(id)] = failover.RosterServer{Address: string(m.server.Address), Zone: string(m.server.Zone), Leaving: m.server.Leaving}
	}
	return list
}

// currentRoster returns the servers that may hold confirmed commits; g.mu is held.
func (g *Group) currentRoster() failover.Roster {
	if g.syncReplicas() == 0 {
		return failover.Roster{}.With(g.listedServers(), 0)
	}
	return g.roster.known.With(g.listedServers(), g.syncReplicas()).WithoutReplaced(g.listedServers())
}

// rememberListed keeps the listed servers in memory. Without confirmed commits there is nothing to remember. g.mu is
// held.
func (g *Group) rememberListed() {
	if g.syncReplicas() == 0 {
		g.roster = rosterMemory{}
		return
	}
	g.roster.known = g.roster.known.With(g.listedServers(), g.syncReplicas())
}

// confirmation returns how many servers of the group may hold confirmed commits, and by how many replicas each such
// commit was confirmed at least.
func (g *Group) confirmation() (servers, syncReplicas int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.currentRoster()
	return len(r.Servers), min(r.SyncReplicas, g.syncReplicas())
}

// unlistedServers returns the servers that may hold confirmed commits although they aren't listed.
func (g *Group) unlistedServers() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.currentRoster().Unlisted(g.listedServers())
}

// mergeRecord adds a recorded roster to the memory, and drops the servers that another VM has forgotten.
func (g *Group) mergeRecord(r RecordedRoster) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rememberListed()
	if g.syncReplicas() == 0 {
		// The configuration has changed since the record was asked for.
		return
	}
	m := &g.roster
	// A store that was restored from a copy has an older record, which shows nothing of what was forgotten.
	isOlder := r.Version < m.recorded.Version
	maps.DeleteFunc(m.known.Servers, func(id string, _ failover.RosterServer) bool {
		_, wasRecorded := m.recorded.Servers[id]
		_, isRecorded := r.Servers[id]
		return !isOlder && wasRecorded && !isRecorded && g.members[ServerID(id)] == nil
	})
	for id, s := range r.Servers {
		if g.members[ServerID(id)] == nil {
			s.Leaving = s.Leaving || m.known.Servers[id].Leaving
			m.known.Servers[id] = s
		}
	}
	if r.SyncReplicas > 0 && !isOlder {
		m.known.SyncReplicas = r.SyncReplicas
	}
	m.recorded, m.isRead = r, true
	g.rememberListed()
}

// noteRecorded takes over a roster that was recorded. known has the servers that this VM knew of before: those that the
// roster lacks are forgotten.
func (g *Group) noteRecorded(known map[string]failover.RosterServer, now RecordedRoster) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := &g.roster
	maps.DeleteFunc(m.known.Servers, func(id string, _ failover.RosterServer) bool {
		_, wasKnown := known[id]
		_, isKept := now.Servers[id]
		return wasKnown && !isKept
	})
	if now.SyncReplicas != m.known.SyncReplicas {
		m.raisedAt = 0
	}
	m.recorded, m.known.SyncReplicas = now, now.SyncReplicas
	g.rememberListed()
}

// knowsRoster reports whether the memory includes the record.
func (g *Group) knowsRoster() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.roster.isRead
}

// updateMissing records since when servers are missing, and reports whether the roster has to be checked: it wasn't read
// yet, differs from the record, or has servers that aren't listed.
func (g *Group) updateMissing(listAge time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	m, now := &g.roster, clock.Now()
	current := g.currentRoster()
	if listAge > maxListAge {
		m.missingSince = nil
	}
	missing := map[string]clock.Instant{}
	for _, id := range current.Unlisted(g.listedServers()) {
		missing[id] = now
		if since, found := m.missingSince[id]; found {
			missing[id] = since
		}
	}
	m.missingSince = missing
	switch configured := g.syncReplicas(); {
	case configured <= current.SyncReplicas:
		m.raisedAt = 0
	case m.raisedAt == 0:
		m.raisedAt = now
	}
	return !m.isRead || len(missing) > 0 || m.raisedAt != 0 || !current.Equal(m.recorded.Roster)
}

// goneServers returns the servers that have been missing for long enough to count as gone, and whether commits have been
// confirmed by more replicas than before for as long.
func (g *Group) goneServers() (gone []string, isRaised bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for id, since := range g.roster.missingSince {
		if clock.Since(since) >= goneTime {
			gone = append(gone, id)
		}
	}
	slices.Sort(gone)
	return gone, g.roster.raisedAt != 0 && clock.Since(g.roster.raisedAt) >= goneTime
}

// rosterWatch is the progress of this VM's checks of a group's roster.
type rosterWatch struct {
	checkedAt clock.Instant
	isRunning bool
}

// watchRoster starts a check of a group's roster when that is due. f.mu is held.
func (f *Failover) watchRoster(ctx context.Context, g *Group, view failover.View) {
	if g.syncReplicas() == 0 || view.WasPaused() {
		return
	}
	if f.rosters == nil {
		f.rosters = map[ServiceName]*rosterWatch{}
	}
	w := f.rosters[g.Name]
	if w == nil {
		w = &rosterWatch{}
		f.rosters[g.Name] = w
	}
	isDue := g.updateMissing(f.VM.serverListAge())
	interval := rosterCheckInterval * time.Duration(1+2*view.Rank())
	if !isDue || w.isRunning || w.checkedAt != 0 && clock.Since(w.checkedAt) < interval {
		return
	}
	w.isRunning, w.checkedAt = true, clock.Now()
	f.attempts.Go(func() {
		f.checkRoster(ctx, g)
		f.mu.Lock()
		defer f.mu.Unlock()
		w.isRunning = false
	})
}

// readRoster brings the memory of a group's roster up to date with the record.
func (f *Failover) readRoster(ctx context.Context, g *Group) (RecordedRoster, error) {
	recorded, err := f.Promoter.ReadRoster(ctx, g.Name)
	if err != nil {
		return RecordedRoster{}, err
	}
	g.mergeRecord(recorded)
	return recorded, nil
}

// checkRoster records the servers that may hold confirmed commits, and forgets those that are gone once the others have
// all that these could have confirmed.
func (f *Failover) checkRoster(ctx context.Context, g *Group) {
	ctx, cancel := context.WithTimeout(ctx, failoverTimeout)
	defer cancel()
	recorded, err := f.readRoster(ctx, g)
	if err != nil {
		eventRoster.Log(g.Logger, "outcome", "unread", "err", err)
		return
	}
	g.mu.Lock()
	known, current := maps.Clone(g.roster.known.Servers), g.currentRoster()
	g.mu.Unlock()
	next := current
	if gone, isRaised := g.goneServers(); len(gone) > 0 || isRaised {
		next, err = f.reduceRoster(ctx, g, current, gone, isRaised)
		if err != nil {
			eventRoster.Log(g.Logger, "outcome", "kept", "unlisted", fmt.Sprint(gone), "err", err)
		}
	}
	if next.Equal(recorded.Roster) {
		g.noteRecorded(known, recorded)
		return
	}
	err = f.Promoter.WriteRoster(ctx, g.Name, RecordedRoster{next, recorded.Version})
	outcome := "recorded"
	if err != nil {
		outcome = "unrecorded"
	}
	eventRoster.Log(g.Logger, "outcome", outcome, "servers", fmt.Sprint(slices.Sorted(maps.Keys(next.Servers))), "before", fmt.Sprint(slices.Sorted(maps.Keys(recorded.Servers))),
		"sync-replicas", next.SyncReplicas, "sync-replicas-before", recorded.SyncReplicas, "err", err)
	if err == nil {
		// The write's own version isn't known, but is greater than the one before.
		g.noteRecorded(known, RecordedRoster{next, recorded.Version + 1})
	}
}

// reduceRoster returns a roster without the servers that are gone, if the others have all that those could have
// confirmed: as many replicas as confirm a commit have received what the primary had after that. isRaised is true if
// commits have been confirmed by more replicas than the roster says for long enough that none of before is under way.
func (f *Failover) reduceRoster(ctx context.Context, g *Group, r failover.Roster, gone []string, isRaised bool) (failover.Roster, error) {
	primary, _ := g.currentPrimary()
	if primary == nil {
		return r, ErrNoServer.New("service %s has no primary", g.Name)
	}
	dead := slices.DeleteFunc(slices.Clone(gone), func(id string) bool { return g.answers(ctx, ServerID(id), r.Servers[id]) })
	a := attempt{group: g, oldPrimary: primary}
	s, err := a.actingPrimary(ctx)
	if err != nil {
		return r, err
	}
	configured := g.syncReplicas()
	if !isRaised {
		configured = min(configured, r.SyncReplicas)
	}
	replicas := a.countCovered(ctx, s.Received)
	again, err := a.actingPrimary(ctx)
	if err != nil {
		return r, err
	}
	if again.Term != s.Term {
		return r, ErrAbandoned.New("service %s: term %d has begun, the primary was that of term %d", g.Name, again.Term, s.Term)
	}
	next := r.Reduce(dead, replicas, configured)
	if next.Equal(r) {
		return r, ErrNotPromotable.New("service %s: %d replicas have received position %s, %d are needed; %d of %d unlisted servers answer", g.Name, replicas, s.Received, r.SyncReplicas, len(gone)-len(dead), len(gone))
	}
	return next, nil
}

// countCovered returns how many replicas have received a position, or do so within catchUpTimeout.
func (a attempt) countCovered(ctx context.Context, p position.Position) int {
	var covered atomic.Int64
	var tasks sync.WaitGroup
	for _, m := range a.replicas() {
		tasks.Go(func() {
			if a.group.awaitReceived(ctx, m, p) == nil {
				covered.Add(1)
			}
		})
	}
	tasks.Wait()
	return int(covered.Load())
}

// answers reports whether a server that isn't listed runs all the same, so that it may confirm commits. Servers in
// zones that are being evacuated aren't asked.
func (g *Group) answers(ctx context.Context, id ServerID, s failover.RosterServer) bool {
	server := Server{ID: id, Service: g.Name, Address: Address(s.Address), Zone: AvailabilityZone(s.Zone)}
	if !g.allows(&member{server: server}, placement.Control) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	link, _, err := g.VM.Connect(ctx, server, anonymousWorkspace.Name)
	if err == nil {
		link.Close()
	}
	return err == nil || isType(err, ErrRefused)
}
