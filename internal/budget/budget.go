// Package budget limits what sessions of clients that nobody controls may use of the process's memory
// and descriptors. Bytes are charged before they are held and given back when they are released. When
// they run out, the sessions that read nothing are closed first, then the largest that make no progress,
// and never one inside its limits.
package budget

import (
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
)

// Reason is why a limit acted.
type Reason string

// The reasons.
const (
	// ConnectionRefused is a connection that was closed because its class has no room.
	ConnectionRefused Reason = "connection-refused"
	// ConnectionClosed is a session that was closed in favour of another connection.
	ConnectionClosed Reason = "connection-closed"
	// MemoryClosed is a session that was closed in favour of others that wait for memory.
	MemoryClosed Reason = "memory-closed"
	// MemoryRefused is a message for which there was no memory in time.
	MemoryRefused Reason = "memory-refused"
	// KeepRefused is a value that a session may not keep.
	KeepRefused Reason = "keep-refused"
)

// reasons are all reasons, in the order in which they are exported.
var reasons = []Reason{ConnectionRefused, ConnectionClosed, MemoryClosed, MemoryRefused, KeepRefused}

// Budget is what all sessions of a process share. Its exported fields are set before its first use.
type Budget struct {
	Limits Limits
	Logger log.Logger

	mu       sync.Mutex
	accounts map[Class]map[*Account]bool
	// held is the sum of what the accounts hold, kept the part of it that they keep between requests.
	held, kept Bytes
	// waiters wait for memory, in order of arrival.
	waiters []*waiter
	counts  map[Reason]int64
	// checks counts the looks for sessions to close while others wait for memory, at most one in
	// recheckInterval; checkedAt is when the last one was.
	checks    int
	checkedAt time.Time
	// loggedAt is when each reason was last logged; unlogged counts its occurrences since then.
	loggedAt map[Reason]time.Time
	unlogged map[Reason]int64
}

// waiter is a session that waits for memory.
type waiter struct {
	account *Account
	needed  Bytes
	// granted is closed once the amount is charged.
	granted chan struct{}
}

// Account is what one session holds. Its methods may be called on a nil Account, which has no limits.
type Account struct {
	budget *Budget
	class  Class
	// shut closes the session's connection.
	shut func()

	// held and kept are parts of the budget's. activity is what the session has been doing since
	// progressAt. ended is true once the session was closed for others or has ended. All are guarded by
	// the budget's mu.
	held, kept Bytes
	activity   Activity
	progressAt time.Time
	// checksBefore is the budget's checks at progressAt.
	checksBefore int
	ended        bool
}

// Open charges a connection of a class and returns its account, or false if there is no room for it.
// The function shut closes the connection; it is called if the session is closed in favour of others,
// maybe from another goroutine.
func (b *Budget) Open(c Class, shut func()) (*Account, bool) {
	a := &Account{budget: b, class: c, shut: shut}
	b.mu.Lock()
	defer b.mu.Unlock()
	a.move(Starting)
	b.init()
	if b.accounts[c] == nil {
		b.accounts[c] = map[*Account]bool{}
	}
	if len(b.accounts[c]) >= b.Limits.Connections[c] && !b.closeForConnection(c) {
		b.record(ConnectionRefused, c, Starting)
		return nil, false
	}
	b.accounts[c][a] = true
	return a, true
}

// init makes the maps. b.mu must be held.
func (b *Budget) init() {
	if b.accounts == nil {
		b.accounts, b.counts = map[Class]map[*Account]bool{}, map[Reason]int64{}
		b.loggedAt, b.unlogged = map[Reason]time.Time{}, map[Reason]int64{}
	}
}

// closeForConnection closes a session of a class, if one may be closed. b.mu must be held.
func (b *Budget) closeForConnection(c Class) bool {
	accounts, sessions := b.sessions(c)
	i := orderForConnection(sessions)
	if i < 0 {
		return false
	}
	b.close(accounts[i], ConnectionClosed)
	return true
}

// sessions returns the accounts of some classes with what the order of closing depends on. b.mu must be
// held.
func (b *Budget) sessions(classes ...Class) (accounts []*Account, sessions []session) {
	now := time.Now()
	for _, c := range classes {
		for a := range b.accounts[c] {
			accounts = append(accounts, a)
			quiet := now.Sub(a.progressAt)
			watched := min(quiet, time.Duration(b.checks-a.checksBefore)*recheckInterval)
			sessions = append(sessions, session{class: c, activity: a.activity, quiet: quiet, watched: watched, held: a.held})
		}
	}
	return accounts, sessions
}

// close closes a session in favour of others. What it holds is given back at once, since its goroutine
// ends at the next use of its connection. b.mu must be held.
func (b *Budget) close(a *Account, r Reason) {
	b.record(r, a.class, a.activity)
	b.remove(a)
	a.shut()
}

// remove ends an account and gives back what it holds. b.mu must be held.
func (b *Budget) remove(a *Account) {
	if a.ended {
		return
	}
	a.ended = true
	b.held, b.kept = b.held-a.held, b.kept-a.kept
	a.held, a.kept = 0, 0
	delete(b.accounts[a.class], a)
	b.grant()
}

// fits reports whether an account can be charged an amount. Clients' messages leave a part of the total to
// the answers of servers, for which messages may be waiting in turn. An amount above the limit fits if
// nothing else is held but what sessions keep. b.mu must be held.
func (b *Budget) fits(a *Account, n Bytes) bool {
	limit := b.Limits.Total
	if !a.isUnlimited() {
		limit -= limit / answerPart
	}
	return b.held-(a.held-a.kept) == b.kept || b.held+n <= limit
}

// answerPart is the part of the total that messages leave to answers, as its divisor.
const answerPart = 4

// grant charges the amounts of the waiters that fit, in order of arrival. b.mu must be held.
func (b *Budget) grant() {
	for len(b.waiters) > 0 {
		w := b.waiters[0]
		if !w.account.ended && !b.fits(w.account, w.needed) {
			return
		}
		b.waiters = b.waiters[1:]
		if !w.account.ended {
			w.account.charge(w.needed)
		}
		close(w.granted)
	}
}

// closeForBytes closes sessions until the first waiter's amount fits, if there are some that may be
// closed. b.mu must be held.
func (b *Budget) closeForBytes() {
	if len(b.waiters) == 0 {
		return
	}
	if now := time.Now(); now.Sub(b.checkedAt) >= recheckInterval {
		b.checks, b.checkedAt = b.checks+1, now
	}
	needed := b.held + b.waiters[0].needed - b.Limits.Total
	if !b.waiters[0].account.isUnlimited() {
		needed += b.Limits.Total / answerPart
	}
	accounts, sessions := b.sessions(Callers, Links)
	for _, i := range orderForBytes(sessions, needed) {
		b.close(accounts[i], MemoryClosed)
	}
}

// enqueue adds a waiter: an answer's before those of messages, since it holds a connection to a server.
// b.mu must be held.
func (b *Budget) enqueue(w *waiter) {
	if !w.account.isUnlimited() {
		b.waiters = append(b.waiters, w)
		return
	}
	first := slices.IndexFunc(b.waiters, func(other *waiter) bool { return !other.account.isUnlimited() })
	if first < 0 {
		first = len(b.waiters)
	}
	b.waiters = slices.Insert(b.waiters, first, w)
}

// forget removes a waiter that gives up. It returns false if its amount was charged meanwhile. b.mu must
// be held.
func (b *Budget) forget(w *waiter) bool {
	i := slices.Index(b.waiters, w)
	if i < 0 {
		return false
	}
	b.waiters = slices.Delete(b.waiters, i, i+1)
	b.grant()
	return true
}
