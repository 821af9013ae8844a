// Package failover decides when a group's primary is replaced, and which VM acts.
//
// Each VM observes the primary and receives the observations of the others. A primary is
// replaced when more than half of the VMs can't use it, so that a network failure, a pause or a
// slowdown of one VM never replaces a primary. A silent VM counts against the replacement (Sighting).
// Any number of VMs may act: delays by rank make them act one after another, and fencing tokens make
// all attempts but the last harmless. A server is promoted only if its log ends in the newest known
// term, as long as one that has that may still answer (Election).
package failover

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Observation is one VM's view of whether a group's primary works.
type Observation struct {
	VM string
	// Primary is the server that the VM considers primary, or empty if it knows none.
	Primary string
	// Failing is true while the VM can't use the primary, or has known none for some time.
	Failing bool
	// NoPrimary is true if the VM reported that it knows no primary, for however short a time.
	NoPrimary bool
	// Silent is true if messages of the VM arrived recently but have stopped arriving.
	Silent bool
}

// View holds everything that one VM's decision on a group depends on.
type View struct {
	VM, Group string
	// OwnObservation is the observation of this VM.
	OwnObservation Observation
	// Others holds the observations of all other verifier VMs that aren't shutting down.
	Others []Observation
	// PrimaryLeaving means that the primary announced its shutdown, PrimaryUnlisted that
	// the platform no longer lists it.
	PrimaryLeaving, PrimaryUnlisted bool
	// IsVerifier means that this VM is one of the verifiers, whose observations count.
	IsVerifier bool
	// FleetUnknown means that this VM has neither read the directory nor learned of the fleet from
	// another VM, so that Others may lack any number of VMs.
	FleetUnknown bool
	// Unwatched is the time since this VM last evaluated its observations. It is longer than maxUnwatched
	// only after a pause.
	Unwatched time.Duration
	// FenceDelay is how long it takes until all VMs have stopped using a primary that a
	// majority can't use. It is zero if a promotion itself deposes the previous primary.
	FenceDelay time.Duration
}

// Decision is the action to take on a group's primary.
type Decision string

// The possible decisions.
const (
	// Keep leaves the primary in place.
	Keep Decision = "keep"
	// Replace promotes another server because the primary can't be used.
	Replace Decision = "replace"
	// HandOver moves the role from a working primary without losing writes.
	HandOver Decision = "hand-over"
)

// Decide returns the decision that follows from the view.
func (v View) Decide() Decision {
	if v.FleetUnknown || v.WasPaused() {
		return Keep
	}
	if v.OwnObservation.Failing && 2*len(v.failingVMs()) > len(v.Others)+1 {
		return Replace
	}
	if !v.OwnObservation.Failing && (v.PrimaryLeaving || v.PrimaryUnlisted) {
		return HandOver
	}
	return Keep
}

// maxUnwatched is how long a VM may have been paused and still rely on its observations.
const maxUnwatched = time.Second

// WasPaused reports whether this VM was paused since it last evaluated its observations. Whatever it had
// decided is outdated.
func (v View) WasPaused() bool { return v.Unwatched > maxUnwatched }

// StillStands reports whether this VM may go on to carry out a decision about a primary that it made
// earlier. That primary may have become unknown meanwhile, since a server that restarts refuses to act as
// one, but no other may have become known.
func (v View) StillStands(decision Decision, primary string) bool {
	if v.OwnObservation.Primary != "" && v.OwnObservation.Primary != primary {
		return false
	}
	if decision == Replace {
		v.OwnObservation.Failing = v.OwnObservation.Failing || v.OwnObservation.Primary == ""
		others := make([]Observation, 0, len(v.Others))
		for _, o := range v.Others {
			o.Failing = o.Failing || o.NoPrimary
			others = append(others, o)
		}
		v.Others = others
	}
	return v.Decide() == decision
}

// HasQuorum reports whether more than half of the verifier VMs that were heard from
// recently aren't silent and can use the primary of this VM's observation. This VM counts
// if it is a verifier. While HasQuorum is true, that primary hasn't been replaced: a
// majority that can't use it waits for FenceDelay, and any two majorities share a VM.
func (v View) HasQuorum() bool {
	if v.FleetUnknown {
		return false
	}
	verifiers, supporting := len(v.Others), 0
	if v.IsVerifier {
		verifiers++
		if !v.OwnObservation.Failing {
			supporting++
		}
	}
	for _, o := range v.Others {
		if !o.Silent && !o.Failing && o.Primary == v.OwnObservation.Primary {
			supporting++
		}
	}
	return 2*supporting > verifiers
}

// failingVMs returns the VMs that can't use the primary, including this one.
func (v View) failingVMs() []string {
	list := []string{v.VM}
	for _, o := range v.Others {
		if o.Failing && !o.Silent && (o.Primary == v.OwnObservation.Primary || o.Primary == "" || v.OwnObservation.Primary == "") {
			list = append(list, o.VM)
		}
	}
	return list
}

const (
	// replaceStagger is how much longer each VM waits than the VM ranked before it, before it
	// replaces a primary: the duration of the slowest promotion plus the time to announce it.
	replaceStagger = 1500 * time.Millisecond
	// handOverStagger is the same for a primary that is leaving or no longer listed. It is
	// longer because the times at which two VMs learn of that differ by up to one polling
	// interval of the platform's list.
	handOverStagger = 3 * time.Second
)

// ActionDelay returns how long the decision must have been unchanged before this VM acts,
// so that one VM acts first, and the next one only if that attempt had no effect.
func (v View) ActionDelay() time.Duration {
	if v.OwnObservation.Failing {
		return v.FenceDelay + time.Duration(v.Rank())*replaceStagger
	}
	return time.Duration(v.Rank()) * handOverStagger
}

// Rank returns how many VMs go before this one among those that may carry out the decision.
func (v View) Rank() int {
	rank := 0
	ownHash := v.rankHash(v.VM)
	for _, vm := range v.rankedVMs() {
		if otherHash := v.rankHash(vm); otherHash > ownHash || otherHash == ownHash && vm < v.VM {
			rank++
		}
	}
	return rank
}

// rankedVMs returns the VMs that may carry out the decision and are therefore ranked. This
// VM may be missing from the list, which doesn't change its rank.
func (v View) rankedVMs() []string {
	if v.OwnObservation.Failing {
		return v.failingVMs()
	}
	var list []string
	for _, o := range v.Others {
		if !o.Silent {
			list = append(list, o.VM)
		}
	}
	return list
}

// rankHash returns the value by which VMs are ranked. It includes the group, so that
// different groups are handled by different VMs.
func (v View) rankHash(vm string) uint64 { return xxhash.Sum64String(v.Group + "/" + vm) }

// Replica is the state that a replica reports when a new primary is chosen.
type Replica struct {
	Server string
	// Received is the end of the part of the log that the replica has.
	Received LogEnd
	// Leaving means that the replica is shutting down; it is chosen only if it has to be.
	Leaving bool
	// OldPrimary means that the server is the primary that is to be replaced: it counts as one that
	// answered, but isn't chosen.
	OldPrimary bool
}

// LogEnd is the position of the last entry in a log.
type LogEnd struct{ Term, Offset int64 }

// String returns "term/offset".
func (p LogEnd) String() string { return fmt.Sprintf("%d/%d", p.Term, p.Offset) }

func (p LogEnd) isBefore(q LogEnd) bool {
	return p.Term < q.Term || p.Term == q.Term && p.Offset < q.Offset
}

// AnswersNeeded returns how many of a group's replicas must have answered so that each commit that was confirmed by
// syncReplicas of them is on one that has. It is at least one.
func AnswersNeeded(replicas, syncReplicas int) int { return max(replicas-syncReplicas+1, 1) }

// PickReplica returns the replica whose promotion loses the fewest entries, or false if too
// few of the total replicas answered. If each commit was confirmed by at least syncReplicas
// replicas, enough must have answered that every commit is on one of them. If syncReplicas
// is 0, any replica that isn't leaving goes before one that is whose log ends in the same term, even if more
// entries are lost.
func PickReplica(answered []Replica, total, syncReplicas int) (Replica, bool) {
	if len(answered) == 0 || syncReplicas > 0 && len(answered) < AnswersNeeded(total, syncReplicas) {
		return Replica{}, false
	}
	var best Replica
	found := false
	for _, r := range answered {
		if !found || isBetter(r, best, syncReplicas) {
			best, found = r, true
		}
	}
	return best, found
}

// isBetter reports whether r is a better choice than best: its log ends later, by term and
// then offset. Of two logs that end alike, that of a replica that isn't leaving is better,
// then that of the server with the lower name. If commits aren't confirmed by replicas, a
// replica that isn't leaving goes before one that is, unless its log ends in an older term.
func isBetter(r, best Replica, syncReplicas int) bool {
	if r.Received.Term != best.Received.Term {
		return r.Received.Term > best.Received.Term
	}
	if syncReplicas == 0 && r.Leaving != best.Leaving {
		return best.Leaving
	}
	if r.Received == best.Received {
		if r.Leaving != best.Leaving {
			return best.Leaving
		}
		return r.Server < best.Server
	}
	return best.Received.isBefore(r.Received)
}
