package platform_test

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"
	"github.com/savoryramp/savoryramp/internal/fakeplatform"
	"github.com/savoryramp/savoryramp/internal/platform"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// documentNamed returns a document with the given service name.
func documentNamed(service string) []byte {
	return []byte(strings.Replace(minimalDocument, "service: ataa", "service: "+service, 1))
}

// operatorAttempt is one operator's call of Apply and its result.
type operatorAttempt struct {
	startAfter time.Duration
	timeout    time.Duration
	// offerDelay is the time from acceptance until a peer offers the document.
	offerDelay time.Duration
	hash       platform.DocumentHash
	version    platform.DocumentVersion
	err        error
}

// applyRace is a random run of concurrent operators against a platform with faults, and its
// result.
type applyRace struct {
	attempts  []operatorAttempt
	putFaults []fakeplatform.Fault
	getFaults []fakeplatform.Fault
	// accepted holds the accepted hashes by version, observed the versions in force over
	// time.
	accepted map[platform.DocumentVersion]platform.DocumentHash
	observed []platform.DocumentVersion
}

func drawApplyRace(t *rapid.T) *applyRace {
	r := &applyRace{accepted: map[platform.DocumentVersion]platform.DocumentHash{}}
	for range rapid.IntRange(1, 6).Draw(t, "operators") {
		r.attempts = append(r.attempts, operatorAttempt{
			startAfter: time.Duration(rapid.IntRange(0, 300).Draw(t, "at")) * time.Millisecond,
			timeout:    time.Duration(rapid.IntRange(50, 5000).Draw(t, "patience")) * time.Millisecond,
			offerDelay: time.Duration(rapid.IntRange(0, 1000).Draw(t, "late")) * time.Millisecond,
		})
	}
	r.putFaults = rapid.SliceOfN(rapid.Custom(drawFault), 0, 20).Draw(t, "puts")
	r.getFaults = rapid.SliceOfN(rapid.Custom(drawFault), 0, 20).Draw(t, "gets")
	return r
}

func drawFault(t *rapid.T) fakeplatform.Fault {
	kinds := []fakeplatform.FaultKind{
		fakeplatform.None, fakeplatform.LostAnswer, fakeplatform.LostRequest, fakeplatform.Down, fakeplatform.Slow,
	}
	return fakeplatform.Fault{
		Kind:  rapid.SampledFrom(kinds).Draw(t, "kind"),
		Delay: time.Duration(rapid.IntRange(1, 400).Draw(t, "delay")) * time.Millisecond,
	}
}

// run runs all operators in virtual time and reads what was accepted.
func (r *applyRace) run(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		fake := fakeplatform.New()
		c := &platform.Configuration{Table: fake.Table(), Store: fake.Store(), PollInterval: 100 * time.Millisecond}
		var group sync.WaitGroup
		group.Go(func() { _ = c.Run(ctx) })
		group.Go(func() { r.recordVersions(ctx, c) })
		fake.SetSteps(fakeplatform.TablePut, r.putFaults...)
		fake.SetSteps(fakeplatform.TableGet, r.getFaults...)
		for i := range r.attempts {
			group.Go(func() { r.attempts[i].run(t, fake, c, fmt.Sprintf("service-%d", i)) })
		}
		time.Sleep(15 * time.Second)
		cancel()
		group.Wait()
		r.readAccepted(t, fake.Table())
	})
}

func (a *operatorAttempt) run(t *testing.T, fake *fakeplatform.Platform, c *platform.Configuration, service string) {
	time.Sleep(a.startAfter)
	ctx, cancel := context.WithTimeout(context.Background(), a.timeout)
	defer cancel()
	text := documentNamed(service)
	a.hash = platform.HashDocument(text)
	var s platform.Snapshot
	s, a.err = platform.Apply(ctx, fake.Table(), fake.Store(), service, text)
	a.version = s.Version
	if a.err != nil {
		return
	}
	time.Sleep(a.offerDelay)
	c.OfferVersion(s.Version, s.Hash)
	assert.Check(t, c.OfferDocument(s.Version, s.Hash, s.Body))
}

// recordVersions samples the version in force until ctx ends.
func (r *applyRace) recordVersions(ctx context.Context, c *platform.Configuration) {
	for ctx.Err() == nil {
		r.observed = append(r.observed, c.Current().Version)
		time.Sleep(25 * time.Millisecond)
	}
}

// readAccepted reads the accepted changes from the table.
func (r *applyRace) readAccepted(t *testing.T, table platform.Table) {
	row, err := table.Get(context.Background(), "document")
	if errorx.IsOfType(err, platform.ErrNoRow) {
		return
	}
	assert.NilError(t, err)
	var body struct {
		Changes []struct {
			Version platform.DocumentVersion `json:"version"`
			Hash    platform.DocumentHash    `json:"hash"`
		} `json:"changes"`
	}
	assert.NilError(t, json.Unmarshal(row.Body, &body))
	for _, c := range body.Changes {
		r.accepted[c.Version] = c.Hash
	}
}

// timesAccepted returns how many versions have the given hash.
func (r *applyRace) timesAccepted(hash platform.DocumentHash) int {
	count := 0
	for _, h := range r.accepted {
		if h == hash {
			count++
		}
	}
	return count
}

// An operator's document must be accepted exactly once if Apply succeeds, never if it fails
// for certain, and at most once if the outcome is unknown. The version in force on a VM
// must never decrease and must reach the last accepted one.
func TestConcurrentOperators(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		r := drawApplyRace(rt)
		r.run(t)
		for i, a := range r.attempts {
			count := r.timesAccepted(a.hash)
			switch {
			case a.err == nil && (count != 1 || r.accepted[a.version] != a.hash):
				rt.Fatalf("operator %d got version %d, but its document was accepted %d times: %v", i, a.version, count, r.accepted)
			case errorx.IsOfType(a.err, platform.ErrOutcomeUnknown) && count > 1:
				rt.Fatalf("operator %d got an unknown outcome, but its document was accepted %d times: %v", i, count, r.accepted)
			case a.err != nil && !errorx.IsOfType(a.err, platform.ErrOutcomeUnknown) && count != 0:
				rt.Fatalf("operator %d got error %v, but its document was accepted %d times: %v", i, a.err, count, r.accepted)
			}
		}
		for i, version := range r.observed[1:] {
			if version < r.observed[i] {
				rt.Fatalf("version %d was followed by %d", r.observed[i], version)
			}
		}
		if last := r.observed[len(r.observed)-1]; int(last) != len(r.accepted) {
			rt.Fatalf("version %d is in force after %d accepted changes", last, len(r.accepted))
		}
	})
}

func TestApplyConflictNamesOtherOperator(t *testing.T) {
	ctx := context.Background()
	fake := fakeplatform.New()
	first, err := platform.Apply(ctx, fake.Table(), fake.Store(), "rana", documentNamed("one"))
	assert.NilError(t, err)
	_, err = platform.ApplyToVersion(ctx, fake.Table(), fake.Store(), "omar", first.Version, documentNamed("two"))
	assert.NilError(t, err)
	_, err = platform.ApplyToVersion(ctx, fake.Table(), fake.Store(), "rana", first.Version, documentNamed("three"))
	assert.Assert(t, errorx.IsOfType(err, platform.ErrConflict), "%v", err)
	assert.ErrorContains(t, err, "version 2 by omar was accepted first")
}

func TestApplyFaults(t *testing.T) {
	tests := map[string]struct {
		call fakeplatform.Call
		kind fakeplatform.FaultKind
		want *errorx.Type
	}{
		"table can't be read":    {fakeplatform.TableGet, fakeplatform.Down, platform.ErrUnavailable},
		"table can't be written": {fakeplatform.TablePut, fakeplatform.Down, platform.ErrUnavailable},
		"store is down":          {fakeplatform.StorePut, fakeplatform.Down, platform.ErrUnavailable},
		"requests are lost":      {fakeplatform.TablePut, fakeplatform.LostRequest, platform.ErrOutcomeUnknown},
		"answers are lost":       {fakeplatform.TablePut, fakeplatform.LostAnswer, nil},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fake := fakeplatform.New()
				fake.SetFault(test.call, fakeplatform.Fault{Kind: test.kind})
				s, err := platform.Apply(context.Background(), fake.Table(), fake.Store(), "rana", []byte(minimalDocument))
				if test.want != nil {
					assert.Assert(t, errorx.IsOfType(err, test.want), "%v", err)
					return
				}
				assert.NilError(t, err)
				assert.Equal(t, s.Version, platform.DocumentVersion(1))
			})
		})
	}
}
