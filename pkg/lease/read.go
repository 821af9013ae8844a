package lease

import (
	"context"
	"fmt"
	"hash/fnv"
	"time"
)

const (
	// maxDoublings bounds the doublings of the pause after a reading that failed.
	maxDoublings = 6
	// triesInPoll is how often at least a reading that fails is tried in each Poll.
	triesInPoll = 6
)

// readDue tells whether the row is to be read: once at first, then every Poll, and
// while a row without a successor may have ended. After a failure a third member waits,
// but for such a row; holder and successor don't, since they are to see claims in time.
func (l *Lease) readDue() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	passed := l.now() - l.read
	open := l.row.Successor == (Member{}) && l.row.Holder != l.Self
	if l.blind() && !(open && l.read > 0) && l.now() < l.readAfter {
		return false
	}
	return l.read == 0 || passed >= l.poll() || open && passed >= l.wait()
}

// blind tells whether this is a third member whose last reading failed. It does nothing
// then until one succeeds.
func (l *Lease) blind() bool {
	return l.failed > 0 && l.row.Holder != l.Self && l.row.Successor != l.Self
}

func (l *Lease) reread(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, l.bound())
	defer cancel()
	row, err := l.Table.Read(ctx)
	if err != nil {
		return err
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.learn(row)
	l.read = max(l.now(), 1)
	l.failed, l.readAfter = 0, 0
	return nil
}

// backOff doubles the pause after each reading that failed; up to half of it is by lot,
// so that the members of a lease don't all read at once.
func (l *Lease) backOff() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	pause := min(l.every()<<min(l.failed, maxDoublings), max(l.poll()/triesInPoll, l.every()))
	l.failed++
	lot := fnv.New32a()
	_, _ = fmt.Fprint(lot, l.Self, l.failed)
	l.readAfter = l.now() + pause/2 + pause/2*time.Duration(lot.Sum32()%1000)/1000
}
