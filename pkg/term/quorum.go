package term

import (
	"slices"

	"github.com/savoryramp/savoryramp/pkg/position"
)

// Majority returns how many servers are a majority of a group of groupSize.
func Majority(groupSize int) int { return groupSize/2 + 1 }

// AcknowledgementRule decides which commits of a term may be acknowledged. It may be given
// outdated statuses: what a server has received in a term, it received before it was
// fenced with a later one.
type AcknowledgementRule struct {
	Term    position.Term
	Primary ServerName
	// GroupSize is the number of servers in the group, not of known statuses.
	GroupSize int
}

// ConfirmedPosition returns the highest position that a majority of the group, including
// the primary, has received in the term, or false if there is none.
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

// QuorumFloor returns a position at or after every write that was acknowledged before the
// first of the statuses was requested: the highest one received within a majority of the
// group. It returns false if there are fewer statuses than a majority. Each acknowledged
// write is stored on a majority, and any two majorities overlap.
func QuorumFloor(statuses []Status, groupSize int) (position.Position, bool) {
	seen := map[ServerName]bool{}
	var floor position.Position
	for _, s := range statuses {
		seen[s.Server] = true
		floor = position.Max(floor, s.Received)
	}
	return floor, len(seen) >= Majority(groupSize)
}

// choosePrimary returns the server to promote among the fenced ones, which are a majority
// of the group: the server with the most up-to-date log (highest term, then highest
// offset), except avoid if another server has every write that may have been acknowledged.
// These are the writes up to the highest position that a majority holds under the
// assumption that each server that wasn't fenced holds it.
func choosePrimary(fenced []Status, groupSize int, avoid ServerName) Status {
	sorted := slices.Clone(fenced)
	slices.SortStableFunc(sorted, func(a, b Status) int { return b.Received.Compare(a.Received) })
	unfenced := groupSize - len(sorted)
	acknowledgedBound := sorted[max(Majority(groupSize)-unfenced, 1)-1].Received
	for _, s := range sorted {
		if s.Server != avoid && s.Received.Compare(acknowledgedBound) >= 0 {
			return s
		}
	}
	return sorted[0]
}
