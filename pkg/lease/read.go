package lease

import (
	"context"
	"fmt"
	"hash/fnv"
	"time"
)

const (
	// maxDoublings bounds the doublings of the pause after a reading that failed.
	maxBackoffDoublings = 6
	// triesInPoll is how often at least a reading that fails is tried in each Poll.
	readRetriesPerPoll = 6
)

// readDue tells whether the row is to be read: once at first, then every Poll, and
// while a row without a successor may have ended. After a failure a third member waits,
// but for such a row; holder and successor don't, since they are to see claims in time.
func (l *Lease) isReadDue() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	sinceRead := l.now() - l.lastReadAt
	canTakeOver := l.row.Successor == (Member{}) && l.row.Holder != l.Self
	if l.isBlockedObserver() && !(canTakeOver && l.lastReadAt > 0) && l.now() < l.nextReadAt {
		return false
	}
	return l.lastReadAt == 0 || sinceRead >= l.pollInterval() || canTakeOver && sinceRead >= l.takeoverDelay()
}

// blind tells whether this is a third member whose last reading failed. It does nothing
// then until one succeeds.
func (l *Lease) isBlockedObserver() bool {
	return l.failedReads > 0 && l.row.Holder != l.Self && l.row.Successor != l.Self
}

func (l *Lease) readRow(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, l.callTimeout())
	defer cancel()
	row, err := l.Table.Read(ctx)
	if err != nil {
		return err
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.updateRow(row)
	l.lastReadAt = max(l.now(), 1)
	l.failedReads, l.nextReadAt = 0, 0
	return nil
}

// backOff doubles the pause after each reading that failed; up to half of it is by lot,
// so that the members of a lease don't all read at once.
func (l *Lease) delayNextRead() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delay := min(l.renewInterval()<<min(l.failedReads, maxBackoffDoublings), max(l.pollInterval()/readRetriesPerPoll, l.renewInterval()))
	l.failedReads++
	jitterHash := fnv.New32a()
	_, _ = fmt.Fprint(jitterHash, l.Self, l.failedReads)
	l.nextReadAt = l.now() + delay/2 + delay/2*time.Duration(jitterHash.Sum32()%1000)/1000
}
