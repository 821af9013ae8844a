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

// named is a document that differs from others in its service name.
func named(service string) []byte {
	return []byte(strings.Replace(minimal, "service: ataa", "service: "+service, 1))
}

// attempt is what one operator tried and was told.
type attempt struct {
	at       time.Duration
	patience time.Duration
	// late is how long after its acceptance a peer still tells of the document.
	late    time.Duration
	hash    platform.DocumentHash
	version platform.DocumentVersion
	err     error
}

// race is a drawn run of operators against a platform with faults, and what came of it.
type race struct {
	attempts []attempt
	puts     []fakeplatform.Fault
	gets     []fakeplatform.Fault
	// accepted are the hashes by version; observed are the versions in force over time.
	accepted map[platform.DocumentVersion]platform.DocumentHash
	observed []platform.DocumentVersion
}

func drawRace(t *rapid.T) *race {
	r := &race{accepted: map[platform.DocumentVersion]platform.DocumentHash{}}
	for range rapid.IntRange(1, 6).Draw(t, "operators") {
		r.attempts = append(r.attempts, attempt{
			at:       time.Duration(rapid.IntRange(0, 300).Draw(t, "at")) * time.Millisecond,
			patience: time.Duration(rapid.IntRange(50, 5000).Draw(t, "patience")) * time.Millisecond,
			late:     time.Duration(rapid.IntRange(0, 1000).Draw(t, "late")) * time.Millisecond,
		})
	}
	r.puts = rapid.SliceOfN(rapid.Custom(drawFault), 0, 20).Draw(t, "puts")
	r.gets = rapid.SliceOfN(rapid.Custom(drawFault), 0, 20).Draw(t, "gets")
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

// run plays the race in virtual time.
func (r *race) run(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		fake := fakeplatform.New()
		c := &platform.Configuration{Table: fake.Table(), Store: fake.Store(), Every: 100 * time.Millisecond}
		var group sync.WaitGroup
		group.Go(func() { _ = c.Run(ctx) })
		group.Go(func() { r.observe(ctx, c) })
		fake.SetSteps(fakeplatform.TablePut, r.puts...)
		fake.SetSteps(fakeplatform.TableGet, r.gets...)
		for i := range r.attempts {
			group.Go(func() { r.attempts[i].run(t, fake, c, fmt.Sprintf("service-%d", i)) })
		}
		time.Sleep(15 * time.Second)
		cancel()
		group.Wait()
		r.readAccepted(t, fake.Table())
	})
}

func (a *attempt) run(t *testing.T, fake *fakeplatform.Platform, c *platform.Configuration, service string) {
	time.Sleep(a.at)
	ctx, cancel := context.WithTimeout(context.Background(), a.patience)
	defer cancel()
	text := named(service)
	a.hash = platform.HashDocument(text)
	var s platform.Snapshot
	s, a.err = platform.Apply(ctx, fake.Table(), fake.Store(), service, text)
	a.version = s.Version
	if a.err != nil {
		return
	}
	time.Sleep(a.late)
	c.Offer(s.Version, s.Hash)
	assert.Check(t, c.OfferBody(s.Version, s.Hash, s.Body))
}

func (r *race) observe(ctx context.Context, c *platform.Configuration) {
	for ctx.Err() == nil {
		r.observed = append(r.observed, c.Current().Version)
		time.Sleep(25 * time.Millisecond)
	}
}

func (r *race) readAccepted(t *testing.T, table platform.Table) {
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

// timesAccepted counts the versions that one operator's document became.
func (r *race) timesAccepted(hash platform.DocumentHash) int {
	count := 0
	for _, h := range r.accepted {
		if h == hash {
			count++
		}
	}
	return count
}

func TestRacingOperators(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		r := drawRace(rt)
		r.run(t)
		for i, a := range r.attempts {
			count := r.timesAccepted(a.hash)
			switch {
			case a.err == nil && (count != 1 || r.accepted[a.version] != a.hash):
				rt.Fatalf("operator %d was told version %d; accepted %d times: %v", i, a.version, count, r.accepted)
			case errorx.IsOfType(a.err, platform.ErrOutcomeUnknown) && count > 1:
				rt.Fatalf("operator %d was told nothing; accepted %d times: %v", i, count, r.accepted)
			case a.err != nil && !errorx.IsOfType(a.err, platform.ErrOutcomeUnknown) && count != 0:
				rt.Fatalf("operator %d was told %v; accepted %d times: %v", i, a.err, count, r.accepted)
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

func TestApplyConflictNamesTheOther(t *testing.T) {
	ctx := context.Background()
	fake := fakeplatform.New()
	first, err := platform.Apply(ctx, fake.Table(), fake.Store(), "rana", named("one"))
	assert.NilError(t, err)
	_, err = platform.ApplyOver(ctx, fake.Table(), fake.Store(), "omar", first.Version, named("two"))
	assert.NilError(t, err)
	_, err = platform.ApplyOver(ctx, fake.Table(), fake.Store(), "rana", first.Version, named("three"))
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
				s, err := platform.Apply(context.Background(), fake.Table(), fake.Store(), "rana", []byte(minimal))
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
