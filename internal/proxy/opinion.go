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
const Provers = 9

// view is what this VM's decision on the group rests on.
func (g *Group) view(peers []heartbeat.Peer, proves bool, provers map[heartbeat.Name]bool) failover.View {
	own := g.opinion()
	v := failover.View{
		VM: string(g.VM.Name), Group: string(g.Name), Watches: proves,
		Own: failover.Opinion{VM: string(g.VM.Name), Primary: own.Server, Failing: own.Failing},
	}
	g.mu.Lock()
	if m := g.members[g.lead]; m != nil {
		v.Leaving = m.server.Leaving
	}
	g.mu.Unlock()
	for _, p := range peers {
		if !provers[p.VM] || p.Leaving && !p.Silent {
			continue
		}
		o := failover.Opinion{VM: string(p.VM), Silent: p.Silent, Primary: own.Server}
		if lead, said := p.Leads[string(g.Name)]; said {
			o.Primary, o.Failing = lead.Server, lead.Failing
		}
		v.Others = append(v.Others, o)
	}
	return v
}

// opinion is what this VM tells of the group's primary.
func (g *Group) opinion() heartbeat.Lead {
	g.mu.Lock()
	defer g.mu.Unlock()
	lead := heartbeat.Lead{Server: string(g.lead), Term: int64(g.term)}
	switch {
	case g.members[g.lead] != nil:
		lead.Failing = g.health.failed()
	default:
		lead.Server = ""
		lead.Failing = len(g.members) > 0 && clock.Since(g.movedAt) > unknownFor
	}
	return lead
}

// Heard takes what another VM says of a group's primary.
func (v *VM) Heard(b heartbeat.Beat) {
	for name, lead := range b.Leads {
		g := v.group(ServiceName(name))
		if g == nil {
			continue
		}
		g.mu.Lock()
		if lead.Failing || lead.Server == "" {
			// One that has given the primary up without knowing another counts as well.
			if lead.Failing && (lead.Server == "" || ServerID(lead.Server) == g.lead) {
				g.reports[string(b.VM)] = clock.Now()
			}
			g.mu.Unlock()
			continue
		}
		if t := position.Term(lead.Term); t > g.term && g.members[ServerID(lead.Server)] != nil {
			g.believe(ServerID(lead.Server), t, "told by "+string(b.VM))
		}
		g.mu.Unlock()
	}
}

// tellFor is how long a new lead is told to other VMs: several beats.
const tellFor = 3 * time.Second

// Leads is what this VM has to tell of primaries: those that fail or are new.
func (v *VM) Leads() map[string]heartbeat.Lead {
	leads := map[string]heartbeat.Lead{}
	for _, g := range v.Groups() {
		if !v.Fleet.Proves(g.Name) {
			continue
		}
		o := g.opinion()
		g.mu.Lock()
		fresh := g.term > 0 && clock.Since(g.movedAt) < tellFor
		g.mu.Unlock()
		if o.Failing || fresh {
			leads[string(g.Name)] = o
		}
	}
	return leads
}

// Seeking tells whether some group's primary isn't known or doesn't answer.
func (v *VM) Seeking() bool {
	for _, g := range v.Groups() {
		g.mu.Lock()
		seeking := g.lead == "" || g.health.failing > 0
		g.mu.Unlock()
		if seeking {
			return true
		}
	}
	return false
}
