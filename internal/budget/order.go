package budget

import (
	"cmp"
	"slices"
	"time"
)

// Activity is what a session is doing.
type Activity string

// The activities.
const (
	// Starting is before the session's first request, or the end of its login.
	Starting Activity = "starting"
	// Idle is between requests.
	Idle Activity = "idle"
	// Receiving is while a request is being received.
	Receiving Activity = "receiving"
	// Serving is while a request is served.
	Serving Activity = "serving"
	// Sending is while an answer is being sent.
	Sending Activity = "sending"
)

// session is what the order of closing depends on.
type session struct {
	class    Class
	activity Activity
	// quiet is the time since the session's activity changed or it made progress.
	quiet time.Duration
	// watched is the part of quiet in which others waited for memory and this process ran. After a pause
	// of the process, all sessions have been quiet.
	watched time.Duration
	held    Bytes
}

// rank orders the sessions that may be closed; lower ones first. Sessions of rank inside stay open.
type rank int

const (
	readsNothing rank = iota + 1
	sendsNothing
	notStarted
	unused
	inside
)

// rankForBytes returns the rank of a session if others wait for memory. Only a session that makes no
// progress with a message or answer is outside its limits: what it keeps is refused before it exceeds
// them.
func (s session) rankForBytes() rank {
	switch {
	case s.held == 0 || s.watched < StallTime:
		return inside
	case s.activity == Sending:
		return readsNothing
	case s.activity == Receiving:
		return sendsNothing
	}
	return inside
}

// rankForConnection returns the rank of a session if another connection of its class waits.
func (s session) rankForConnection() rank {
	switch {
	case s.activity == Sending && s.quiet >= StallTime:
		return readsNothing
	case s.activity == Receiving && s.quiet >= StallTime:
		return sendsNothing
	case s.activity == Starting:
		return notStarted
	case s.activity == Idle && (s.class == Pages || s.class == Links && s.quiet >= IdleLinkTime):
		return unused
	}
	return inside
}

// orderForBytes returns the indexes of the sessions to close until an amount is free: those that read
// nothing, then the largest. It returns none if closing all that may be closed doesn't free enough.
func orderForBytes(sessions []session, needed Bytes) []int {
	order := candidates(sessions, session.rankForBytes)
	slices.SortStableFunc(order, func(i, j int) int {
		a, b := sessions[i], sessions[j]
		return cmp.Or(cmp.Compare(a.rankForBytes(), b.rankForBytes()), cmp.Compare(b.held, a.held))
	})
	for n, i := range order {
		needed -= sessions[i].held
		if needed <= 0 {
			return order[:n+1]
		}
	}
	return order
}

// orderForConnection returns the index of the session to close for another connection: one that reads
// nothing, else one that sends nothing, else the one that has been starting or unused for longest. It
// returns -1 if none may be closed.
func orderForConnection(sessions []session) int {
	order := candidates(sessions, session.rankForConnection)
	if len(order) == 0 {
		return -1
	}
	return slices.MinFunc(order, func(i, j int) int {
		a, b := sessions[i], sessions[j]
		return cmp.Or(cmp.Compare(a.rankForConnection(), b.rankForConnection()), cmp.Compare(b.quiet, a.quiet))
	})
}

func candidates(sessions []session, rankOf func(session) rank) []int {
	var list []int
	for i, s := range sessions {
		if rankOf(s) != inside {
			list = append(list, i)
		}
	}
	return list
}
