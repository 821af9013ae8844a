package proxy

import (
	"time"

	"github.com/savoryramp/savoryramp/internal/clock"
	"github.com/savoryramp/savoryramp/internal/heartbeat"
	"github.com/savoryramp/savoryramp/pkg/failover"
	"github.com/savoryramp/savoryramp/pkg/position"
)

// Provers is how many VMs watch a group's primary: enough for a majority to tell a cut of
// some from its end, few enough for the servers' connections.
const MaxVerifiers = 9

// view is what this VM's decision on the group rests on.
func (g *Group) failoverView(peers []heartbeat.Peer, isVerifier bool, verifiers map[heartbeat.VMName]bool) failover.View {
	own := g.observation()
	v := failover.View{
		VM: string(g.VM.Name), Group: string(g.Name), IsVerifier: isVerifier,
		OwnObservation: failover.Observation{VM: string(g.VM.Name), Primary: own.Server, Failing: own.Failing},
	}
	g.mu.Lock()
	if m := g.members[g.primary]; m != nil {
		v.PrimaryLeaving = m.server.Leaving
	}
	g.mu.Unlock()
	for _, p := range peers {
		if !verifiers[p.VM] || p.Leaving && !p.Silent {
			continue
		}
		o := failover.Observation{VM: string(p.VM), Silent: p.Silent, Primary: own.Server}
		if reported, found := p.Observations[string(g.Name)]; found {
			o.Primary, o.Failing = reported.Server, reported.Failing
		}
		v.Others = append(v.Others, o)
	}
	return v
}

// opinion is what this VM tells of the group's primary.
func (g *Group) observation() heartbeat.PrimaryObservation {
	g.mu.Lock()
	defer g.mu.Unlock()
	observation := heartbeat.PrimaryObservation{Server: string(g.primary), Term: int64(g.term)}
	switch {
	case g.members[g.primary] != nil:
		observation.Failing = g.health.hasFailed()
	default:
		observation.Server = ""
		observation.Failing = len(g.members) > 0 && clock.Since(g.primaryChangedAt) > unknownPrimaryTimeout
	}
	return observation
}

// Heard takes what another VM says of a group's primary.
func (v *VM) ObserveBeat(beat heartbeat.Message) {
	for name, observation := range beat.Observations {
		g := v.group(ServiceName(name))
		if g == nil {
			continue
		}
		g.mu.Lock()
		if observation.Failing || observation.Server == "" {
			// One that has given the primary up without knowing another counts as well.
			if observation.Failing && (observation.Server == "" || ServerID(observation.Server) == g.primary) {
				g.failureReports[string(beat.VM)] = clock.Now()
			}
			g.mu.Unlock()
			continue
		}
		if t := position.Term(observation.Term); t > g.term && g.members[ServerID(observation.Server)] != nil {
			g.setPrimary(ServerID(observation.Server), t, "told by "+string(beat.VM))
		}
		g.mu.Unlock()
	}
}

// tellFor is how long a new lead is told to other VMs: several beats.
const announceDuration = 3 * time.Second

// Leads is what this VM has to tell of primaries: those that fail or are new.
func (v *VM) PrimaryObservations() map[string]heartbeat.PrimaryObservation {
	observations := map[string]heartbeat.PrimaryObservation{}
	for _, g := range v.Groups() {
		if !v.Fleet.Verifies(g.Name) {
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

// Seeking tells whether some group's primary isn't known or doesn't answer.
func (v *VM) HasMissingPrimary() bool {
	for _, g := range v.Groups() {
		g.mu.Lock()
		missing := g.primary == "" || g.health.failures > 0
		g.mu.Unlock()
		if missing {
			return true
		}
	}
	return false
}
