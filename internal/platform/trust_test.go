package platform

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"
)

// confirmedTrust returns the trust of a VM of three in a document that was just confirmed.
func confirmedTrust() (*Configuration, *Trust) {
	c := &Configuration{Logger: log.NewNopLogger(), current: Snapshot{Version: 1}}
	c.init()
	c.recordTableRead(context.Background(), time.Now(), acceptedChange{Version: 1}, nil)
	c.recordConfirmation(time.Now(), 1)
	return c, &Trust{Configuration: c, FleetSize: func() int { return 3 }}
}

// TestPausedVMDoesNotTrustBeforeItHasRead guards against writes with a withdrawn key right after a VM
// resumes: it had read in the table that there is a newer document, whose text it was still about to
// read, and took that for a text that no VM has.
func TestPausedVMDoesNotTrustBeforeItHasRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, trust := confirmedTrust()
		assert.Check(t, trust.CanServe())
		time.Sleep(17 * time.Second)
		assert.Check(t, !trust.CanServe(), "nothing was read for 17 s")
		c.recordTableRead(context.Background(), time.Now(), acceptedChange{Version: 2}, nil)
		assert.Check(t, !trust.CanServe(), "the text of version 2 wasn't asked for yet")
		c.reportMissing(c.newestKnown, ErrUnavailable.New("lost"))
		assert.Check(t, trust.CanServe(), "the text of version 2 can't be had")
		c.recordTableRead(context.Background(), time.Now(), acceptedChange{Version: 3}, nil)
		assert.Check(t, !trust.CanServe(), "the text of version 3 wasn't asked for yet")
	})
}

// TestPausedVMDoesNotTrustOldReports guards against writes with a withdrawn key right after a VM
// resumes: the peers' answers to the heartbeats that it had sent before the pause counted as new, so
// that it took itself for part of a majority without a table.
func TestPausedVMDoesNotTrustOldReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, trust := confirmedTrust()
		time.Sleep(17 * time.Second)
		report := DocumentReport{Version: 1, Known: true, Age: 17 * time.Second, Delay: 17 * time.Second}
		trust.RecordPeerReport("vm-2", report)
		trust.RecordPeerReport("vm-3", report)
		assert.Check(t, !trust.CanServe(), "the reports are 17 s old")
		report.Delay = 10 * time.Millisecond
		trust.RecordPeerReport("vm-2", report)
		assert.Check(t, trust.CanServe(), "a majority can't read the table")
	})
}
