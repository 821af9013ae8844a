package heartbeat

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/savoryramp/savoryramp/internal/clock"
)

// MembershipGeneration returns a number that increases whenever another VM joins, falls silent or
// starts to leave.
func (f *Fleet) MembershipGeneration() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.membershipGeneration
}

// selectionTTL is how long a selection of VMs is cached while no VM joins or leaves.
const selectionTTL = time.Second

// selection is a cached result of SelectVMs.
type selection struct {
	membershipGeneration uint64
	computedAt           clock.Instant
	// names has the selected VMs.
	names map[VMName]bool
}

// SelectVMs selects n VMs for a purpose by rendezvous hashing, among those that count (failover.Sighting):
// that are live or recently fell silent, or that are listed and may be running although this VM hasn't heard
// them yet since its start, its last pause or its last isolation. It reports whether this VM is selected and returns the names of all
// selected VMs, which must not be modified.
func (f *Fleet) SelectVMs(purpose string, n int) (bool, map[VMName]bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := clock.Now()
	cached := f.selections[purpose]
	if cached.names == nil || cached.membershipGeneration != f.membershipGeneration || now.Sub(cached.computedAt) > selectionTTL {
		cached = selection{membershipGeneration: f.membershipGeneration, computedAt: now, names: f.highestScored(purpose, n, now)}
		if f.selections == nil {
			f.selections = map[string]selection{}
		}
		f.selections[purpose] = cached
	}
	return cached.names[f.VM], cached.names
}

// highestScored returns the n VMs with the highest hash scores for a purpose. f.mu must be
// held.
func (f *Fleet) highestScored(purpose string, n int, now clock.Instant) map[VMName]bool {
	type candidate struct {
		name  VMName
		score uint64
	}
	// best has the candidates with the highest scores, highest first.
	best := make([]candidate, 0, n+1)
	key := append([]byte(purpose), '/')
	consider := func(name VMName) {
		c := candidate{name, xxhash.Sum64(append(key, name...))}
		if len(best) == n && c.score <= best[n-1].score {
			return
		}
		i, _ := slices.BinarySearchFunc(best, c, func(a, b candidate) int { return cmp.Compare(b.score, a.score) })
		best = slices.Insert(best, i, c)
		best = best[:min(len(best), n)]
	}
	consider(f.VM)
	observing := f.observingTime(now)
	for name, p := range f.peers {
		if p.sighting(now).Counts(observing) {
			consider(name)
		}
	}
	names := make(map[VMName]bool, n)
	for _, c := range best {
		names[c.name] = true
	}
	return names
}
