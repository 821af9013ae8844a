package platform_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"
	"github.com/savoryramp/savoryramp/internal/fakeplatform"
	"github.com/savoryramp/savoryramp/internal/platform"
	"gotest.tools/v3/assert"
)

// testVM is a VM's configuration that reads from a fake platform.
type testVM struct {
	*testing.T
	fake *fakeplatform.Platform
	*platform.Configuration
}

// withTestVM runs a test in virtual time with a VM that polls the table every hour.
func withTestVM(t *testing.T, test func(testVM)) {
	synctest.Test(t, func(t *testing.T) {
		fake := fakeplatform.New()
		c := &platform.Configuration{Table: fake.Table(), Store: fake.Store(), PollInterval: time.Hour}
		ctx, cancel := context.WithCancel(context.Background())
		runResult := make(chan error)
		go func() { runResult <- c.Run(ctx) }()
		defer func() {
			cancel()
			assert.Check(t, <-runResult)
		}()
		test(testVM{t, fake, c})
	})
}

func (f testVM) apply(service string) platform.Snapshot {
	f.Helper()
	s, err := platform.Apply(context.Background(), f.fake.Table(), f.fake.Store(), "rana", documentNamed(service))
	assert.NilError(f, err)
	return s
}

func (f testVM) setFault(kind fakeplatform.FaultKind, calls ...fakeplatform.Call) {
	f.fake.SetFaults(fakeplatform.Fault{Kind: kind}, calls...)
}

// expectVersion checks which version is in force after a time.
func (f testVM) expectVersion(after time.Duration, want platform.DocumentVersion) {
	f.Helper()
	time.Sleep(after)
	synctest.Wait()
	assert.Equal(f, f.Current().Version, want)
}

func TestConfigurationPolls(t *testing.T) {
	withTestVM(t, func(f testVM) {
		f.expectVersion(time.Second, 0)
		f.apply("one")
		f.expectVersion(2*time.Hour, 1)
		f.apply("two")
		f.expectVersion(2*time.Hour, 2)
		assert.Equal(t, f.Current().Document.Service, platform.ServiceName("two"))
		assert.Assert(t, time.Since(f.TableReadAt()) <= 90*time.Minute)
	})
}

func TestConfigurationReadsOfferedVersionAtOnce(t *testing.T) {
	withTestVM(t, func(f testVM) {
		synctest.Wait()
		s := f.apply("one")
		f.OfferVersion(s.Version, s.Hash)
		f.expectVersion(100*time.Millisecond, 1)
		reads := f.fake.Counts()[fakeplatform.TableGet]
		for range 1000 {
			f.OfferVersion(s.Version, s.Hash)
		}
		f.expectVersion(time.Minute, 1)
		assert.Equal(t, f.fake.Counts()[fakeplatform.TableGet], reads, "an offer of a known version must not cause a read")
	})
}

func TestConfigurationKeepsDocumentDuringOutage(t *testing.T) {
	withTestVM(t, func(f testVM) {
		s := f.apply("one")
		f.OfferVersion(s.Version, s.Hash)
		f.expectVersion(time.Second, 1)
		f.setFault(fakeplatform.Down)
		f.expectVersion(24*time.Hour, 1)
		reads := f.fake.Counts()[fakeplatform.TableGet]
		assert.Assert(t, reads < 200, "%d reads during an outage of one day", reads)
		f.setFault(fakeplatform.None)
		f.apply("two")
		f.expectVersion(2*time.Hour, 2)
	})
}

// While only the table fails, a version offered by a peer is read from the object store.
func TestConfigurationTableDownStoreUp(t *testing.T) {
	withTestVM(t, func(f testVM) {
		s := f.apply("one")
		f.setFault(fakeplatform.Down, fakeplatform.TableGet)
		f.OfferVersion(s.Version, s.Hash)
		f.expectVersion(time.Second, 1)
	})
}

// While only the object store fails, a version named by the table is accepted from a peer.
func TestConfigurationStoreDownTableUp(t *testing.T) {
	withTestVM(t, func(f testVM) {
		// The store fails before there is a document, so that the first read can't get it.
		f.setFault(fakeplatform.Down, fakeplatform.StoreGet)
		s := f.apply("one")
		f.OfferVersion(s.Version, s.Hash)
		f.expectVersion(time.Minute, 0)
		version, hash, pending := f.PendingDocument()
		assert.Assert(t, pending)
		assert.Equal(t, version, s.Version)
		assert.Equal(t, hash, s.Hash)
		assert.NilError(t, f.OfferDocument(s.Version, s.Hash, s.Body))
		f.expectVersion(0, 1)

		s = f.apply("two")
		f.OfferVersion(s.Version, s.Hash)
		f.expectVersion(time.Minute, 1)
		f.setFault(fakeplatform.None)
		f.expectVersion(5*time.Second, 2)
	})
}

func TestConfigurationStartsFromPeersDuringOutage(t *testing.T) {
	withTestVM(t, func(f testVM) {
		f.setFault(fakeplatform.Down)
		body := documentNamed("peer")
		f.expectVersion(time.Minute, 0)
		assert.NilError(t, f.OfferDocument(7, platform.HashDocument(body), body))
		f.expectVersion(0, 7)
		older := documentNamed("older")
		assert.NilError(t, f.OfferDocument(6, platform.HashDocument(older), older))
		f.expectVersion(0, 7)
		err := f.OfferDocument(8, platform.HashDocument(older), body)
		assert.Assert(t, errorx.IsOfType(err, platform.ErrDocument), "%v", err)
		broken := []byte(strings.Replace(minimalDocument, "burst: 200", "burst: 0", 1))
		err = f.OfferDocument(8, platform.HashDocument(broken), broken)
		assert.Assert(t, errorx.IsOfType(err, platform.ErrDocument), "%v", err)
		f.expectVersion(0, 7)
	})
}

// The table's hash for a version overrides a peer's, and a version that only a peer reports
// is forgotten once the table is read.
func TestConfigurationPrefersTable(t *testing.T) {
	withTestVM(t, func(f testVM) {
		s := f.apply("one")
		f.setFault(fakeplatform.Down, fakeplatform.StoreGet)
		f.OfferVersion(s.Version, s.Hash)
		f.expectVersion(time.Second, 0)
		other := documentNamed("other")
		err := f.OfferDocument(s.Version, platform.HashDocument(other), other)
		assert.Assert(t, errorx.IsOfType(err, platform.ErrDocument), "%v", err)
		f.setFault(fakeplatform.None)
		f.OfferVersion(9, "0000")
		f.expectVersion(5*time.Second, 1)
		_, _, pending := f.PendingDocument()
		assert.Assert(t, !pending, "a version that the table doesn't contain must be forgotten")
	})
}

// A text in the object store that doesn't match the accepted hash must not come into force.
func TestConfigurationRejectsAlteredObject(t *testing.T) {
	withTestVM(t, func(f testVM) {
		f.apply("one")
		f.expectVersion(2*time.Hour, 1)
		s := f.apply("two")
		object := platform.ObjectName("documents/" + string(s.Hash))
		assert.NilError(t, f.fake.Store().Put(context.Background(), object, documentNamed("three")))
		f.expectVersion(2*time.Hour, 1)
		assert.NilError(t, f.fake.Store().Put(context.Background(), object, documentNamed("two")))
		f.expectVersion(time.Minute, 2)
	})
}

func TestConfigurationWait(t *testing.T) {
	withTestVM(t, func(f testVM) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		_, err := f.Wait(ctx, 0)
		assert.Assert(t, errorx.IsOfType(err, platform.ErrStopped), "%v", err)
		s := f.apply("one")
		f.OfferVersion(s.Version, s.Hash)
		s, err = f.Wait(context.Background(), 0)
		assert.NilError(t, err)
		assert.Equal(t, s.Version, platform.DocumentVersion(1))
	})
}

func TestRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		budget := &platform.RetryBudget{}
		calls := 0
		fail := func(context.Context) error {
			calls++
			return platform.ErrUnavailable.New("down")
		}
		for range 1000 {
			err := platform.Retry{Attempts: 3, Budget: budget}.Do(context.Background(), fail)
			assert.Assert(t, errorx.IsOfType(err, platform.ErrUnavailable), "%v", err)
		}
		assert.Assert(t, calls > 1100 && calls < 1250, "%d calls for 1000 requests", calls)
	})
}

func TestRetryIgnoresOtherErrors(t *testing.T) {
	calls := 0
	err := platform.Retry{Attempts: 3}.Do(context.Background(), func(context.Context) error {
		calls++
		return platform.ErrConflict.New("taken")
	})
	assert.Assert(t, errorx.IsOfType(err, platform.ErrConflict), "%v", err)
	assert.Equal(t, calls, 1)
}
