// Package fakeplatform stands in for the platform's table, object store and VM list,
// in memory, with faults that tests and demonstrations set. It runs in process, also
// under testing/synctest, and behind the HTTP calls of DynamoDB and S3 that savoryramp
// uses.
package fakeplatform

import (
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/savoryramp/savoryramp/internal/platform"
)

// vmPrefix begins the keys of the rows whose listing lags.
const vmPrefix = "vm/"

// PerSecond is a limit on calls.
type PerSecond float64

// Platform is the platform's services in memory. Its exported fields are set before use.
type Platform struct {
	// WriteLimit and ReadLimit bound the table's calls; the rest are refused as
	// unavailable. Zero is no limit.
	WriteLimit PerSecond
	ReadLimit  PerSecond
	// VMLag is how far the VM list is behind.
	VMLag time.Duration

	mu     sync.Mutex
	rows   map[platform.RowKey]history
	store  map[platform.ObjectName][]byte
	faults map[Call]*armedFault
	steps  map[Call][]Fault
	counts map[Call]int
	writes bucket
	reads  bucket
}

// history is the versions of a row, the newest last.
type history []version

type version struct {
	row platform.Row
	at  time.Time
}

// New makes a platform without rows, objects or faults.
func New() *Platform {
	return &Platform{
		rows:   map[platform.RowKey]history{},
		store:  map[platform.ObjectName][]byte{},
		faults: map[Call]*armedFault{},
		steps:  map[Call][]Fault{},
		counts: map[Call]int{},
	}
}

// Table gives the table service.
func (p *Platform) Table() platform.Table { return table{p} }

// Store gives the object store.
func (p *Platform) Store() platform.Store { return store{p} }

// VMList gives the list of VMs, which lags by VMLag behind the rows "vm/NAME".
func (p *Platform) VMList() platform.VMRows { return platform.VMRows{Table: table{p}} }

// RemoveVM takes a VM off the list, which shows after VMLag.
func (p *Platform) RemoveVM(name platform.VMName) {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := platform.RowKey(vmPrefix + string(name))
	if h := p.rows[key]; len(h) > 0 {
		p.rows[key] = append(h, version{row: platform.Row{Key: key}, at: time.Now()})
	}
}

// Counts gives the calls of each kind so far, failed ones included.
func (p *Platform) Counts() map[Call]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	counts := make(map[Call]int, len(p.counts))
	for call, count := range p.counts {
		counts[call] = count
	}
	return counts
}

// newest gives a row as stored now; version 0 if there is none.
func (p *Platform) newest(key platform.RowKey) platform.Row {
	h := p.rows[key]
	if len(h) == 0 {
		return platform.Row{Key: key}
	}
	return h[len(h)-1].row
}

// write stores a row if the condition holds.
func (p *Platform) write(row platform.Row) (platform.Row, bool) {
	if p.newest(row.Key).Version != row.Version {
		return platform.Row{}, false
	}
	row.Version++
	row.Body = append([]byte(nil), row.Body...)
	p.rows[row.Key] = append(p.kept(row.Key), version{row: row, at: time.Now()})
	return row, true
}

// kept is the part of a row's history that a lagging listing may still show.
func (p *Platform) kept(key platform.RowKey) history {
	if strings.HasPrefix(string(key), vmPrefix) {
		return p.rows[key]
	}
	return nil
}

// list gives the rows of a prefix by key; those of VMs as they were VMLag ago.
func (p *Platform) list(prefix platform.RowKey) []platform.Row {
	until := time.Now()
	if strings.HasPrefix(string(prefix), vmPrefix) {
		until = until.Add(-p.VMLag)
	}
	rows := []platform.Row{}
	for key, h := range p.rows {
		if !strings.HasPrefix(string(key), string(prefix)) {
			continue
		}
		if row := h.asOf(until); row.Version > 0 {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	return rows
}

func (h history) asOf(t time.Time) platform.Row {
	row := platform.Row{}
	for _, v := range h {
		if v.at.After(t) {
			break
		}
		row = v.row
	}
	return row
}

// bucket limits calls to a rate, with a burst of one second's.
type bucket struct {
	spent float64
	at    time.Time
}

func (b *bucket) take(limit PerSecond) bool {
	if limit <= 0 {
		return true
	}
	now := time.Now()
	b.spent = max(0, b.spent-float64(limit)*now.Sub(b.at).Seconds())
	b.at = now
	if b.spent+1 > float64(limit) {
		return false
	}
	b.spent++
	return true
}
