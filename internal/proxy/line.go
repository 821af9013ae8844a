package proxy

import "time"

// line is one workspace's part of a pool.
type line struct {
	workspace *Workspace
	// idle connections, that given back last at the end.
	idle []*Conn
	// open counts the workspace's idle, used and opening connections.
	open, opening int
	// waiting tickets, in the order in which they came.
	waiting []*ticket
	// use is how long connections are taken for, on average.
	use time.Duration
	// usedAt is when one was last taken or given back.
	usedAt time.Time
}

// ticket is a request that waits.
type ticket struct {
	// granted gets the connection, or the reason why there is none.
	granted chan grant
	since   time.Time
}

type grant struct {
	conn *Conn
	err  error
}

// outlook is what a request finds in a pool, for choosing between pools.
type outlook struct {
	// ready connections of the workspace.
	ready bool
	// wait is how long until one is, with the time to open one where needed.
	wait time.Duration
}

func (p *Pool) outlook(w WorkspaceName) outlook {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.lines[w]
	if l != nil && len(l.idle) > 0 {
		return outlook{ready: true}
	}
	return outlook{wait: p.wait(l)}
}

// wait estimates how long one more request of a line would wait; p.mu is held.
func (p *Pool) wait(l *line) time.Duration {
	fresh := p.handshakeTime()*time.Duration(p.opening+1) + max(time.Until(p.notBefore), 0)
	if l == nil || p.working(l) <= 0 {
		if !p.roomy() && p.rested("") == nil {
			fresh *= 2
		}
		return fresh
	}
	own := l.use * time.Duration(len(l.waiting)+1) / time.Duration(p.working(l))
	return min(own, fresh)
}

// working counts a line's connections that are open and don't rest; p.mu is held.
func (p *Pool) working(l *line) int {
	_, rest := p.rests.long(l.workspace.Name)
	return l.open - l.opening - rest
}

func (p *Pool) line(w *Workspace) *line {
	if p.lines == nil {
		p.lines = map[WorkspaceName]*line{}
	}
	l := p.lines[w.Name]
	if l == nil {
		l = &line{}
		p.lines[w.Name] = l
	}
	l.workspace, l.usedAt = w, time.Now()
	return l
}

// neediest is the line whose first request has waited longest, of those that need a
// further connection, nil if none does; p.mu is held.
func (p *Pool) neediest() *line {
	var neediest *line
	for _, l := range p.lines {
		if len(l.waiting) <= l.opening {
			continue
		}
		if p.soon(l) {
			continue
		}
		if neediest == nil || l.waiting[0].since.Before(neediest.waiting[0].since) {
			neediest = l
		}
	}
	return neediest
}

// soon tells whether the line's own connections are likely free before a new one would
// be open; p.mu is held.
func (p *Pool) soon(l *line) bool {
	own := p.working(l)
	if own <= 0 || l.use == 0 || time.Since(l.waiting[0].since) >= p.handshakeTime() {
		return false
	}
	return l.use*time.Duration(len(l.waiting))/time.Duration(own) < p.handshakeTime()
}

// rested is the line of another workspace whose oldest idle connection has rested
// longest, nil if none has for long enough; p.mu is held.
func (p *Pool) rested(not WorkspaceName) *line {
	var best *line
	for name, l := range p.lines {
		if name == not || len(l.idle) == 0 || time.Since(l.idle[0].idleSince) < restLeast {
			continue
		}
		if best == nil || l.idle[0].idleSince.Before(best.idle[0].idleSince) {
			best = l
		}
	}
	return best
}

// starving tells whether a workspace without any connection has waited longer than
// opening one takes, with no other place than one of the line's; p.mu is held.
func (p *Pool) starving(l *line) bool {
	if p.roomy() {
		return false
	}
	for _, other := range p.lines {
		if other != l && other.open == 0 && len(other.waiting) > 0 && time.Since(other.waiting[0].since) > p.handshakeTime() {
			return p.opening < maxOpening
		}
	}
	return false
}
