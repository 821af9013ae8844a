package failover

import (
	"maps"
	"slices"
)

// Roster has the servers of a group that may hold a commit which replicas have confirmed, whether the platform lists
// them or not. Each such commit is in the logs of at least SyncReplicas+1 of them: that of the primary and those of
// the replicas that confirmed it.
type Roster struct {
	// Servers maps each server's ID to what was last known of it.
	Servers map[string]RosterServer
	// SyncReplicas is the smallest number of replicas that may have confirmed a commit which isn't known to be on more
	// of them. It is zero if none is known.
	SyncReplicas int
}

// RosterServer is a server of a roster as the platform last listed it.
type RosterServer struct {
	Address, Zone string
	// Leaving means that the server announced its shutdown. Its log is passed to the server that starts at its address.
	Leaving bool
}

// Listed is the servers of a group that the platform lists, by ID.
type Listed map[string]RosterServer

// With returns the roster with the servers that are listed, for commits that syncReplicas replicas confirm.
func (r Roster) With(listed Listed, syncReplicas int) Roster {
	next := Roster{Servers: map[string]RosterServer{}, SyncReplicas: r.SyncReplicas}
	maps.Copy(next.Servers, r.Servers)
	maps.Copy(next.Servers, listed)
	if next.SyncReplicas == 0 || syncReplicas < next.SyncReplicas {
		next.SyncReplicas = syncReplicas
	}
	return next
}

// Unlisted returns the IDs of the servers that aren't listed, in sorted order, without those that have a successor.
func (r Roster) Unlisted(listed Listed) []string {
	var ids []string
	for id, s := range r.Servers {
		if _, found := listed[id]; !found && !s.hasSuccessor(listed) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// hasSuccessor reports whether a server that isn't listed any more has passed its log to one that is.
func (s RosterServer) hasSuccessor(listed Listed) bool {
	if !s.Leaving {
		return false
	}
	for _, other := range listed {
		if other.Address == s.Address {
			return true
		}
	}
	return false
}

// WithoutReplaced returns the roster without the servers that aren't listed and have a successor.
func (r Roster) WithoutReplaced(listed Listed) Roster {
	next := Roster{Servers: maps.Clone(r.Servers), SyncReplicas: r.SyncReplicas}
	maps.DeleteFunc(next.Servers, func(id string, s RosterServer) bool {
		_, found := listed[id]
		return !found && s.hasSuccessor(listed)
	})
	return next
}

// Reduce returns the roster without servers that are gone. replicas is how many of the others have received all that
// the primary had once those were gone, configured by how many replicas commits are confirmed now. If too few have, the
// servers stay, since one of them may hold the only other copy of a commit. With as many copies as new commits have,
// SyncReplicas rises to configured.
func (r Roster) Reduce(gone []string, replicas, configured int) Roster {
	if replicas < min(r.SyncReplicas, configured) {
		return r
	}
	next := Roster{Servers: maps.Clone(r.Servers), SyncReplicas: r.SyncReplicas}
	for _, id := range gone {
		delete(next.Servers, id)
	}
	if replicas >= configured {
		next.SyncReplicas = configured
	}
	return next
}

// Equal reports whether two rosters are the same.
func (r Roster) Equal(other Roster) bool {
	return r.SyncReplicas == other.SyncReplicas && maps.Equal(r.Servers, other.Servers)
}
