package platform

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/joomcode/errorx"
	"go.opentelemetry.io/otel/metric"
)

// The sources from which a document came into force, as logged.
const (
	sourceTable = "table"
	sourceOffer = "offer"
	sourcePeer  = "peer"
)

const (
	// readTimeout limits one read of the row and the document's text.
	readTimeout = 15 * time.Second
	// minReadInterval is the minimum time between two reads, however many versions peers
	// report.
	minReadInterval = 50 * time.Millisecond
)

// ErrStopped means that the caller's context ended before the awaited document came.
var ErrStopped = errs.NewType("stopped")

// Configuration keeps the newest accepted document. The table decides which is newest.
// A version that a peer reports triggers an immediate read, and while the platform is
// unavailable the document itself is accepted from a peer.
type Configuration struct {
	Table Table
	Store Store
	// PollInterval is the mean time between two reads of the table. It must be positive.
	PollInterval time.Duration
	Logger       log.Logger
	// Meter registers gauges of the version in force and the last read of the table; nil
	// for none.
	Meter metric.Meter

	once sync.Once
	// readRequested holds a token if a read is due before the next poll.
	readRequested chan struct{}

	mu sync.Mutex
	// current is the document in force; its version only increases.
	current Snapshot
	// changed is closed and replaced when current changes.
	changed chan struct{}
	// newestKnown is the highest version known, from the table or a peer.
	newestKnown documentRef
	// tableReadAt is when the last successful read of the table began, zero for never.
	tableReadAt time.Time
	// confirmedAsOf is when the last read of the table began that found nothing newer
	// than the document in force at its end.
	confirmedAsOf time.Time
	// tableLost is whether the last read of the table failed.
	tableLost bool
	// reportedMissing is the last version whose text was logged as missing.
	reportedMissing DocumentVersion
}

// documentRef identifies a document whose text may not have been read yet.
type documentRef struct {
	version DocumentVersion
	hash    DocumentHash
	// fromTable is whether the table contained the version; else a peer reported it.
	fromTable bool
}

func (c *Configuration) init() {
	c.once.Do(func() {
		c.readRequested = make(chan struct{}, 1)
		c.changed = make(chan struct{})
	})
}

// Run keeps the document up to date until ctx ends and then returns nil. It returns
// ErrMetric if the metric instruments can't be created.
func (c *Configuration) Run(ctx context.Context) error {
	c.init()
	stop, err := c.registerMetrics()
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
		c.waitForNextRead(ctx, failures)
	}
	return nil
}

// waitForNextRead waits until the next poll, the next retry after failures, or a version
// reported by a peer.
func (c *Configuration) waitForNextRead(ctx context.Context, failures int) {
	if !Pause(ctx, minReadInterval) {
		return
	}
	wait := Jitter(c.PollInterval)
	if failures > 0 {
		wait = min(wait, Backoff(failures))
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-c.readRequested:
	}
}

// Current returns the document in force, with Version 0 if there is none yet.
func (c *Configuration) Current() Snapshot {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current
}

// TableReadAt returns when the last successful read of the table began, the zero time for
// never.
func (c *Configuration) TableReadAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tableReadAt
}

// confirmedAt returns when the last read of the table began that confirmed the document
// in force as the newest, the zero time for never.
func (c *Configuration) confirmedAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.confirmedAsOf
}

// isTextUnread reports whether a newer document is known whose text hasn't been asked for
// yet.
func (c *Configuration) isTextUnread() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.newestKnown.version > c.current.Version && c.reportedMissing != c.newestKnown.version
}

// Wait waits until a document newer than the given version is in force and returns it.
// It returns ErrStopped if ctx ends first.
func (c *Configuration) Wait(ctx context.Context, after DocumentVersion) (Snapshot, error) {
	c.init()
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

// OfferVersion reports a version that a peer knows. A version higher than any known one
// is read immediately.
func (c *Configuration) OfferVersion(version DocumentVersion, hash DocumentHash) {
	c.init()
	c.mu.Lock()
	newer := version > c.newestKnown.version
	if newer {
		c.newestKnown = documentRef{version: version, hash: hash}
	}
	c.mu.Unlock()
	if !newer {
		return
	}
	select {
	case c.readRequested <- struct{}{}:
	default:
	}
}

// OfferDocument puts a document from a peer in force if it is newer. It returns
// ErrDocument if the text doesn't match the hash or is invalid, or if the table holds
// another hash for the version.
func (c *Configuration) OfferDocument(version DocumentVersion, hash DocumentHash, body []byte) error {
	c.init()
	c.mu.Lock()
	newestKnown, current := c.newestKnown, c.current.Version
	c.mu.Unlock()
	if version <= current {
		return nil
	}
	if newestKnown.fromTable && newestKnown.version == version && newestKnown.hash != hash {
		return ErrDocument.New("the table holds another hash for version %d", version)
	}
	snapshot, err := parseSnapshot(version, hash, body)
	if err != nil {
		return err
	}
	c.setCurrent(snapshot, sourcePeer)
	return nil
}

// PendingDocument returns the newest known version, and true if its text is still to be
// read. The caller should then fetch it from a peer that has it.
func (c *Configuration) PendingDocument() (DocumentVersion, DocumentHash, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.newestKnown.version, c.newestKnown.hash, c.newestKnown.version > c.current.Version
}

// refresh reads the row and the document that it names. It reports whether nothing is
// left to read before the next poll.
func (c *Configuration) refresh(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	startedAt := time.Now()
	newest, err := c.readRow(ctx)
	c.recordTableRead(ctx, startedAt, newest, err)
	fetched := c.fetchBody(ctx)
	if err == nil {
		c.recordConfirmation(startedAt, newest.Version)
	}
	return fetched && (err == nil || c.Current().Version > 0)
}

// recordConfirmation records that a read found no version newer than the one in force.
func (c *Configuration) recordConfirmation(startedAt time.Time, version DocumentVersion) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if version <= c.current.Version {
		c.confirmedAsOf = startedAt
	}
}

// readRow reads the newest accepted change, a zero one if there is none.
func (c *Configuration) readRow(ctx context.Context) (acceptedChange, error) {
	row, err := c.Table.Get(ctx, documentKey)
	if errorx.IsOfType(err, ErrNoRow) {
		return acceptedChange{}, nil
	}
	if err != nil {
		return acceptedChange{}, err
	}
	a, err := decodeDocumentRow(row)
	if err != nil {
		eventRowBroken.Log(c.Logger, "err", err)
		return acceptedChange{}, err
	}
	return a.newest(), nil
}

// recordTableRead records the result of a read of the table, and logs when the table is
// lost and regained.
func (c *Configuration) recordTableRead(ctx context.Context, startedAt time.Time, newest acceptedChange, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		if !c.tableLost && ctx.Err() == nil {
			eventTableLost.Log(c.Logger, "err", err)
		}
		c.tableLost = true
		return
	}
	if c.tableLost {
		eventTableRegained.Log(c.Logger, "version", newest.Version)
	}
	c.tableLost = false
	c.tableReadAt = startedAt
	// The table's version replaces one that a peer reported, even if the peer's is higher
	// and the table doesn't contain it.
	if newest.Version < c.current.Version {
		eventTableBehind.Log(c.Logger, "version", newest.Version, "in-force", c.current.Version)
		return
	}
	c.newestKnown = documentRef{version: newest.Version, hash: newest.Hash, fromTable: true}
}

// fetchBody reads the text of the newest known version from the object store and puts it
// in force. While the table is unavailable, a version reported by a peer suffices, since
// the text is checked against its hash. It returns false if the text is still to be read.
func (c *Configuration) fetchBody(ctx context.Context) bool {
	c.mu.Lock()
	newestKnown, current := c.newestKnown, c.current.Version
	c.mu.Unlock()
	if newestKnown.version <= current {
		return true
	}
	body, err := c.Store.Get(ctx, newestKnown.hash.objectName())
	if err != nil {
		c.reportMissing(newestKnown, err)
		return false
	}
	snapshot, err := parseSnapshot(newestKnown.version, newestKnown.hash, body)
	if err != nil {
		eventDocumentRefused.Log(c.Logger, "version", newestKnown.version, "hash", newestKnown.hash, "err", err)
		return false
	}
	source := sourceTable
	if !newestKnown.fromTable {
		source = sourceOffer
	}
	c.setCurrent(snapshot, source)
	return true
}

// reportMissing logs once for each version that its text can't be read.
func (c *Configuration) reportMissing(document documentRef, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reportedMissing == document.version {
		return
	}
	c.reportedMissing = document.version
	eventBodyMissing.Log(c.Logger, "version", document.version, "hash", document.hash, "err", err)
}

// setCurrent puts a document in force if it is newer.
func (c *Configuration) setCurrent(s Snapshot, source string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.Version <= c.current.Version {
		return
	}
	c.current = s
	if s.Version > c.newestKnown.version {
		c.newestKnown = documentRef{version: s.Version, hash: s.Hash}
	}
	close(c.changed)
	c.changed = make(chan struct{})
	eventDocumentAccepted.Log(c.Logger, "version", s.Version, "hash", s.Hash, "source", source)
}
