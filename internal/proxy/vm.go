package proxy

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/joomcode/errorx"

	"github.com/savoryramp/savoryramp/pkg/position"
	"github.com/savoryramp/savoryramp/pkg/quota"
)

// Fleet is the VMs that run now, as this one hears of them.
type Fleet interface {
	// Size counts the VMs, this one included; Rank is its place among them, from 0.
	Size() int
	Rank() int
	// Settled tells whether the VM has had the time to hear the others.
	Settled() bool
	// Proves tells whether the VM is one of those that watch a group's primary.
	Verifies(ServiceName) bool
}

// VM serves callers. The exported fields are set before Run.
type VM struct {
	Name    VMName
	Zone    AvailabilityZone
	Connect Connect
	Fleet   Fleet
	Quota   *quota.Limiter
	Logger  log.Logger
	// Relay reaches servers over other VMs' connections; nil where there are enough.
	Relay Relay
	// Isolated tells since when the VM can have heard of a withdrawn key neither from the
	// platform nor from another VM; zero while it can. Nil where that isn't known.
	IsolatedFor func() time.Duration
	// Endorsed tells whether a group's primary may be used; nil where a promotion itself
	// deposes the primary before.
	HasQuorum func(ServiceName) bool

	configuration atomic.Pointer[Configuration]
	draining      atomic.Bool
	// cutting is true once open transactions must end, too.
	cancelTransactions atomic.Bool
	// guests counts the connections that other VMs use.
	remoteSessions atomic.Int64
	openSessions   atomic.Int64
	metrics        instruments
	outages        outageEstimator

	shareMu    sync.Mutex
	shareCache map[ServerID]cachedShare

	mu       sync.Mutex
	sessions map[*Session]bool
	groups   map[ServiceName]*Group
	servers  []Server
	// listed is true once the platform's list of servers has been read.
	serversListed    bool
	typicalLatencies map[DatabaseName]time.Duration
	ctx              context.Context
	tasks            sync.WaitGroup
}

// Run keeps the groups until ctx ends.
func (v *VM) Run(ctx context.Context) error {
	v.mu.Lock()
	v.init()
	v.ctx = ctx
	for _, g := range v.groups {
		v.startMaintenance(g)
	}
	v.mu.Unlock()
	<-ctx.Done()
	v.mu.Lock()
	sessions := make([]*Session, 0, len(v.sessions))
	for s := range v.sessions {
		sessions = append(sessions, s)
	}
	v.mu.Unlock()
	for _, s := range sessions {
		s.caller.Close()
	}
	v.tasks.Wait()
	return nil
}

func (v *VM) init() {
	if v.sessions == nil {
		v.sessions, v.groups, v.typicalLatencies = map[*Session]bool{}, map[ServiceName]*Group{}, map[DatabaseName]time.Duration{}
	}
}

// keep starts the upkeep of a group; v.mu is held.
func (v *VM) startMaintenance(g *Group) {
	ctx := v.ctx
	v.tasks.Go(func() { g.maintain(ctx) })
}

// Serve runs one caller's connection to its end.
func (v *VM) Serve(ctx context.Context, c Caller) {
	v.openSessions.Add(1)
	defer v.openSessions.Add(-1)
	s := &Session{vm: v, caller: c, profile: newProfile(), floors: map[ServiceName]position.Position{}}
	s.run(ctx)
}

// Configuration is the one in force, nil before the first.
func (v *VM) Configuration() *Configuration { return v.configuration.Load() }

// Configure puts a configuration into force unless a newer one is.
func (v *VM) Configure(c *Configuration, source string) {
	for {
		before := v.configuration.Load()
		if before != nil && before.Version >= c.Version {
			return
		}
		if v.configuration.CompareAndSwap(before, c) {
			break
		}
	}
	eventConfiguration.Log(v.Logger, "version", c.Version, "routes", len(c.Routes), "keys", len(c.Keys), "source", source)
	v.mu.Lock()
	v.init()
	for name := range c.Services {
		if v.groups[name] == nil {
			g := newGroup(v, name)
			v.groups[name] = g
			g.setServers(serversOf(v.servers, name))
			if v.ctx != nil {
				v.startMaintenance(g)
			}
		}
	}
	v.mu.Unlock()
	v.interruptIdleSessions()
}

// List takes the servers that the platform lists.
func (v *VM) SetServers(servers []Server) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.init()
	v.servers, v.serversListed = servers, true
	for name, g := range v.groups {
		g.setServers(serversOf(servers, name))
	}
}

func serversOf(servers []Server, name ServiceName) []Server {
	var list []Server
	for _, s := range servers {
		if s.Service == name {
			list = append(list, s)
		}
	}
	return list
}

func (v *VM) group(name ServiceName) *Group {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.groups[name]
}

// Groups lists the groups.
func (v *VM) Groups() []*Group {
	v.mu.Lock()
	defer v.mu.Unlock()
	list := make([]*Group, 0, len(v.groups))
	for _, g := range v.groups {
		list = append(list, g)
	}
	return list
}

// Ready tells whether the VM can serve callers.
func (v *VM) IsReady() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.configuration.Load() != nil && v.serversListed && v.Fleet.Settled() && !v.draining.Load() && !v.isIsolated()
}

// isolatedFor is how long a VM serves that can't learn of withdrawn keys: as long as the
// operators' bound for a configuration stretches while the platform is in trouble.
const maxIsolation = 15 * time.Second

// isolated tells whether the VM may not rely on its configuration any more.
func (v *VM) isIsolated() bool { return v.IsolatedFor != nil && v.IsolatedFor() > maxIsolation }

// Draining tells whether the VM is about to end.
func (v *VM) IsDraining() bool { return v.draining.Load() }

const (
	// drainTick is how often a drain looks for sessions that have come to rest.
	drainPollInterval = 25 * time.Millisecond
)

// BeginDrain has the VM no longer be ready, so that no new callers are sent to it.
func (v *VM) BeginDrain() { v.draining.Store(true) }

// Drain ends sessions between operations, and returns when none is left. Transactions
// may go on until cut; ctx bounds it all.
func (v *VM) Drain(ctx context.Context, transactionGrace time.Duration) {
	eventDrain.Log(v.Logger, "sessions", v.openSessions.Load())
	v.BeginDrain()
	began := time.Now()
	tick := time.NewTicker(drainPollInterval)
	defer tick.Stop()
	for {
		if time.Since(began) > transactionGrace {
			v.cancelTransactions.Store(true)
		}
		v.interruptIdleSessions()
		if v.openSessions.Load() == 0 && v.remoteSessions.Load() == 0 && time.Since(began) > minDrainDuration {
			break
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			eventDrained.Log(v.Logger, "sessions", v.openSessions.Load(), "outcome", "cut short")
			return
		}
	}
	eventDrained.Log(v.Logger, "sessions", 0, "outcome", "done")
}

// lingerFor is how long a VM that drains goes on taking callers: until the platform's
// balancer has missed it twice, a second apart.
const minDrainDuration = 2500 * time.Millisecond

// interrupt wakes the sessions that wait for a request, so that they look around.
func (v *VM) interruptIdleSessions() {
	v.mu.Lock()
	defer v.mu.Unlock()
	for s := range v.sessions {
		if !s.busy.Load() {
			s.caller.Interrupt()
		}
	}
}

func (v *VM) addSession(s *Session) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.init()
	v.sessions[s] = true
}

func (v *VM) removeSession(s *Session) {
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.sessions, s)
}

// admit counts an operation against its workspace's rate; refused comes with how long
// until one would be admitted.
func (v *VM) admit(w *Workspace) (wait time.Duration, refused bool) {
	if v.Quota == nil || w.Rate <= 0 {
		return 0, false
	}
	wait, admitted := v.Quota.Admit(string(w.Name), float64(w.Rate), float64(w.Burst))
	return wait, !admitted
}

// refund gives back what admit took for an operation that no server has seen.
func (v *VM) refund(op *operation, a Answer) Answer {
	if !a.Succeeded() && !op.maybeSent && v.Quota != nil && op.workspace.Rate > 0 {
		v.Quota.Refund(string(op.workspace.Name))
	}
	return a
}

const (
	// typicalFirst is taken for a route's statement time before one was measured.
	initialTypicalLatency = 20 * time.Millisecond
	// patienceTimes typical times are waited for a repeatable statement: more than a
	// server's full queue takes.
	attemptTimeoutFactor = 10
	minAttemptTimeout    = 150 * time.Millisecond
	// patienceMost is that part of the statement's time-out.
	maxAttemptTimeoutFraction = 0.45
)

// typical is how long the route's reads take on average.
func (v *VM) typicalLatency(r *Route) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	if t := v.typicalLatencies[r.Database]; t > 0 {
		return t
	}
	return initialTypicalLatency
}

func (v *VM) recordLatency(op *operation, id ServerID, latency time.Duration) {
	v.mu.Lock()
	mean := v.typicalLatencies[op.route.Database]
	v.typicalLatencies[op.route.Database] = movingAverage(mean, latency)
	v.mu.Unlock()
	op.group.recordSuccess(id, latency, mean)
}

// patience is how long one attempt at a repeatable statement may take.
func (v *VM) attemptTimeout(r *Route) time.Duration {
	p := max(attemptTimeoutFactor*v.typicalLatency(r), minAttemptTimeout)
	return min(p, time.Duration(maxAttemptTimeoutFraction*float64(r.StatementTimeout)))
}

func isType(err error, t *errorx.Type) bool { return err != nil && errorx.IsOfType(err, t) }

func itoa(n int64) string { return strconv.FormatInt(n, 10) }
