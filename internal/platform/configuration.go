package platform

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/joomcode/errorx"
	"go.opentelemetry.io/otel/metric"
)

// Sources of a document, as logged.
const (
	sourceTable = "table"
	sourceOffer = "offer"
	sourcePeer  = "peer"
)

const (
	// readTimeout bounds one reading of the newest document.
	readTimeout = 15 * time.Second
	// readSpacing is the least time between two readings, whatever peers tell.
	readSpacing = 50 * time.Millisecond
)

// ErrStopped means that the caller's context ended first.
var ErrStopped = errs.NewType("stopped")

// Configuration keeps the newest accepted document. The table decides which one that
// is; what peers tell is read at once, and taken from them while the platform is out.
type Configuration struct {
	Table Table
	Store Store
	// Every is the mean time between two readings of the table, above zero.
	Every  time.Duration
	Logger log.Logger
	// Meter measures the version in force and when the table was read; nil for none.
	Meter metric.Meter

	once sync.Once
	// wake holds a token when there is a reason to read before the next poll.
	wake chan struct{}

	mu sync.Mutex
	// current only ever moves to higher versions.
	current Snapshot
	// changed is closed and replaced when current moves.
	changed chan struct{}
	// known is the highest version heard of, accepted by the table or told by a peer.
	known pointer
	// read is when the reading that the table last answered began, zero for never.
	read time.Time
	// confirmed is the last of these that found nothing newer than what was in force
	// at its end.
	confirmed time.Time
	// lost is whether the last reading of the table failed.
	lost bool
	// missing is the last version whose text was reported as missing.
	missing DocumentVersion
}

// pointer names a document that may not have been read yet.
type pointer struct {
	version DocumentVersion
	hash    DocumentHash
	// accepted is whether the table has told it, rather than a peer.
	accepted bool
}

func (c *Configuration) start() {
	c.once.Do(func() {
		c.wake = make(chan struct{}, 1)
		c.changed = make(chan struct{})
	})
}

// Run reads the document until ctx ends, and returns nil then. ErrMetric if the
// instruments can't be made.
func (c *Configuration) Run(ctx context.Context) error {
	c.start()
	stop, err := c.measure()
	if err != nil {
		return err
	}
	defer stop()
	failures := 0
	for ctx.Err() == nil {
		if c.refresh(ctx) {
			failures = 0
		} else {
			failures++
		}
		c.rest(ctx, failures)
	}
	return nil
}

// rest waits for the next poll, a retry if something known is still to be read, or an
// offer from a peer.
func (c *Configuration) rest(ctx context.Context, failures int) {
	if !Pause(ctx, readSpacing) {
		return
	}
	wait := Jitter(c.Every)
	if failures > 0 {
		wait = min(wait, Backoff(failures))
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-c.wake:
	}
}

// Current gives the document in force; Version 0 if there is none yet.
func (c *Configuration) Current() Snapshot {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current
}

// TableRead is the moment as of which the table last told what is accepted; the zero
// time for never.
func (c *Configuration) TableRead() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.read
}

// confirmedAt is the moment as of which the table last told that nothing newer is
// accepted than what is in force; the zero time for never.
func (c *Configuration) confirmedAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.confirmed
}

// Wait waits for a document newer than the given version. ErrStopped if ctx ends first.
func (c *Configuration) Wait(ctx context.Context, after DocumentVersion) (Snapshot, error) {
	c.start()
	for {
		c.mu.Lock()
		current, changed := c.current, c.changed
		c.mu.Unlock()
		if current.Version > after {
			return current, nil
		}
		select {
		case <-ctx.Done():
			return Snapshot{}, ErrStopped.Wrap(ctx.Err(), "waiting for a document after version %d", after)
		case <-changed:
		}
	}
}

// Offer tells that a peer knows of a version. One that is news is read at once.
func (c *Configuration) Offer(version DocumentVersion, hash DocumentHash) {
	c.start()
	c.mu.Lock()
	news := version > c.known.version
	if news {
		c.known = pointer{version: version, hash: hash}
	}
	c.mu.Unlock()
	if !news {
		return
	}
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// OfferBody takes a newer document from a peer that has it. ErrDocument if the text
// doesn't have the hash, or the table has told another hash for the version.
func (c *Configuration) OfferBody(version DocumentVersion, hash DocumentHash, body []byte) error {
	c.start()
	c.mu.Lock()
	known, current := c.known, c.current.Version
	c.mu.Unlock()
	if version <= current {
		return nil
	}
	if known.accepted && known.version == version && known.hash != hash {
		return ErrDocument.New("the table tells another hash for version %d", version)
	}
	snapshot, err := openSnapshot(version, hash, body)
	if err != nil {
		return err
	}
	c.take(snapshot, sourcePeer)
	return nil
}

// Wanted tells the newest version that is known of but whose text is still to be read,
// and whether there is one. Peers that have it are to be asked for it.
func (c *Configuration) Wanted() (DocumentVersion, DocumentHash, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.known.version, c.known.hash, c.known.version > c.current.Version
}

// refresh reads the row and what it names, and tells whether there is nothing left to
// read before the next poll.
func (c *Configuration) refresh(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	began := time.Now()
	newest, err := c.readRow(ctx)
	c.noteTable(ctx, began, newest, err)
	fetched := c.fetch(ctx)
	if err == nil {
		c.confirm(began, newest.Version)
	}
	return fetched && (err == nil || c.Current().Version > 0)
}

// confirm takes note that a reading is in force.
func (c *Configuration) confirm(began time.Time, version DocumentVersion) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if version <= c.current.Version {
		c.confirmed = began
	}
}

func (c *Configuration) readRow(ctx context.Context) (acceptedChange, error) {
	row, err := c.Table.Get(ctx, documentKey)
	if errorx.IsOfType(err, ErrNoRow) {
		return acceptedChange{}, nil
	}
	if err != nil {
		return acceptedChange{}, err
	}
	a, err := readAccepted(row)
	if err != nil {
		eventRowBroken.Log(c.Logger, "err", err)
		return acceptedChange{}, err
	}
	return a.newest(), nil
}

func (c *Configuration) noteTable(ctx context.Context, began time.Time, newest acceptedChange, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		if !c.lost && ctx.Err() == nil {
			eventTableLost.Log(c.Logger, "err", err)
		}
		c.lost = true
		return
	}
	if c.lost {
		eventTableBack.Log(c.Logger, "version", newest.Version)
	}
	c.lost = false
	c.read = began
	// What the table tells replaces a peer's word, also one for a version that the
	// table doesn't have.
	if newest.Version < c.current.Version {
		eventTableBehind.Log(c.Logger, "version", newest.Version, "in-force", c.current.Version)
		return
	}
	c.known = pointer{version: newest.Version, hash: newest.Hash, accepted: true}
}

// fetch reads the text of the newest known version from the object store. A peer's word
// is enough to read it while the table is out, since the text is checked by its hash.
func (c *Configuration) fetch(ctx context.Context) bool {
	c.mu.Lock()
	known, current := c.known, c.current.Version
	c.mu.Unlock()
	if known.version <= current {
		return true
	}
	body, err := c.Store.Get(ctx, known.hash.object())
	if err != nil {
		c.noteMissing(known, err)
		return false
	}
	snapshot, err := openSnapshot(known.version, known.hash, body)
	if err != nil {
		eventRefused.Log(c.Logger, "version", known.version, "hash", known.hash, "err", err)
		return false
	}
	source := sourceTable
	if !known.accepted {
		source = sourceOffer
	}
	c.take(snapshot, source)
	return true
}

func (c *Configuration) noteMissing(known pointer, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.missing == known.version {
		return
	}
	c.missing = known.version
	eventBodyMissing.Log(c.Logger, "version", known.version, "hash", known.hash, "err", err)
}

// take puts a document in force unless it isn't newer.
func (c *Configuration) take(s Snapshot, source string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.Version <= c.current.Version {
		return
	}
	c.current = s
	if s.Version > c.known.version {
		c.known = pointer{version: s.Version, hash: s.Hash}
	}
	close(c.changed)
	c.changed = make(chan struct{})
	eventAccepted.Log(c.Logger, "version", s.Version, "hash", s.Hash, "source", source)
}
