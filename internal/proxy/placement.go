package proxy

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/savoryramp/savoryramp/internal/clock"
	"github.com/savoryramp/savoryramp/pkg/failover"
	"github.com/savoryramp/savoryramp/pkg/placement"
)

// Placement has the zones that are being evacuated. Its exported fields are set before the VM runs.
type Placement struct {
	Rule placement.Evacuation
	// AwaitCurrent returns once the zones are known as they are now, and false if that takes longer
	// than until. It only waits after the VM was paused.
	AwaitCurrent func(until time.Time) bool
	// Warmup limits what cold servers get. Sender returns the address of the VM that sends to a cold
	// server, and whether that is this VM. If Sender is nil, nothing is limited.
	Warmup placement.Warmup
	Sender func(Server) (address Address, isSelf bool)
	// DoubtsList reports whether the VM was paused after the platform returned the list of servers, so
	// that any of them may be cold by now. It may be nil.
	DoubtsList func() bool
	// RegionOf returns the region of a zone, empty if it isn't known, and Regions has all that are known.
	// If RegionOf is nil, allowed regions don't count.
	RegionOf func(AvailabilityZone) placement.Region
	Regions  map[placement.Region]bool

	mu sync.Mutex
	// known is true once the zones are known; since has when the evacuation of each began.
	known bool
	since map[AvailabilityZone]clock.Instant
	// empty has the zones to whose servers this VM has no connection any more, and of which it has
	// logged that.
	empty map[AvailabilityZone]bool
}

// elapsed returns how long a zone has been evacuated, and false if it isn't.
func (p *Placement) elapsed(zone AvailabilityZone) (time.Duration, bool) {
	if p == nil {
		return 0, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	at, found := p.since[zone]
	if !found {
		return 0, false
	}
	return clock.Since(at), true
}

// isKnown reports whether the zones that are being evacuated are known.
func (p *Placement) isKnown() bool {
	if p == nil {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.known
}

// isEvacuating reports whether any zone is being evacuated.
func (p *Placement) isEvacuating() bool {
	if p == nil {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.since) > 0
}

// SetEvacuated replaces the zones that are being evacuated, with the time since when. Placement must
// be set.
func (v *VM) SetEvacuated(since map[AvailabilityZone]clock.Instant) {
	p := v.Placement
	p.mu.Lock()
	before := p.since
	p.known, p.since = true, since
	if p.empty == nil {
		p.empty = map[AvailabilityZone]bool{}
	}
	for zone := range before {
		if _, found := since[zone]; !found {
			delete(p.empty, zone)
			eventEvacuationCancelled.Log(v.Logger, "zone", zone)
		}
	}
	p.mu.Unlock()
	for _, zone := range slices.Sorted(maps.Keys(since)) {
		if _, found := before[zone]; found {
			continue
		}
		left := p.Rule.Grace() - clock.Since(since[zone])
		eventEvacuationBegun.Log(v.Logger, "zone", zone, "servers", v.countServers(zone), "grace", left)
		if left > 0 {
			time.AfterFunc(left, v.applyEvacuation)
		}
	}
	v.applyEvacuation()
}

// countServers returns the number of listed servers in a zone, and logs it if there are none.
func (v *VM) countServers(zone AvailabilityZone) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	n := 0
	for _, s := range v.servers {
		if s.Zone == zone {
			n++
		}
	}
	if n == 0 && v.serversListed {
		eventEvacuationUnknown.Log(v.Logger, "zone", zone)
	}
	return n
}

// applyEvacuation puts the pools of all groups into the states that the evacuated zones ask for.
func (v *VM) applyEvacuation() {
	for _, g := range v.Groups() {
		g.applyEvacuation()
	}
}

// placed returns what decisions on a server depend on. g.mu must be held.
func (g *Group) placed(s Server) placement.Server {
	elapsed, evacuated := g.VM.Placement.elapsed(s.Zone)
	placed := placement.Server{Evacuated: evacuated, Elapsed: elapsed, Primary: s.ID == g.primary, Alone: evacuated}
	if !evacuated {
		return placed
	}
	for _, m := range g.members {
		if _, also := g.VM.Placement.elapsed(m.server.Zone); !also {
			placed.Alone = false
		}
	}
	return placed
}

// allows reports whether a server may be used now.
func (g *Group) allows(m *member, u placement.Use) bool {
	if g.VM.Placement == nil {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.VM.Placement.Rule.Allows(g.placed(m.server), u)
}

// isEvacuated reports whether a server's zone is being evacuated. g.mu must be held.
func (g *Group) isEvacuated(m *member) bool {
	_, evacuated := g.VM.Placement.elapsed(m.server.Zone)
	return evacuated
}

// isOutOfUse reports whether an error of a server only says that its zone is being evacuated. g.mu
// must be held.
func (g *Group) isOutOfUse(id ServerID, err error) bool {
	m := g.members[id]
	return m != nil && isType(err, ErrNoServer) && g.isEvacuated(m)
}

// allowsPromotion reports whether a server may be chosen for promotion.
func (g *Group) allowsPromotion(id ServerID) bool {
	g.mu.Lock()
	m := g.members[id]
	g.mu.Unlock()
	return m != nil && g.allows(m, placement.Promote)
}

// handsOver reports whether the primary has to be handed over because its zone is being evacuated.
// g.mu must be held.
func (g *Group) handsOver() bool {
	m := g.members[g.primary]
	return m != nil && g.VM.Placement != nil && g.VM.Placement.Rule.HandsOver(g.placed(m.server))
}

const (
	// evacuationStaggerPart is the part of the usual delay between VMs that hand over a primary. All
	// VMs know of an evacuation within a second, and its grace has room for two more attempts.
	evacuationStaggerPart = 0.4
	// searchInterval is how often a VM looks for the primary among the servers that it may use, while
	// the one that it knows is in a zone whose grace has ended.
	searchInterval = time.Second
)

// handOverWait shortens the delay of a decision while the primary's zone is being evacuated.
func (g *Group) handOverWait(decision failover.Decision, wait time.Duration) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if decision != failover.HandOver || !g.handsOver() {
		return wait
	}
	return time.Duration(evacuationStaggerPart * float64(wait))
}

// evacuationRefusal returns an answer for a request that can't be served because of an evacuation,
// and false if it may be served. lead is true for a request that needs the primary.
func (g *Group) evacuationRefusal(lead bool) (Answer, bool) {
	if !g.VM.Placement.isEvacuating() {
		return okAnswer, false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	rule := g.VM.Placement.Rule
	var servers []placement.Server
	for _, m := range g.members {
		servers = append(servers, g.placed(m.server))
	}
	for _, s := range servers {
		if !s.Alone && (!lead || !s.Primary || rule.Allows(s, placement.Lead)) {
			continue
		}
		return Answer{Failure: Busy, Detail: retryAfterText(rule.RetryAfter(s)) + " the servers of service " + string(g.Name) + " that can run the request are in a zone that is being evacuated"}, true
	}
	return okAnswer, false
}

// applyEvacuation puts the pools of the group into the states that the evacuated zones ask for. A
// pool that was shut is replaced when its zone is in use again.
func (g *Group) applyEvacuation() {
	if g.VM.Placement == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	rule := g.VM.Placement.Rule
	for id, m := range g.members {
		s := g.placed(m.server)
		state := poolShut
		switch {
		case !s.Evacuated:
			state = poolOpen
		case rule.Allows(s, placement.Lead):
			state = poolExisting
		case !rule.IsClosed(s):
			state = poolTransactions
		}
		if !m.pool.setState(state, rule.RetryAfter(s)) {
			m = &member{server: m.server, latencyFactor: 1, pool: g.newPool(m.server)}
			m.pool.setState(state, rule.RetryAfter(s))
			g.members[id] = m
		}
	}
}

// searchElsewhere looks for the primary among the servers outside of evacuated zones.
func (g *Group) searchElsewhere(ctx context.Context) {
	g.mu.Lock()
	due := clock.Since(g.lastSearch) >= searchInterval
	if due {
		g.lastSearch = clock.Now()
	}
	g.mu.Unlock()
	if !due {
		return
	}
	for _, m := range g.sortedMembers() {
		g.verifyServer(ctx, m)
	}
}

// EvacuationState is the progress of the evacuation of a zone on this VM.
type EvacuationState struct {
	Zone AvailabilityZone `json:"availability-zone"`
	// ElapsedMs is the time since the evacuation began, as far as this VM knows, GraceMs that until
	// it closes its connections, in milliseconds.
	ElapsedMs int64 `json:"elapsed-ms"`
	GraceMs   int64 `json:"grace-ms"`
	// Connections counts this VM's connections to the zone's servers, Statements those in use and the
	// requests that wait for one.
	Connections int `json:"connections"`
	Statements  int `json:"statements"`
}

// evacuations returns the progress of the evacuations on this VM.
func (v *VM) evacuations() []EvacuationState {
	p := v.Placement
	if p == nil {
		return nil
	}
	states := map[AvailabilityZone]*EvacuationState{}
	p.mu.Lock()
	for zone, at := range p.since {
		elapsed := clock.Since(at)
		states[zone] = &EvacuationState{Zone: zone, ElapsedMs: elapsed.Milliseconds(), GraceMs: max(p.Rule.Grace()-elapsed, 0).Milliseconds()}
	}
	p.mu.Unlock()
	for _, g := range v.Groups() {
		for _, m := range g.sortedMembers() {
			if s := states[m.pool.Server.Zone]; s != nil {
				connections, statements := m.pool.use()
				s.Connections, s.Statements = s.Connections+connections, s.Statements+statements
			}
		}
	}
	var list []EvacuationState
	for _, zone := range slices.Sorted(maps.Keys(states)) {
		list = append(list, *states[zone])
	}
	return list
}

// logEmptyZones logs once of each evacuated zone that this VM has no connection to its servers.
func (v *VM) logEmptyZones() {
	for _, s := range v.evacuations() {
		p := v.Placement
		p.mu.Lock()
		logged := p.empty[s.Zone]
		if !logged && s.Connections+s.Statements == 0 {
			p.empty[s.Zone] = true
			eventEvacuationEmpty.Log(v.Logger, "zone", s.Zone, "elapsed-ms", s.ElapsedMs)
		}
		p.mu.Unlock()
	}
}
