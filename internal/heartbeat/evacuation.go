package heartbeat

import (
	"cmp"
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/savoryramp/savoryramp/internal/clock"
	"github.com/savoryramp/savoryramp/internal/event"
)

// Evacuation is the set of zones that are being evacuated as of a version of the platform's store. Of
// two sets, that of the higher era and then version is the newer one.
type Evacuation struct {
	Era     StoreEra `json:"era,omitempty"`
	Version int64    `json:"version"`
	// Zones maps each zone to the time in milliseconds since the sender, or the VM that told it,
	// learned of its evacuation, or to unknownAge if the zone was in the first set that it knew.
	Zones map[string]int64 `json:"zones,omitempty"`
}

// EvacuationNotice tells the receiver the set at once, or asks for it.
type EvacuationNotice struct {
	From VMName `json:"from"`
	// Question asks the receiver for a notice with this number as its Answer.
	Question uint32 `json:"question,omitempty"`
	Answer   uint32 `json:"answer,omitempty"`
}

const (
	unknownAge = -1
	// longAge is the age of an evacuation that began before this VM has started, so that it gets no
	// grace: the VM has no connections and no transactions there.
	longAge = time.Hour
	// ageTolerance is by how much ages may differ, since messages take time.
	ageTolerance = 100 * time.Millisecond
	// evacuationNewsTime is how long a change is urgent news, and noticeInterval the time from one
	// notice of it to the next, which makes up for lost ones.
	evacuationNewsTime = 700 * time.Millisecond
	noticeInterval     = 300 * time.Millisecond
	// forwardDelay is how long a VM that learned of a change from another zone waits for the VMs of
	// its own zone to tell it, too, before it tells them.
	forwardDelay = 150 * time.Millisecond
	// strayNotices is how many VMs of each other zone, besides its delegates, are told of a change:
	// the delegates may have ended in that moment.
	strayNotices = 3
	// questionTimeout is how long a VM that resumes after a pause waits for an answer. After that it
	// counts as cut off and goes on with what it knows.
	questionTimeout = time.Second
	// askedVMs is how many random VMs of its zone a VM asks, besides the delegates.
	askedVMs = 4
	// evacuationPollInterval is how often AwaitEvacuation checks whether an answer has arrived.
	evacuationPollInterval = 5 * time.Millisecond
)

var eventEvacuation = event.Define(5107, "heartbeat-evacuation", event.Warn,
	"This VM learned that other zones are being evacuated than before, from the store or from the VM shown.")

// evacuationState is what this VM knows of the zones that are being evacuated. Fleet.mu guards it,
// except checkedAt.
type evacuationState struct {
	// known is true once the set is known, from the store or from another VM.
	known   bool
	era     StoreEra
	version int64
	// since has when each zone's evacuation began, as far as known. ageUnknown has the zones that
	// were in the first known set if that was read from the store.
	since      map[string]clock.Instant
	ageUnknown map[string]bool
	// pending is a set of a later era that lacks zones which were being evacuated. The store was
	// restored from a copy, and the operator has until rewriteTime after that to write the rows again.
	pending *Evacuation
	// changedAt is when the zones last changed, lastNotice when notices of that were last sent.
	// noticeAfter is when the first may be sent. notifies is true if this VM has to tell its zone,
	// readsStore if it has to tell the other zones, too.
	changedAt, lastNotice, noticeAfter clock.Instant
	notifies, readsStore               bool
	// question is the number of the question that this VM asks after a pause, zero if it asks none,
	// and askedAt when it began to.
	question uint32
	askedAt  clock.Instant
	// checkedAt is the latest clock.Instant at which this VM wasn't paused or had an answer after a
	// pause.
	checkedAt atomic.Int64
}

// EvacuatedZones returns the zones that are being evacuated, with the time since when, and whether
// they are known yet.
func (f *Fleet) EvacuatedZones() (since map[string]clock.Instant, known bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	since = map[string]clock.Instant{}
	for zone, at := range f.evacuation.since {
		since[zone] = at
	}
	return since, f.evacuation.known
}

// AwaitEvacuation returns once EvacuatedZones is as new as other VMs know it, and false if that takes
// longer than until. It only waits in a VM that was paused, until another VM has answered.
func (f *Fleet) AwaitEvacuation(until time.Time) bool {
	for f.SpreadsEvacuation && clock.Since(clock.Instant(f.evacuation.checkedAt.Load())) > maxTickGap {
		if !time.Now().Before(until) {
			return false
		}
		clock.Sleep(context.Background(), evacuationPollInterval)
	}
	return true
}

// NoteEvacuatedZones records the zones that are being evacuated as of a version of the store.
func (f *Fleet) NoteEvacuatedZones(era StoreEra, version int64, zones []string) {
	e := Evacuation{Era: era, Version: version, Zones: map[string]int64{}}
	f.mu.Lock()
	f.init()
	for _, zone := range zones {
		if f.evacuation.known {
			e.Zones[zone] = 0
		} else {
			e.Zones[zone] = unknownAge
		}
	}
	changed := f.mergeEvacuation(e, "", f.Zone)
	f.mu.Unlock()
	f.reportEvacuation(changed)
}

// reportEvacuation calls OnEvacuation if the set has changed.
func (f *Fleet) reportEvacuation(changed bool) {
	if changed && f.OnEvacuation != nil {
		f.OnEvacuation()
	}
}

// isNewerEvacuation reports whether a set is newer than the known one. f.mu must be held.
func (f *Fleet) isNewerEvacuation(e Evacuation) bool {
	s := &f.evacuation
	return !s.known || cmp.Or(cmp.Compare(e.Era, s.era), cmp.Compare(e.Version, s.version)) > 0
}

// mergeEvacuation records a set if it is newer than the known one, and reports whether the zones have
// changed or are known only now. It was read from the store if source is empty. f.mu must be held.
func (f *Fleet) mergeEvacuation(e Evacuation, source VMName, zone string) (changed bool) {
	s := &f.evacuation
	if !f.isNewerEvacuation(e) {
		return e.Era == s.era && e.Version == s.version && f.mergeAges(e)
	}
	older := f.mergeAges(e)
	now := clock.Now()
	first := !s.known
	if first {
		s.since, s.ageUnknown = map[string]clock.Instant{}, map[string]bool{}
	}
	for name, ageMs := range e.Zones {
		if _, found := s.since[name]; found {
			continue
		}
		changed = true
		age := time.Duration(max(ageMs, 0)) * time.Millisecond
		if ageMs == unknownAge && first {
			age, s.ageUnknown[name] = longAge, true
		}
		s.since[name] = now.Add(-age)
	}
	if f.lacksZones(e) && e.Era > s.era && f.restoredAt != 0 && now.Sub(f.restoredAt) < rewriteTime {
		s.pending = &e
	} else {
		changed = f.dropZones(e) || changed
		s.era, s.version, s.known, s.pending = e.Era, e.Version, true, nil
	}
	if changed {
		s.changedAt, s.lastNotice, s.noticeAfter = now, 0, now
		s.notifies, s.readsStore = source == "" || zone != f.Zone, source == ""
		if source != "" {
			s.noticeAfter = now.Add(forwardDelay)
		}
		f.noteUrgent()
		eventEvacuation.Log(f.Logger, "zones", zoneNames(s.since), "era", e.Era, "version", e.Version, "from", source, "first", first)
	}
	return changed || first || older
}

// mergeAges takes over the ages of evacuations that have lasted longer than this VM knows, as after a
// pause or a cut in which it wasn't told, and reports whether there were any. f.mu must be held.
func (f *Fleet) mergeAges(e Evacuation) (changed bool) {
	now := clock.Now()
	for name, ageMs := range e.Zones {
		at := now.Add(-time.Duration(ageMs) * time.Millisecond)
		if since, found := f.evacuation.since[name]; found && ageMs >= 0 && since.Sub(at) > ageTolerance {
			f.evacuation.since[name] = at
			changed = true
		}
	}
	return changed
}

// lacksZones reports whether a set lacks zones that are being evacuated. f.mu must be held.
func (f *Fleet) lacksZones(e Evacuation) bool {
	for name := range f.evacuation.since {
		if _, listed := e.Zones[name]; !listed {
			return true
		}
	}
	return false
}

// dropZones removes the zones that a set lacks and reports whether there were any. f.mu must be held.
func (f *Fleet) dropZones(e Evacuation) (dropped bool) {
	for name := range f.evacuation.since {
		if _, listed := e.Zones[name]; !listed {
			delete(f.evacuation.since, name)
			delete(f.evacuation.ageUnknown, name)
			dropped = true
		}
	}
	return dropped
}

// ownEvacuation returns the set for this VM's messages, nil if it isn't known. f.mu must be held.
func (f *Fleet) ownEvacuation() *Evacuation {
	s := &f.evacuation
	if !f.SpreadsEvacuation || !s.known {
		return nil
	}
	e := Evacuation{Era: s.era, Version: s.version}
	now := clock.Now()
	for name, at := range s.since {
		if e.Zones == nil {
			e.Zones = map[string]int64{}
		}
		e.Zones[name] = now.Sub(at).Milliseconds()
		if s.ageUnknown[name] {
			e.Zones[name] = unknownAge
		}
	}
	return &e
}

// hasEvacuationNews reports whether a recent change makes this VM's heartbeats, digests and views
// urgent. Notices reach the VMs that get none of these at once.
func (f *Fleet) hasEvacuationNews(now clock.Instant) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := &f.evacuation
	return s.changedAt != 0 && now.Sub(s.changedAt) < evacuationNewsTime && (!f.hasDigests() || f.isFirstDelegate())
}

// checkEvacuation sends the notices that are due, applies a set that was pending, and asks other VMs
// for theirs after a pause.
func (f *Fleet) checkEvacuation(now clock.Instant) {
	if !f.SpreadsEvacuation {
		return
	}
	f.mu.Lock()
	s := &f.evacuation
	changed := false
	if s.pending != nil && now.Sub(f.restoredAt) >= rewriteTime {
		changed = f.mergeEvacuation(*s.pending, "", f.Zone)
	}
	var recipients []string
	if s.notifies && now >= s.noticeAfter && now.Sub(s.changedAt) < evacuationNewsTime && (s.lastNotice == 0 || now.Sub(s.lastNotice) >= noticeInterval) {
		s.lastNotice, recipients = now, f.noticeRecipients()
	}
	asked := f.askAfterPause(now)
	notice := f.noticeMessage(EvacuationNotice{})
	question := f.noticeMessage(EvacuationNotice{Question: s.question})
	f.mu.Unlock()
	f.send(notice, recipients)
	f.send(question, asked)
	f.reportEvacuation(changed)
}

// noticeRecipients returns the addresses of the VMs that this VM tells of a change: those of its zone
// and, if it has read the change from the store, some of each other one. f.mu must be held.
func (f *Fleet) noticeRecipients() []string {
	recipients := f.zoneAddresses()
	if !f.evacuation.readsStore || !f.hasDigests() {
		return recipients
	}
	for zone := range f.otherZones() {
		recipients = append(append(recipients, f.delegates(zone)...), f.anyAddresses(zone, strayNotices)...)
	}
	return recipients
}

// askAfterPause returns the addresses of the VMs to ask for their set, if this VM was paused. f.mu must
// be held.
func (f *Fleet) askAfterPause(now clock.Instant) []string {
	s := &f.evacuation
	last := clock.Instant(s.checkedAt.Load())
	if s.question == 0 && last != 0 && now.Sub(last) > maxTickGap {
		s.question, s.askedAt = rand.Uint32()|1, now
	}
	if s.question == 0 || len(f.peers) == 0 || now.Sub(s.askedAt) > questionTimeout {
		s.question = 0
		s.checkedAt.Store(int64(now))
		return nil
	}
	asked := f.anyAddresses(f.Zone, askedVMs)
	for _, address := range f.delegates(f.Zone) {
		if address != "" {
			asked = append(asked, address)
		}
	}
	for zone := range f.otherZones() {
		asked = append(asked, f.anyAddresses(zone, 1)...)
	}
	return asked
}

// noticeMessage returns the message with a notice. f.mu must be held.
func (f *Fleet) noticeMessage(n EvacuationNotice) Message {
	n.From = f.VM
	return Message{Address: f.Conn.LocalAddr().String(), Zone: f.Zone, StoreEra: f.storeEra, Evacuation: f.ownEvacuation(), EvacuationNotice: &n}
}

// receiveEvacuation records the set in another VM's message, and answers its question.
func (f *Fleet) receiveEvacuation(m Message) {
	source := m.VM
	if m.EvacuationNotice != nil {
		source = m.EvacuationNotice.From
	}
	if !f.SpreadsEvacuation || source == "" || source == f.VM || m.Evacuation == nil && m.EvacuationNotice == nil {
		return
	}
	f.mu.Lock()
	f.init()
	s := &f.evacuation
	changed := false
	if m.Evacuation != nil {
		if m.Zone == f.Zone && !s.readsStore && !f.lacksZones(*m.Evacuation) && len(m.Evacuation.Zones) == len(s.since) {
			// The sender tells the zone's VMs.
			s.notifies = false
		}
		changed = f.mergeEvacuation(*m.Evacuation, source, m.Zone)
	}
	var answer Message
	if n := m.EvacuationNotice; n != nil {
		answer = f.noticeMessage(EvacuationNotice{Answer: n.Question})
	}
	f.mu.Unlock()
	f.reportEvacuation(changed)
	if n := m.EvacuationNotice; n != nil {
		f.endQuestion(n.Answer)
		if n.Question != 0 && answer.Evacuation != nil {
			f.send(answer, []string{m.Address})
		}
	}
}

// endQuestion records the answer to this VM's question. It is called after OnEvacuation, so that nothing
// is sent by what was known before the pause.
func (f *Fleet) endQuestion(answer uint32) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := &f.evacuation; s.question != 0 && answer == s.question {
		s.question = 0
		s.checkedAt.Store(int64(clock.Now()))
	}
}

// zoneNames returns the zones in sorted order.
func zoneNames(since map[string]clock.Instant) []string {
	return slices.Sorted(maps.Keys(since))
}
