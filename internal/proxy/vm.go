package proxy

import (
	"context"
	"maps"
	"runtime/debug"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/joomcode/errorx"

	"github.com/savoryramp/savoryramp/internal/clock"
	"github.com/savoryramp/savoryramp/pkg/position"
	"github.com/savoryramp/savoryramp/pkg/quota"
)

// Fleet is this VM's view of the running VMs.
type Fleet interface {
	// Size returns the number of VMs, including this one. Rank returns this VM's index among
	// them, from 0.
	Size() int
	Rank() int
	// Settled reports whether the VM has had enough time to learn of the other VMs.
	Settled() bool
	// IsVerifier reports whether this VM is one of the verifiers of a group's primary.
	IsVerifier(ServiceName) bool
}

// VM serves callers. Its exported fields must be set before Run.
type VM struct {
	Name    VMName
	Zone    AvailabilityZone
	Connect Connect
	Fleet   Fleet
	Quota   *quota.Limiter
	Logger  log.Logger
	// Relay reaches servers over other VMs' connections. It is nil if all VMs have enough
	// connections of their own.
	Relay Relay
	// IsolatedFor returns for how long the VM has been unable to learn of withdrawn keys, from
	// the platform or from another VM; zero if it is able to. The field is nil if this VM doesn't
	// measure that time.
	IsolatedFor func() time.Duration
	// HasQuorum reports whether a group's primary may be used. It is nil on a platform where a
	// promotion deposes the old primary.
	HasQuorum func(ServiceName) bool
	// PriorityScheduling makes the VM order the statements for each server by urgency, and refuse
	// those that can't be served in time. All VMs have the same setting.
	PriorityScheduling bool
	// ServerListAge returns how long ago the platform last returned its list of servers. It is nil if the list is always
	// up to date.
	ServerListAge func() time.Duration
	// Placement has the zones that are being evacuated. It is nil if zones can't be evacuated.
	Placement *Placement

	configuration atomic.Pointer[Configuration]
	// services has the newest settings of each service that was ever configured. A version that withdraws a service
	// doesn't change them: transactions go on, and commits were confirmed by as many replicas as before.
	services atomic.Pointer[map[ServiceName]*Service]
	draining atomic.Bool
	// startedAt is when Run began, on clock.Now.
	startedAt atomic.Int64
	// cancelTransactions is true once a drain also ends open transactions. drainEndsAt is when the drain ends
	// whatever is left, nil if it has no such time.
	cancelTransactions atomic.Bool
	drainEndsAt        atomic.Pointer[time.Time]
	// remoteSessions counts the connections of this VM that other VMs have checked out.
	remoteSessions atomic.Int64
	openSessions   atomic.Int64
	metrics        instruments
	outages        outageEstimator
	// largeWorkspaces has the workspaces for which isLarge is true.
	largeWorkspaces atomic.Pointer[map[WorkspaceName]bool]

	shareMu    sync.Mutex
	shareCache map[ServerID]cachedShare
	// ownedSince has the time since when this VM has owned all connections to a server.
	ownedSince map[ServerID]time.Time

	mu       sync.Mutex
	sessions map[*Session]bool
	groups   map[ServiceName]*Group
	servers  []Server
	// serversListed is true once the platform's list of servers has been read.
	serversListed bool
	// typicalLatencies has the average latency of each route's reads that aren't linearizable.
	typicalLatencies map[DatabaseName]time.Duration
	ctx              context.Context
	tasks            sync.WaitGroup
}

// Run maintains the groups until ctx ends, and then closes all sessions.
func (v *VM) Run(ctx context.Context) error {
	v.startedAt.Store(int64(clock.Now()))
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

// startMaintenance starts the maintenance of a group; v.mu is held.
func (v *VM) startMaintenance(g *Group) {
	ctx := v.ctx
	v.tasks.Go(func() { g.maintain(ctx) })
}

// Serve serves one caller's connection until it ends.
func (v *VM) Serve(ctx context.Context, c Caller) {
	v.openSessions.Add(1)
	defer v.openSessions.Add(-1)
	s := &Session{vm: v, caller: c, profile: newProfile(), floors: map[ServiceName]position.Position{}}
	// A fault that one caller brings about ends that caller's session, not the process with all others.
	defer func() {
		if cause := recover(); cause != nil {
			v.RecordPanic(cause, "database", s.database)
		}
	}()
	s.run(ctx)
}

// RecordPanic logs and counts a panic that has ended a session. It is called while the panic is recovered from; keyvals
// identify the session.
func (v *VM) RecordPanic(cause any, keyvals ...any) {
	eventSessionPanic.Log(v.Logger, append(keyvals, "cause", cause, "stack", string(debug.Stack()))...)
	v.metrics.recordSessionPanic()
}

// Configuration returns the configuration in force, or nil if there is none yet.
func (v *VM) Configuration() *Configuration { return v.configuration.Load() }

// Configure puts a configuration into force unless one of the same or a newer version is.
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
	v.logUnknownRegions(c)
	v.mu.Lock()
	v.init()
	v.keepServices(v.configuration.Load())
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

// keepServices adds a configuration's services to those of earlier ones; v.mu is held.
func (v *VM) keepServices(c *Configuration) {
	services := map[ServiceName]*Service{}
	if before := v.services.Load(); before != nil {
		maps.Copy(services, *before)
	}
	maps.Copy(services, c.Services)
	v.services.Store(&services)
}

// service returns the newest settings of a service, nil if it was never configured.
func (v *VM) service(name ServiceName) *Service {
	services := v.services.Load()
	if services == nil {
		return nil
	}
	return (*services)[name]
}

// SetServers replaces the servers of all groups with those that the platform lists.
func (v *VM) SetServers(servers []Server) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.init()
	v.servers, v.serversListed = servers, true
	for name, g := range v.groups {
		g.setServers(serversOf(servers, name))
	}
}

// serverListAge returns the age of the platform's list of servers.
func (v *VM) serverListAge() time.Duration {
	if v.ServerListAge == nil {
		return 0
	}
	return v.ServerListAge()
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

// Groups returns all groups.
func (v *VM) Groups() []*Group {
	v.mu.Lock()
	defer v.mu.Unlock()
	list := make([]*Group, 0, len(v.groups))
	for _, g := range v.groups {
		list = append(list, g)
	}
	return list
}

// IsReady reports whether the VM should receive new callers.
func (v *VM) IsReady() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.configuration.Load() != nil && v.serversListed && v.Fleet.Settled() && !v.draining.Load() && !v.isIsolated() && v.Placement.isKnown()
}

// maxIsolation is how long a VM keeps serving while it can't learn of withdrawn keys. It equals
// the time that a configuration change may take while the platform is in trouble.
const maxIsolation = 15 * time.Second

// isIsolated reports whether the configuration may be too old to rely on.
func (v *VM) isIsolated() bool { return v.IsolatedFor != nil && v.IsolatedFor() > maxIsolation }

// IsDraining reports whether the VM is shutting down.
func (v *VM) IsDraining() bool { return v.draining.Load() }

const (
	// drainPollInterval is how often a drain makes idle sessions check whether they have to
	// close.
	drainPollInterval = 25 * time.Millisecond
)

// BeginDrain makes the VM unready, so that the load balancer sends it no new callers, and makes
// sessions close after their current operation. Sessions that are idle close when Drain
// interrupts them.
func (v *VM) BeginDrain() { v.draining.Store(true) }

// Drain closes sessions between operations. It returns when no session of a caller is left and
// no other VM has a connection checked out, but not before minDrainDuration, or when ctx ends.
// After transactionGrace, transactions of callers are rolled back when they are idle, and requests are
// refused that may not be answered before ctx ends.
func (v *VM) Drain(ctx context.Context, transactionGrace time.Duration) {
	eventDrain.Log(v.Logger, "sessions", v.openSessions.Load())
	if deadline, limited := ctx.Deadline(); limited {
		v.drainEndsAt.Store(&deadline)
	}
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

// endsBefore reports whether a drain has stopped waiting for transactions and may end before a time.
func (v *VM) endsBefore(t time.Time) bool {
	if !v.cancelTransactions.Load() {
		return false
	}
	end := v.drainEndsAt.Load()
	return end != nil && end.Before(t)
}

// minDrainDuration is the minimum duration of a drain, unless its context ends earlier. The load
// balancer may send new callers until two health checks have failed, which are a second apart.
const minDrainDuration = 2500 * time.Millisecond

// interruptIdleSessions makes the sessions that wait for a request check whether they have to
// close.
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

// admit charges an operation to its workspace's rate. If it is refused, wait is the time until
// one would be admitted.
func (v *VM) admit(w *Workspace) (wait time.Duration, refused bool) {
	if v.Quota == nil || w.Rate <= 0 {
		return 0, false
	}
	wait, admitted := v.Quota.Admit(string(w.Name), float64(w.Rate), float64(w.Burst))
	return wait, !admitted
}

// refund reverses admit for an operation that failed before its statement reached a server. It
// returns the answer unchanged.
func (v *VM) refund(op *operation, a Answer) Answer {
	if !a.Succeeded() && !op.maybeSent && v.Quota != nil && op.workspace.Rate > 0 {
		v.Quota.Refund(string(op.workspace.Name))
	}
	return a
}

const (
	// initialTypicalLatency is the assumed statement latency of a route until one has been
	// measured.
	initialTypicalLatency = 20 * time.Millisecond
	// attemptTimeoutFactor times the typical latency is the timeout of an attempt at a
	// statement that is safe to repeat. That is longer than a server's full queue takes.
	attemptTimeoutFactor = 10
	// minAttemptTimeout is the lower limit of that timeout, unless maxAttemptTimeoutFraction
	// requires less.
	minAttemptTimeout = 150 * time.Millisecond
	// maxAttemptTimeoutFraction is the upper limit of that timeout, as a fraction of the
	// statement timeout.
	maxAttemptTimeoutFraction = 0.45
)

// typicalLatency returns the average latency of the route's reads, or initialTypicalLatency.
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

// attemptTimeout returns the timeout of one attempt at a statement that is safe to repeat.
func (v *VM) attemptTimeout(r *Route) time.Duration {
	timeout := max(attemptTimeoutFactor*v.typicalLatency(r), minAttemptTimeout)
	return min(timeout, time.Duration(maxAttemptTimeoutFraction*float64(r.StatementTimeout)))
}

func isType(err error, t *errorx.Type) bool { return err != nil && errorx.IsOfType(err, t) }

func itoa(n int64) string { return strconv.FormatInt(n, 10) }
