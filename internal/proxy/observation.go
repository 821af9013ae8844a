package proxy

import (
	"time"

	"github.com/savoryramp/savoryramp/internal/clock"
	"github.com/savoryramp/savoryramp/internal/heartbeat"
	"github.com/savoryramp/savoryramp/pkg/failover"
	"github.com/savoryramp/savoryramp/pkg/position"
)

// MaxVerifiers is the maximum number of VMs that verify a group's primary. They are enough for a
// majority to distinguish a partition of some VMs from a failure of the primary, and few enough
// for the servers' connection limits.
const MaxVerifiers = 9

// failoverView collects the observations that this VM's decision on the group is based on.
// verifiers has the state of the group's other verifiers.
func (g *Group) failoverView(verifiers []heartbeat.Peer, isVerifier bool) failover.View {
	own := g.observation()
	v := failover.View{
		VM: string(g.VM.Name), Group: string(g.Name), IsVerifier: isVerifier,
		OwnObservation: failover.Observation{VM: string(g.VM.Name), Primary: own.Server, Failing: own.Failing},
	}
	g.mu.Lock()
	if m := g.members[g.primary]; m != nil {
		v.PrimaryLeaving = m.server.Leaving || g.handsOver()
	}
	g.mu.Unlock()
	for _, p := range verifiers {
		if p.Leaving && !p.Silent {
			continue
		}
		// A verifier that reports nothing about the group regards the same primary as usable.
		o := failover.Observation{VM: string(p.VM), Silent: p.Silent, Primary: own.Server}
		if reported, found := p.Observations[string(g.Name)]; found {
			o.Primary, o.Failing, o.NoPrimary = reported.Server, reported.Failing, reported.Server == ""
		}
		v.Others = append(v.Others, o)
	}
	return v
}

// observation returns this VM's observation of the group's primary, for sending to other VMs.
func (g *Group) observation() heartbeat.PrimaryObservation {
	g.mu.Lock()
	defer g.mu.Unlock()
	observation := heartbeat.PrimaryObservation{Server: string(g.primary), Term: int64(g.term)}
	switch {
	case g.wasPaused():
		// Whether the primary failed before the pause tells nothing now.
		if g.members[g.primary] == nil {
			observation.Server = ""
		}
	case g.members[g.primary] != nil:
		observation.Failing = g.health.hasFailed()
	default:
		observation.Server = ""
		observation.Failing = len(g.members) > 0 && clock.Since(g.primaryChangedAt) > unknownPrimaryTimeout
	}
	return observation
}

// wasPaused reports whether this VM was paused since the decision on the group was last evaluated. g.mu is held.
func (g *Group) wasPaused() bool {
	return g.watchedAt != 0 && failover.View{Unwatched: clock.Since(g.watchedAt)}.WasPaused()
}

// noteWatched records that the decision on the group is evaluated. After a pause this VM has to observe the
// primary anew before it reports a failure.
func (g *Group) noteWatched() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.wasPaused() {
		g.health.reset()
		if g.members[g.primary] == nil {
			g.primaryChangedAt = clock.Now()
		}
	}
	g.watchedAt = clock.Now()
}

// ObserveHeartbeat records the observations of primaries in another VM's heartbeat.
func (v *VM) ObserveHeartbeat(message heartbeat.Message) {
	for name, observation := range message.Observations {
		g := v.group(ServiceName(name))
		if g == nil {
			continue
		}
		g.noteTerm(position.Term(observation.Term))
		g.mu.Lock()
		if observation.Failing || observation.Server == "" {
			// A VM that has given up the primary without knowing a new one counts as well.
			if observation.Failing && (observation.Server == "" || ServerID(observation.Server) == g.primary) {
				g.failureReports[string(message.VM)] = clock.Now()
			}
			g.mu.Unlock()
			continue
		}
		if t := position.Term(observation.Term); t > g.term && g.members[ServerID(observation.Server)] != nil {
			g.setPrimary(ServerID(observation.Server), t, "reported by "+string(message.VM))
		}
		g.mu.Unlock()
	}
}

// announceDuration is how long a new primary is announced to other VMs: for several heartbeats.
const announceDuration = 3 * time.Second

// PrimaryObservations returns this VM's observations for its next heartbeat: of primaries that
// fail or are new, in the groups of which this VM is a verifier.
func (v *VM) PrimaryObservations() map[string]heartbeat.PrimaryObservation {
	observations := map[string]heartbeat.PrimaryObservation{}
	for _, g := range v.Groups() {
		if !v.Fleet.IsVerifier(g.Name) {
			continue
		}
		o := g.observation()
		g.mu.Lock()
		recent := g.term > 0 && clock.Since(g.primaryChangedAt) < announceDuration
		g.mu.Unlock()
		if o.Failing || recent {
			observations[string(g.Name)] = o
		}
	}
	return observations
}
