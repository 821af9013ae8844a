// Package failover decides when a group's primary is replaced, and by whom.
//
// Each VM has an opinion of the primary and hears the others'. A primary is replaced when
// more than half of the VMs heard of lately can't use it, so that a VM's own cut, pause or
// slowness never moves one; a silent VM counts against. Any number of VMs may act: they
// take turns by rank, and fencing tokens make all but the last of them harmless.
package failover

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Opinion is what one VM says of a group's primary.
type Observation struct {
	VM string
	// Primary is whom the VM takes for it; empty if it knows none.
	Primary string
	// Failing is true while the VM can't use it, or knows none.
	Failing bool
	// Silent VMs were heard of lately but not at present.
	Silent bool
}

// View is all that one VM's decision rests on.
type View struct {
	VM, Group string
	// Own is this VM's opinion.
	OwnObservation Observation
	// Others has each other VM that isn't ending.
	Others []Observation
	// Leaving primaries have said that they end; Unlisted ones are no longer known to
	// the platform.
	PrimaryLeaving, PrimaryUnlisted bool
	// Watches tells whether this VM is one of those whose opinions count.
	IsVerifier bool
	// Fence is how long all VMs need to stop using a primary that most can't use. It is zero
	// where a promotion itself deposes the one before.
	FenceDelay time.Duration
}

// Verdict is what is to be done.
type Decision string

// The verdicts.
const (
	// Keep the primary.
	Keep Decision = "keep"
	// Replace a primary that can't be used.
	Replace Decision = "replace"
	// HandOver from a primary that works, losing nothing.
	HandOver Decision = "hand-over"
)

// Verdict decides.
func (v View) Decide() Decision {
	if v.OwnObservation.Failing && 2*len(v.failingVMs()) > len(v.Others)+1 {
		return Replace
	}
	if !v.OwnObservation.Failing && (v.PrimaryLeaving || v.PrimaryUnlisted) {
		return HandOver
	}
	return Keep
}

// Endorsed tells whether more than half of the VMs that were heard of lately are heard now
// and can use the same primary. While that is so, none has been put in its place: a majority
// that can't use it waits for Fence, and two majorities share a VM.
func (v View) HasQuorum() bool {
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

// agreeing are the VMs that can't use the primary, this one included.
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
	// replaceTurn is how much longer each rank waits to replace a primary: what the slowest
	// promotion takes, and the time to tell of it.
	replaceStagger = 1500 * time.Millisecond
	// handOverTurn is the same for a primary that leaves, of which VMs learn up to a reading
	// of the platform's list apart.
	handOverStagger = 3 * time.Second
)

// Wait is how long the verdict must have stood before this VM acts, so that one acts at
// first, and another when that comes to nothing.
func (v View) ActionDelay() time.Duration {
	rank := 0
	ownHash := v.rankHash(v.VM)
	for _, vm := range v.eligibleVMs() {
		if otherHash := v.rankHash(vm); otherHash > ownHash || otherHash == ownHash && vm < v.VM {
			rank++
		}
	}
	if v.OwnObservation.Failing {
		return v.FenceDelay + time.Duration(rank)*replaceStagger
	}
	return time.Duration(rank) * handOverStagger
}

// actors are the VMs that may act on the verdict.
func (v View) eligibleVMs() []string {
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

// weight spreads groups over VMs.
func (v View) rankHash(vm string) uint64 { return xxhash.Sum64String(v.Group + "/" + vm) }

// Replica is what a replica says of itself when a primary is sought.
type Replica struct {
	Server string
	// Received orders replicas by how much of the log they have.
	Received LogEnd
	// Leaving replicas are taken only if there is no other.
	Leaving bool
}

// Place is an end of a log.
type LogEnd struct{ Term, Offset int64 }

// String gives "term/offset".
func (p LogEnd) String() string { return fmt.Sprintf("%d/%d", p.Term, p.Offset) }

func (p LogEnd) less(q LogEnd) bool {
	return p.Term < q.Term || p.Term == q.Term && p.Offset < q.Offset
}

// Pick gives the replica that loses least, false if too few answered: with confirmed
// commits on at least sync replicas of all, so many must be heard that each commit is on
// one of them.
func PickReplica(answered []Replica, total, syncReplicas int) (Replica, bool) {
	if len(answered) == 0 || syncReplicas > 0 && len(answered) < total-syncReplicas+1 {
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

// better prefers the longer log; where no commit was confirmed by replicas, one that
// stays goes before one that leaves.
func isBetter(r, best Replica, syncReplicas int) bool {
	if syncReplicas == 0 && r.Leaving != best.Leaving {
		return best.Leaving
	}
	if r.Received == best.Received {
		if r.Leaving != best.Leaving {
			return best.Leaving
		}
		return r.Server < best.Server
	}
	return best.Received.less(r.Received)
}
