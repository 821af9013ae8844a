package platform

import (
	"sync"
	"time"
)

const (
	// maxConfirmationAge is the time for which a VM relies on its document after it was
	// last confirmed as the newest.
	maxConfirmationAge = 10 * time.Second
	// peerReportTTL is the time for which a peer's report counts after it was made.
	peerReportTTL = 3 * time.Second
)

// Trust decides whether a VM may continue to run requests with its document. A newer
// document that the VM doesn't know of may have withdrawn keys.
//
// A document is confirmed as the newest when the VM reads the table and finds no newer
// version, or when a peer did so that reports no newer version. The cases are:
//
//   - It was confirmed within the last 10 s: the VM continues.
//   - It was confirmed longer ago, and a peer has a newer document in force whose text
//     this VM can't read: the VM stops.
//   - It was confirmed longer ago, but the VM read the table within the last 10 s: the
//     table names a newer document whose text no VM has. The VM continues, and the
//     missing text is logged. Until it has asked for that text it stops: after a pause,
//     the text may be there.
//   - It was confirmed longer ago, and within the last 3 s the VM received reports from
//     at least one peer and, counting itself, more than half of the fleet: the VM
//     continues. These peers can't read the table either, since their reports would
//     confirm the document. The table is therefore down, and no document can be accepted.
//   - It was confirmed longer ago, and the VM received reports from no peer, or from too
//     few to exclude that it is partitioned together with them: the VM stops.
//
// A VM that is alone in its fleet therefore stops 10 s after it lost the table. VMs may
// continue with an older document in two cases: the newer one is accepted while more than
// half of the fleet, still connected to each other, is partitioned for more than 10 s from
// the table and from all VMs that can read it; or it is accepted right before the table
// goes down, so that no VM has read it. In both cases the newer document comes into force
// once a VM reads it.
type Trust struct {
	// Configuration keeps the document in force.
	Configuration *Configuration
	// FleetSize returns the number of VMs in the fleet, including this one.
	FleetSize func() int

	mu          sync.Mutex
	peerReports map[VMName]peerReport
}

// DocumentReport is a VM's report to its peers on its document in force.
type DocumentReport struct {
	Version DocumentVersion
	// Known is whether the document was ever confirmed as the newest.
	Known bool
	// Age is the time since the document was last confirmed as the newest.
	Age time.Duration
	// Delay is the longest time that may have passed since the peer made the report. The receiver
	// sets it.
	Delay time.Duration
}

// peerReport is a peer's latest report, with times on this VM's clock.
type peerReport struct {
	version DocumentVersion
	// madeAt is no later than when the peer made the report.
	madeAt time.Time
	// confirmedAt is when the peer's document was last confirmed as the newest, zero for
	// never.
	confirmedAt time.Time
}

// Report returns this VM's report for its peers.
func (t *Trust) Report() DocumentReport {
	confirmedAt := t.lastConfirmed()
	w := DocumentReport{Version: t.Configuration.Current().Version, Known: !confirmedAt.IsZero()}
	if w.Known {
		w.Age = time.Since(confirmedAt)
	}
	return w
}

// RecordPeerReport stores a peer's report in place of its earlier one.
func (t *Trust) RecordPeerReport(from VMName, w DocumentReport) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.peerReports == nil {
		t.peerReports = map[VMName]peerReport{}
	}
	now := time.Now()
	p := peerReport{version: w.Version, madeAt: now.Add(-max(w.Delay, 0))}
	if w.Known {
		p.confirmedAt = now.Add(-max(w.Age, 0))
	}
	t.peerReports[from] = p
}

// CanServe reports whether the VM may run requests.
func (t *Trust) CanServe() bool {
	if time.Since(t.lastConfirmed()) <= maxConfirmationAge {
		return true
	}
	version := t.Configuration.Current().Version
	t.mu.Lock()
	defer t.mu.Unlock()
	recentPeers, tableReadable := 0, time.Since(t.Configuration.TableReadAt()) <= maxConfirmationAge && !t.Configuration.isTextUnread()
	for _, p := range t.peerReports {
		if time.Since(p.madeAt) > peerReportTTL {
			continue
		}
		if p.version > version {
			return false
		}
		recentPeers++
	}
	return tableReadable || recentPeers > 0 && 2*(recentPeers+1) > t.FleetSize()
}

// lastConfirmed returns when this VM's document was last confirmed as the newest.
func (t *Trust) lastConfirmed() time.Time {
	latest := t.Configuration.confirmedAt()
	version := t.Configuration.Current().Version
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.peerReports {
		if p.version <= version && p.confirmedAt.After(latest) {
			latest = p.confirmedAt
		}
	}
	return latest
}
