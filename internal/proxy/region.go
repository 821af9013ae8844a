package proxy

import (
	"maps"
	"slices"

	"github.com/savoryramp/savoryramp/pkg/placement"
)

// regions returns the regions to whose servers and VMs an operation's statements may go. The VM that
// owns the connections to a server, or sends to it while it is cold, is in the server's region.
func (op *operation) regions() placement.Regions {
	if op.anyRegion {
		return placement.Regions{}
	}
	return placement.Regions{Route: op.route.AllowedRegions, Workspace: op.workspace.AllowedRegions}
}

// inAnyRegion returns a copy of an operation for the VM's own commands, which carry no statement of the
// caller.
func (op *operation) inAnyRegion() *operation {
	other := *op
	other.anyRegion = true
	return &other
}

// inRegions reports whether statements may go to a server.
func (g *Group) inRegions(m *member, r placement.Regions) bool {
	p := g.VM.Placement
	return p == nil || p.RegionOf == nil || !r.IsLimited() || r.Allow(p.RegionOf(m.pool.Server.Zone))
}

// keepRegions removes the candidates to which an operation's statements may not go.
func (op *operation) keepRegions(list []Candidate, members map[ServerID]*member) []Candidate {
	return slices.DeleteFunc(list, func(c Candidate) bool { return !op.group.inRegions(members[c.ID], op.regions()) })
}

// regionRefusal returns an answer for an operation that no server in the allowed regions can run, and
// false if some can: the primary m, or any server if m is nil.
func (op *operation) regionRefusal(m *member) (Answer, bool) {
	if !op.regions().IsLimited() {
		return okAnswer, false
	}
	list := []*member{m}
	if m == nil {
		list = op.group.sortedMembers()
	}
	if slices.ContainsFunc(list, func(m *member) bool { return op.group.inRegions(m, op.regions()) }) {
		return okAnswer, false
	}
	return Answer{Failure: Busy, Detail: retryAfterText(placement.MaxRetry) + " no server of service " + string(op.group.Name) + " that can run the request is in the allowed regions"}, true
}

// logUnknownRegions logs the regions that a configuration allows and that no zone is in.
func (v *VM) logUnknownRegions(c *Configuration) {
	if v.Placement == nil || v.Placement.RegionOf == nil {
		return
	}
	unknown := map[placement.Region]bool{}
	add := func(allowed map[placement.Region]bool) {
		for region := range allowed {
			if !v.Placement.Regions[region] {
				unknown[region] = true
			}
		}
	}
	for _, r := range c.Routes {
		add(r.AllowedRegions)
	}
	for _, w := range c.Workspaces {
		add(w.AllowedRegions)
	}
	if len(unknown) > 0 {
		eventUnknownRegions.Log(v.Logger, "version", c.Version, "regions", slices.Sorted(maps.Keys(unknown)))
	}
}
