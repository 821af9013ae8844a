package proxy

import (
	"context"
	"slices"
	"time"

	"github.com/savoryramp/savoryramp/internal/clock"
)

const (
	// stallTime is how long a commit must have waited, and no other one have been confirmed, until the server counts as
	// one that can't confirm commits now. Replicas confirm within milliseconds, and a replacement pauses them for less.
	stallTime = 500 * time.Millisecond
	// unconfirmedPart is the part of the connections, or of the places in service, that writes may hold then. The others
	// are left to reads.
	unconfirmedPart = 0.5
)

// unconfirmedWrites has the requests that write at a server whose commits are confirmed by replicas. While too few
// replicas receive the log, each commit holds its connection until its deadline. Further ones then wait in the VM, where
// they can be refused with the promise that nothing was done.
type unconfirmedWrites struct {
	// admitted counts the requests that may write and hold a connection, or are about to get one.
	admitted int
	// sentAt has when the unanswered commits were sent.
	sentAt map[*Conn]clock.Instant
	// confirmedAt is when a commit was last confirmed, and stalledSince since when none is, zero if commits are.
	confirmedAt, stalledSince clock.Instant
	// changed is closed and replaced when a request gives its connection up, or a commit is confirmed.
	changed chan struct{}
}

// isStalled reports whether the server confirms no commits now, and since when; p.mu is held.
func (p *Pool) isStalled() (clock.Instant, bool) {
	u := &p.unconfirmed
	if u.stalledSince == 0 {
		for _, at := range u.sentAt {
			if since := max(at, u.confirmedAt); clock.Since(since) >= stallTime && (u.stalledSince == 0 || since < u.stalledSince) {
				u.stalledSince = since
			}
		}
		if u.stalledSince != 0 {
			eventStalled.Log(p.Logger, "server", p.Server.ID, "waiting", len(u.sentAt), "since", clock.Since(u.stalledSince), "outcome", "stalled")
		}
	}
	return u.stalledSince, u.stalledSince != 0
}

// maxUnconfirmed returns how many requests may write while the server confirms no commits; p.mu is held.
func (p *Pool) maxUnconfirmed() int {
	n := p.Share().MaxOpen
	if p.Queue != nil {
		n = min(n, max(p.Server.Slots, defaultSlots))
	}
	return max(int(unconfirmedPart*float64(n)), 1)
}

// admitWrite waits until a request that writes may get a connection. It returns ErrBusy, at once if commits aren't
// expected to be confirmed by until, and ErrNoServer once the server isn't the primary any more.
func (p *Pool) admitWrite(ctx context.Context, until time.Time) error {
	for waited := false; ; waited = true {
		p.mu.Lock()
		since, stalled := p.isStalled()
		if !stalled || !p.AwaitsReplicas() || p.unconfirmed.admitted < p.maxUnconfirmed() {
			p.unconfirmed.admitted++
			p.mu.Unlock()
			return nil
		}
		if p.unconfirmed.changed == nil {
			p.unconfirmed.changed = make(chan struct{})
		}
		changed := p.unconfirmed.changed
		p.mu.Unlock()
		if waited && p.IsPrimary != nil && !p.IsPrimary() {
			return ErrNoServer.New("server %s is no longer the primary", p.Server.ID)
		}
		expectedIn := p.expectedStall(clock.Since(since))
		if remaining := time.Until(until); remaining <= 0 || !waited && expectedIn > remaining {
			return busyUntil(expectedIn, "server %s has confirmed no commit for %s", p.Server.ID, clock.Since(since).Round(time.Millisecond))
		}
		awaitChange(ctx, changed, min(time.Until(until), primaryPollInterval))
		if ctx.Err() != nil {
			return ErrBusy.Wrap(ctx.Err(), "server %s confirms no commits", p.Server.ID)
		}
	}
}

// refuseCommits fails the requests that wait for a connection and may commit, because the server isn't the primary any
// more. The group's mu may be held.
func (p *Pool) refuseCommits() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, wp := range p.workspacePools {
		wp.waiters = slices.DeleteFunc(wp.waiters, func(wt *waiter) bool {
			if wt.mayCommit {
				p.waiting--
				wt.result <- acquireResult{err: ErrNoServer.New("server %s is no longer the primary", p.Server.ID)}
			}
			return wt.mayCommit
		})
	}
}

// expectedStall returns how much longer the server is expected not to confirm commits.
func (p *Pool) expectedStall(lasted time.Duration) time.Duration {
	if p.ExpectedOutage == nil {
		return lasted / 4
	}
	return p.ExpectedOutage(lasted)
}

// leaveWrite ends what admitWrite began; p.mu is held.
func (p *Pool) leaveWrite() {
	p.unconfirmed.admitted--
	p.wakeWrites()
}

// wakeWrites lets the requests that wait in admitWrite try again; p.mu is held.
func (p *Pool) wakeWrites() {
	if p.unconfirmed.changed != nil {
		close(p.unconfirmed.changed)
		p.unconfirmed.changed = nil
	}
}

// beginCommit records that a connection is about to send a commit. It returns ErrBusy if that is the end of a
// transaction, and as many commits wait already as may while none is confirmed.
func (p *Pool) beginCommit(c *Conn) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	u := &p.unconfirmed
	if since, stalled := p.isStalled(); stalled && c.inTransaction && len(u.sentAt) >= p.maxUnconfirmed() {
		lasted := clock.Since(since)
		return busyUntil(p.expectedStall(lasted), "server %s has confirmed no commit for %s", p.Server.ID, lasted.Round(time.Millisecond))
	}
	if u.sentAt == nil {
		u.sentAt = map[*Conn]clock.Instant{}
	}
	u.sentAt[c] = clock.Now()
	return nil
}

// endCommit records the end of a commit, and whether it was confirmed.
func (p *Pool) endCommit(c *Conn, confirmed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	u := &p.unconfirmed
	// One that ends unconfirmed may be the oldest, which shows for how long none was confirmed.
	_, stalled := p.isStalled()
	delete(u.sentAt, c)
	if !confirmed {
		return
	}
	u.confirmedAt = clock.Now()
	if stalled {
		eventStalled.Log(p.Logger, "server", p.Server.ID, "waiting", len(u.sentAt), "since", clock.Since(u.stalledSince), "outcome", "confirmed")
		u.stalledSince = 0
		p.wakeWrites()
	}
}

// commits reports whether commands are answered only once replicas have received a commit: a write outside a
// transaction, or the end of a transaction that has written.
func (c *Conn) commits(p *profile, commands []Command) bool {
	f := lastForward(commands)
	if _, isCommit := f.Statement.(Commit); isCommit {
		return c.hasWritten
	}
	return !c.inTransaction && writes(p, f)
}

// lastForward returns the last command if that is a caller's statement.
func lastForward(commands []Command) Forward {
	if len(commands) == 0 {
		return Forward{}
	}
	f, _ := commands[len(commands)-1].(Forward)
	return f
}

// writes reports whether a command runs a statement that writes.
func writes(p *profile, f Forward) bool {
	switch s := f.Statement.(type) {
	case Write:
		return true
	case Execute:
		return p != nil && p.plans[s.Name].Writes
	}
	return false
}

// mayCommit reports whether a batch of another VM begins what may end with a commit.
func (b *Batch) mayCommit() bool {
	if len(b.Commands) == 0 {
		return false
	}
	switch c := b.Commands[0].(type) {
	case BeginAt:
		return !c.ReadOnly && len(b.Commands) == 1
	case Forward:
		return writes(&profile{plans: b.Plans}, c)
	}
	return false
}
