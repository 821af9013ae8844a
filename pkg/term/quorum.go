package term

import (
	"slices"

	"github.com/savoryramp/savoryramp/pkg/position"
)

// Majority of a group of size servers.
func Majority(groupSize int) int { return groupSize/2 + 1 }

// Acknowledgement says when a commit in a term may be told as done. The statuses it
// takes may be old: what a server had received in a term it had before any fence.
type AcknowledgementRule struct {
	Term    position.Term
	Primary ServerName
	// Size of the group, not of the statuses known.
	GroupSize int
}

// Confirmed gives the highest position of the term that a majority of the group, the
// primary among it, has received in that term; false if there is none.
func (a AcknowledgementRule) ConfirmedPosition(statuses []Status) (position.Position, bool) {
	offsets := map[ServerName]position.Offset{}
	for _, s := range statuses {
		if s.Received.Term == a.Term {
			offsets[s.Server] = max(offsets[s.Server], s.Received.Offset)
		}
	}
	primary, ok := offsets[a.Primary]
	if !ok || len(offsets) < Majority(a.GroupSize) {
		return position.Position{}, false
	}
	sorted := make([]position.Offset, 0, len(offsets))
	for _, o := range offsets {
		sorted = append(sorted, o)
	}
	slices.Sort(sorted)
	majorityOffset := sorted[len(sorted)-Majority(a.GroupSize)]
	return position.Position{Term: a.Term, Offset: min(majorityOffset, primary)}, true
}

// QuorumFloor gives a position at or past every write acknowledged before the first
// of the statuses was asked for: the highest received of a majority of the group,
// false without a majority. Each acknowledged write is held by a majority, and any
// two majorities meet.
func QuorumFloor(statuses []Status, groupSize int) (position.Position, bool) {
	seen := map[ServerName]bool{}
	var floor position.Position
	for _, s := range statuses {
		seen[s.Server] = true
		floor = position.Max(floor, s.Received)
	}
	return floor, len(seen) >= Majority(groupSize)
}

// choose picks the server to promote among the fenced, a majority of size. It is
// the one that received most; avoided only if another has all that may have been
// acknowledged: a position that fenced servers and all the unknown ones together
// hold in a majority.
func choosePrimary(fenced []Status, groupSize int, avoid ServerName) Status {
	sorted := slices.Clone(fenced)
	slices.SortStableFunc(sorted, func(a, b Status) int { return b.Received.Compare(a.Received) })
	unknown := groupSize - len(sorted)
	acknowledgedBound := sorted[max(Majority(groupSize)-unknown, 1)-1].Received
	for _, s := range sorted {
		if s.Server != avoid && s.Received.Compare(acknowledgedBound) >= 0 {
			return s
		}
	}
	return sorted[0]
}
