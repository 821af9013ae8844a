package term

import (
	"slices"

	"github.com/savoryramp/savoryramp/pkg/position"
)

// Majority of a group of size servers.
func Majority(size int) int { return size/2 + 1 }

// Acknowledgement says when a commit in a term may be told as done. The statuses it
// takes may be old: what a server had received in a term it had before any fence.
type Acknowledgement struct {
	Term    position.Term
	Primary Server
	// Size of the group, not of the statuses known.
	Size int
}

// Confirmed gives the highest position of the term that a majority of the group, the
// primary among it, has received in that term; false if there is none.
func (a Acknowledgement) Confirmed(statuses []Status) (position.Position, bool) {
	offsets := map[Server]position.Offset{}
	for _, s := range statuses {
		if s.Received.Term == a.Term {
			offsets[s.Server] = max(offsets[s.Server], s.Received.Offset)
		}
	}
	primary, ok := offsets[a.Primary]
	if !ok || len(offsets) < Majority(a.Size) {
		return position.Position{}, false
	}
	sorted := make([]position.Offset, 0, len(offsets))
	for _, o := range offsets {
		sorted = append(sorted, o)
	}
	slices.Sort(sorted)
	kth := sorted[len(sorted)-Majority(a.Size)]
	return position.Position{Term: a.Term, Offset: min(kth, primary)}, true
}

// QuorumFloor gives a position at or past every write acknowledged before the first
// of the statuses was asked for: the highest received of a majority of the group,
// false without a majority. Each acknowledged write is held by a majority, and any
// two majorities meet.
func QuorumFloor(statuses []Status, size int) (position.Position, bool) {
	seen := map[Server]bool{}
	var floor position.Position
	for _, s := range statuses {
		seen[s.Server] = true
		floor = position.Max(floor, s.Received)
	}
	return floor, len(seen) >= Majority(size)
}

// choose picks the server to promote among the fenced, a majority of size. It is
// the one that received most; avoided only if another has all that may have been
// acknowledged: a position that fenced servers and all the unknown ones together
// hold in a majority.
func choose(fenced []Status, size int, avoid Server) Status {
	sorted := slices.Clone(fenced)
	slices.SortStableFunc(sorted, func(a, b Status) int { return b.Received.Compare(a.Received) })
	unknown := size - len(sorted)
	floor := sorted[max(Majority(size)-unknown, 1)-1].Received
	for _, s := range sorted {
		if s.Server != avoid && s.Received.Compare(floor) >= 0 {
			return s
		}
	}
	return sorted[0]
}
