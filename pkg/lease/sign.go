package lease

import "time"

// Run is one start of a named process, as Hears tells it.
type Run string

// sign is an answer of from, which was asked at the time at, while it was heard of in
// run or wasn't heard of.
type sign struct {
	from  Member
	heard bool
	run   Run
	at    time.Duration
}

// hear gives what is heard of m, to be compared with its answers.
func (l *Lease) hear(m Member) sign {
	s := sign{from: m, at: l.now()}
	if l.Hears != nil {
		s.run, s.heard = l.Hears(m.Name)
	}
	return s
}

// stands tells whether the last answer needs no other one yet: it came from the process
// that is heard of now, or from one that isn't heard of by this member, a short while ago.
func (l *Lease) stands(now sign) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	last, age := l.sign, now.at-l.sign.at
	switch {
	case l.Hears == nil || last.from != now.from:
		return false
	case last.heard:
		return now.heard && now.run == last.run && age < l.poll()
	}
	return age < l.duration()
}
