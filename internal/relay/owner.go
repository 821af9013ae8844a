package relay

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/savoryramp/savoryramp/internal/heartbeat"
	"github.com/savoryramp/savoryramp/internal/proxy"
)

// serverOwners has the VMs that own connections to a server.
type serverOwners struct {
	// connections is how many connections to the server all owners may have together, from which
	// the number of owners follows.
	connections int
	candidates  []candidate
	// local is true if this VM is one of the candidates.
	local bool
	// byWorkspace has the address of the owner of each workspace looked up so far, empty for this
	// VM.
	byWorkspace map[proxy.WorkspaceName]proxy.Address
}

// candidate is a VM that may own connections to a server.
type candidate struct {
	name string
	// address is empty for this VM.
	address  proxy.Address
	capacity float64
	score    float64
}

// ownersTTL is how long the choices of owners are cached. It bounds how much longer than its
// avoidance a VM isn't chosen.
const ownersTTL = 2 * time.Second

// Owner returns the address of the VM that owns the connections to a server for a workspace, and
// whether that is this VM. This VM's own address is returned as an empty string. The owner is
// chosen by rendezvous hashing among the VMs in the server's zone, so that only the link to the
// owner crosses zones. If none of these VMs can be used, this VM is the owner.
func (r *Relay) Owner(s proxy.Server, w proxy.WorkspaceName, connections int) (proxy.Address, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	owners := r.ownersOf(s, connections)
	if len(owners.candidates) == 1 {
		address := owners.candidates[0].address
		return address, address == ""
	}
	address, cached := owners.byWorkspace[w]
	if !cached {
		address = owners.choose(s.ID, w)
		owners.byWorkspace[w] = address
	}
	return address, address == ""
}

// OwnsAny reports whether this VM may own the connections to a server for some workspace.
func (r *Relay) OwnsAny(s proxy.Server, connections int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ownersOf(s, connections).local
}

// ownersOf returns the owners of the connections to a server, from the cache if it is valid. r.mu
// must be held.
func (r *Relay) ownersOf(s proxy.Server, connections int) *serverOwners {
	now := time.Now()
	if generation := r.Fleet.MembershipGeneration(); r.owners == nil || generation != r.membershipGeneration || now.Sub(r.ownersSince) > ownersTTL {
		r.owners, r.ownersSince, r.membershipGeneration = map[proxy.ServerID]*serverOwners{}, now, generation
		r.peersByZone = map[proxy.AvailabilityZone][]heartbeat.Peer{}
		for _, p := range r.Fleet.Peers() {
			zone := proxy.AvailabilityZone(p.Zone)
			r.peersByZone[zone] = append(r.peersByZone[zone], p)
		}
	}
	owners := r.owners[s.ID]
	if owners == nil || owners.connections != connections {
		owners = r.selectOwners(s, connections, now)
		r.owners[s.ID] = owners
	}
	return owners
}

// selectOwners selects the owners of the connections to a server: the VMs of its zone with the
// highest scores, or this VM if none of these can be used. r.mu must be held.
func (r *Relay) selectOwners(s proxy.Server, connections int, now time.Time) *serverOwners {
	var list []candidate
	if r.VM.Zone == s.Zone {
		list = append(list, r.ownCandidate())
	}
	list = r.appendUsable(list, r.peersByZone[s.Zone], now)
	if len(list) == 0 && r.VM.PriorityScheduling {
		// All VMs would take themselves for the only owner.
		list = append(list, r.ownCandidate())
		for _, peers := range r.peersByZone {
			list = r.appendUsable(list, peers, now)
		}
	}
	for i := range list {
		list[i].score = score(string(s.ID), list[i].name, list[i].capacity)
	}
	slices.SortFunc(list, func(a, b candidate) int { return cmp.Compare(b.score, a.score) })
	owners := max(connections/minConnectionsPerOwner, 1)
	if r.VM.PriorityScheduling {
		// The order among all statements for a server is kept by one VM. While it is avoided, the
		// next in rank takes its place.
		owners = 1
	}
	list = list[:min(len(list), owners)]
	return &serverOwners{
		connections: connections, candidates: list, byWorkspace: map[proxy.WorkspaceName]proxy.Address{},
		local: len(list) == 0 || slices.ContainsFunc(list, func(c candidate) bool { return c.address == "" }),
	}
}

func (r *Relay) ownCandidate() candidate {
	return candidate{name: string(r.VM.Name), capacity: r.Capacity}
}

// appendUsable appends the VMs that may own connections. r.mu must be held.
func (r *Relay) appendUsable(list []candidate, peers []heartbeat.Peer, now time.Time) []candidate {
	for _, p := range peers {
		state := r.peers[proxy.Address(p.Address)]
		if p.Silent || p.Leaving || p.RelayVersion != Version || state != nil && now.Before(state.avoidUntil) {
			continue
		}
		list = append(list, candidate{name: string(p.VM), address: proxy.Address(p.Address), capacity: p.Capacity})
	}
	return list
}

// choose returns the address of the VM that owns a workspace's connections, empty for this VM.
func (o *serverOwners) choose(id proxy.ServerID, w proxy.WorkspaceName) proxy.Address {
	var best proxy.Address
	bestScore := -1.0
	key := string(id) + "/" + string(w)
	for _, c := range o.candidates {
		if workspaceScore := score(key, c.name, c.capacity); workspaceScore > bestScore {
			best, bestScore = c.address, workspaceScore
		}
	}
	return best
}

// score returns a VM's rendezvous hashing score for a key. Over all keys, each VM has the highest
// score in proportion to its capacity. An unknown capacity counts as 1.
func score(key, vm string, capacity float64) float64 {
	if capacity <= 0 {
		capacity = 1
	}
	u := (float64(xxhash.Sum64String(key+"/"+vm)) + 1) / math.MaxUint64
	return -capacity / math.Log(min(u, 1-1e-12))
}
