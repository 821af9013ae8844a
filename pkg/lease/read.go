package lease

import (
	"context"
	"fmt"
	"hash/fnv"
	"time"
)

const (
	// maxBackoffDoublings limits how often the delay doubles after failed reads.
	maxBackoffDoublings = 6
	// readRetriesPerPoll is the least number of attempts per PollInterval while reads fail.
	readRetriesPerPoll = 6
)

// isReadDue reports whether the row must be read: at the start, then every PollInterval,
// and every promiseTTL while another member is the holder without a successor, because
// this member may then take over. After a failed read an observer waits until nextReadAt,
// unless the row was read before and has no successor. Holder and successor don't wait,
// because they must see claims in time.
func (l *Lease) isReadDue() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	sinceRead := l.now() - l.lastReadAt
	canTakeOver := l.row.Successor == (Member{}) && l.row.Holder != l.Self
	if l.isBlockedObserver() && !(canTakeOver && l.lastReadAt > 0) && l.now() < l.nextReadAt {
		return false
	}
	return l.lastReadAt == 0 || sinceRead >= l.pollPeriod() || canTakeOver && sinceRead >= l.promiseTTL()
}

// isBlockedObserver reports whether this member is an observer whose last periodic read
// failed. Such an observer takes no action until a read succeeds.
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

// delayNextRead doubles the delay after each failed read. Up to half of it is jitter, from
// a hash of the member and the attempt, so that members don't all read at once.
func (l *Lease) delayNextRead() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delay := min(l.renewInterval()<<min(l.failedReads, maxBackoffDoublings), max(l.pollPeriod()/readRetriesPerPoll, l.renewInterval()))
	l.failedReads++
	jitterHash := fnv.New32a()
	_, _ = fmt.Fprint(jitterHash, l.Self, l.failedReads)
	l.nextReadAt = l.now() + delay/2 + delay/2*time.Duration(jitterHash.Sum32()%1000)/1000
}
