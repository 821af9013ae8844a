package failover

import "time"

// AnswerTime is how long after the first attempt at a promotion a VM insists on the answers of more than
// half of the listed servers, and on a log that ends in the newest known term. The platform removes a server
// that is gone from its list within that time.
const AnswerTime = 4 * time.Second

// maxAnswerAge is how old the servers' answers may be when a promotion is ordered.
const maxAnswerAge = 500 * time.Millisecond

// Election is what one VM knows when it chooses the server to promote.
type Election struct {
	// Listed is the number of servers that the platform lists, including the old primary.
	Listed int
	// Replicas is the number of servers that may hold confirmed commits, listed or not, without the primary (Roster).
	Replicas int
	// Answered has the servers that answered in this attempt.
	Answered []Replica
	// SyncReplicas is the number of replicas that confirm each commit.
	SyncReplicas int
	// NewestTerm is the newest term that any VM, any server that answered or the promoter's row has told.
	NewestTerm int64
	// SinceFirstAttempt is the time since this VM's first attempt to carry out the same decision.
	SinceFirstAttempt time.Duration
}

// Refusal is why no server may be promoted now. It is empty if one may.
type Refusal string

// The possible refusals.
const (
	// TooFewServers means that no more than half of the listed servers answered.
	TooFewServers Refusal = "too-few-servers"
	// Unconfirmed means that too few replicas answered to know that each confirmed commit is on one of
	// them, or none did.
	Unconfirmed Refusal = "unconfirmed"
	// OlderTerm means that the log of each server that may be promoted ends in a term before the newest
	// known one.
	OlderTerm Refusal = "older-term"
)

// Choose returns the server whose promotion loses the fewest entries, or why none may be promoted. A
// server that has a newer term and answered is never rolled back, one that doesn't answer only after
// AnswerTime.
func (e Election) Choose() (Replica, Refusal) {
	var candidates []Replica
	var newestLog int64
	for _, r := range e.Answered {
		newestLog = max(newestLog, r.Received.Term)
		if !r.OldPrimary {
			candidates = append(candidates, r)
		}
	}
	insists := e.SinceFirstAttempt < AnswerTime
	if insists && 2*len(e.Answered) <= e.Listed {
		return Replica{}, TooFewServers
	}
	chosen, found := PickReplica(candidates, e.Replicas, e.SyncReplicas)
	switch {
	case !found:
		return Replica{}, Unconfirmed
	case chosen.Received.Term < newestLog:
		return Replica{}, OlderTerm
	case insists && chosen.Received.Term < e.NewestTerm && len(e.Answered) < e.Listed:
		return Replica{}, OlderTerm
	}
	return chosen, ""
}

// IsDecisive reports whether a server may be promoted whatever the others answer, so that an attempt needs no
// further answers.
func (e Election) IsDecisive() bool {
	e.SinceFirstAttempt = 0
	_, refused := e.Choose()
	return refused == ""
}

// HoldsAfter reports whether the choice of a server still holds some time after the servers were asked, when
// a newest term is known. Otherwise they have to be asked again.
func (e Election) HoldsAfter(age time.Duration, chosen Replica, newestTerm int64) bool {
	return age <= maxAnswerAge && (newestTerm <= e.NewestTerm || newestTerm <= chosen.Received.Term)
}
