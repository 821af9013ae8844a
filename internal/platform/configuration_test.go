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

// fleet is a platform and one VM's configuration from it.
type fleet struct {
	*testing.T
	fake *fakeplatform.Platform
	*platform.Configuration
}

// inFleet runs a test in virtual time, with the table polled every hour.
func inFleet(t *testing.T, test func(fleet)) {
	synctest.Test(t, func(t *testing.T) {
		fake := fakeplatform.New()
		c := &platform.Configuration{Table: fake.Table(), Store: fake.Store(), Every: time.Hour}
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error)
		go func() { ended <- c.Run(ctx) }()
		defer func() {
			cancel()
			assert.Check(t, <-ended)
		}()
		test(fleet{t, fake, c})
	})
}

func (f fleet) apply(service string) platform.Snapshot {
	f.Helper()
	s, err := platform.Apply(context.Background(), f.fake.Table(), f.fake.Store(), "rana", named(service))
	assert.NilError(f, err)
	return s
}

func (f fleet) fault(kind fakeplatform.FaultKind, calls ...fakeplatform.Call) {
	f.fake.SetFaults(fakeplatform.Fault{Kind: kind}, calls...)
}

// inForce checks which version is in force after a time.
func (f fleet) inForce(after time.Duration, want platform.DocumentVersion) {
	f.Helper()
	time.Sleep(after)
	synctest.Wait()
	assert.Equal(f, f.Current().Version, want)
}

func TestConfigurationPolls(t *testing.T) {
	inFleet(t, func(f fleet) {
		f.inForce(time.Second, 0)
		f.apply("one")
		f.inForce(2*time.Hour, 1)
		f.apply("two")
		f.inForce(2*time.Hour, 2)
		assert.Equal(t, f.Current().Document.Service, platform.ServiceName("two"))
		assert.Assert(t, time.Since(f.TableRead()) <= 90*time.Minute)
	})
}

func TestConfigurationReadsOffersAtOnce(t *testing.T) {
	inFleet(t, func(f fleet) {
		synctest.Wait()
		s := f.apply("one")
		f.Offer(s.Version, s.Hash)
		f.inForce(100*time.Millisecond, 1)
		reads := f.fake.Counts()[fakeplatform.TableGet]
		for range 1000 {
			f.Offer(s.Version, s.Hash)
		}
		f.inForce(time.Minute, 1)
		assert.Equal(t, f.fake.Counts()[fakeplatform.TableGet], reads, "known versions cost nothing")
	})
}

func TestConfigurationKeepsTheLastThroughAnOutage(t *testing.T) {
	inFleet(t, func(f fleet) {
		s := f.apply("one")
		f.Offer(s.Version, s.Hash)
		f.inForce(time.Second, 1)
		f.fault(fakeplatform.Down)
		f.inForce(24*time.Hour, 1)
		reads := f.fake.Counts()[fakeplatform.TableGet]
		assert.Assert(t, reads < 200, "%d readings in an outage of a day", reads)
		f.fault(fakeplatform.None)
		f.apply("two")
		f.inForce(2*time.Hour, 2)
	})
}

func TestConfigurationTableOutStoreUp(t *testing.T) {
	inFleet(t, func(f fleet) {
		s := f.apply("one")
		f.fault(fakeplatform.Down, fakeplatform.TableGet)
		f.Offer(s.Version, s.Hash)
		f.inForce(time.Second, 1)
	})
}

func TestConfigurationStoreOutTableUp(t *testing.T) {
	inFleet(t, func(f fleet) {
		// Down before there is a document, so that the first reading can't have it.
		f.fault(fakeplatform.Down, fakeplatform.StoreGet)
		s := f.apply("one")
		f.Offer(s.Version, s.Hash)
		f.inForce(time.Minute, 0)
		version, hash, wanted := f.Wanted()
		assert.Assert(t, wanted)
		assert.Equal(t, version, s.Version)
		assert.Equal(t, hash, s.Hash)
		assert.NilError(t, f.OfferBody(s.Version, s.Hash, s.Body))
		f.inForce(0, 1)

		s = f.apply("two")
		f.Offer(s.Version, s.Hash)
		f.inForce(time.Minute, 1)
		f.fault(fakeplatform.None)
		f.inForce(5*time.Second, 2)
	})
}

func TestConfigurationStartsFromPeersInAnOutage(t *testing.T) {
	inFleet(t, func(f fleet) {
		f.fault(fakeplatform.Down)
		body := named("peer")
		f.inForce(time.Minute, 0)
		assert.NilError(t, f.OfferBody(7, platform.HashDocument(body), body))
		f.inForce(0, 7)
		older := named("older")
		assert.NilError(t, f.OfferBody(6, platform.HashDocument(older), older))
		f.inForce(0, 7)
		err := f.OfferBody(8, platform.HashDocument(older), body)
		assert.Assert(t, errorx.IsOfType(err, platform.ErrDocument), "%v", err)
		broken := []byte(strings.Replace(minimal, "burst: 200", "burst: 0", 1))
		err = f.OfferBody(8, platform.HashDocument(broken), broken)
		assert.Assert(t, errorx.IsOfType(err, platform.ErrDocument), "%v", err)
		f.inForce(0, 7)
	})
}

func TestConfigurationBelievesTheTable(t *testing.T) {
	inFleet(t, func(f fleet) {
		s := f.apply("one")
		f.fault(fakeplatform.Down, fakeplatform.StoreGet)
		f.Offer(s.Version, s.Hash)
		f.inForce(time.Second, 0)
		other := named("other")
		err := f.OfferBody(s.Version, platform.HashDocument(other), other)
		assert.Assert(t, errorx.IsOfType(err, platform.ErrDocument), "%v", err)
		f.fault(fakeplatform.None)
		f.Offer(9, "0000")
		f.inForce(5*time.Second, 1)
		_, _, wanted := f.Wanted()
		assert.Assert(t, !wanted, "a version that the table doesn't have is forgotten")
	})
}

func TestConfigurationRefusesAChangedObject(t *testing.T) {
	inFleet(t, func(f fleet) {
		f.apply("one")
		f.inForce(2*time.Hour, 1)
		s := f.apply("two")
		object := platform.ObjectName("documents/" + string(s.Hash))
		assert.NilError(t, f.fake.Store().Put(context.Background(), object, named("three")))
		f.inForce(2*time.Hour, 1)
		assert.NilError(t, f.fake.Store().Put(context.Background(), object, named("two")))
		f.inForce(time.Minute, 2)
	})
}

func TestConfigurationWait(t *testing.T) {
	inFleet(t, func(f fleet) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		_, err := f.Wait(ctx, 0)
		assert.Assert(t, errorx.IsOfType(err, platform.ErrStopped), "%v", err)
		s := f.apply("one")
		f.Offer(s.Version, s.Hash)
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

func TestRetryLeavesOtherErrors(t *testing.T) {
	calls := 0
	err := platform.Retry{Attempts: 3}.Do(context.Background(), func(context.Context) error {
		calls++
		return platform.ErrConflict.New("taken")
	})
	assert.Assert(t, errorx.IsOfType(err, platform.ErrConflict), "%v", err)
	assert.Equal(t, calls, 1)
}
