package heartbeat

import (
	"context"
	"slices"

	"go.opentelemetry.io/otel/metric"

	"github.com/savoryramp/savoryramp/internal/clock"
	"github.com/savoryramp/savoryramp/internal/event"
)

var eventDuplicate = event.Define(5108, "heartbeat-duplicate", event.Warn,
	"A datagram of another VM had arrived before, or is older than one that has; it neither counts as a sign of life nor changes what is known of that VM.")

const (
	// maxFormerIncarnations is how many earlier incarnations of a VM are remembered.
	maxFormerIncarnations = 4
	// maxSenders limits the senders whose numbers are kept: three kinds of messages for each VM.
	maxSenders = 3 * maxPeers
)

// messageKind is a kind of messages that are numbered on their own.
type messageKind string

const (
	kindHeartbeat   messageKind = "heartbeat"
	kindDigest      messageKind = "digest"
	kindZonePayload messageKind = "payload"
	// kindUnordered is that of messages which may arrive again or late.
	kindUnordered messageKind = ""
)

// kind returns the kind of a message, which must be another VM's.
func (m *Message) kind() messageKind {
	switch {
	case m.EvacuationNotice != nil, m.RequestedZone != "":
		return kindUnordered
	case m.Digest != nil:
		return kindDigest
	case m.ZonePayload != nil:
		return kindZonePayload
	}
	return kindHeartbeat
}

// sender is a VM as the sender of messages of one kind.
type sender struct {
	vm   VMName
	kind messageKind
}

// lastNumber is the number of a sender's newest message.
type lastNumber struct {
	incarnation, sequence uint32
	receivedAt            clock.Instant
	// former has the earlier incarnations, whose messages are older than any of this one.
	former []uint32
}

// isNewer records the number of a message and reports whether the message is newer than all of its kind that
// have arrived from its sender. Messages of builds that don't number them are. The message must be of a kind.
func (f *Fleet) isNewer(m *Message, kind messageKind) bool {
	if m.Sequence == 0 {
		return true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now, s := clock.Now(), sender{m.VM, kind}
	last := f.lastNumbers[s]
	switch {
	case last == nil:
		f.addSender(s, &lastNumber{incarnation: m.Incarnation, sequence: m.Sequence, receivedAt: now}, now)
		return true
	case slices.Contains(last.former, m.Incarnation),
		last.incarnation == m.Incarnation && int32(m.Sequence-last.sequence) <= 0:
		// A digest that another VM has forwarded may have been received directly, too.
		if m.Digest == nil || !m.Digest.Forwarded {
			f.duplicates.Add(1)
			eventDuplicate.Log(f.Logger, "peer", m.VM, "kind", kind, "incarnation", m.Incarnation, "received", m.Sequence, "expected-after", last.sequence)
		}
		return false
	case last.incarnation != m.Incarnation:
		last.former = append(last.former, last.incarnation)
		last.former = last.former[max(len(last.former)-maxFormerIncarnations, 0):]
	}
	last.incarnation, last.sequence, last.receivedAt = m.Incarnation, m.Sequence, now
	return true
}

// addSender keeps the number of a further sender, unless there are too many that sent lately. f.mu must be held.
func (f *Fleet) addSender(s sender, n *lastNumber, now clock.Instant) {
	if f.lastNumbers == nil {
		f.lastNumbers = map[sender]*lastNumber{}
	}
	if len(f.lastNumbers) >= maxSenders {
		for other, last := range f.lastNumbers {
			if now.Sub(last.receivedAt) > silentPeerTTL {
				delete(f.lastNumbers, other)
			}
		}
	}
	if len(f.lastNumbers) < maxSenders {
		f.lastNumbers[s] = n
	}
}

// RegisterMetrics registers the fleet's instruments. It returns the meter's error.
func (f *Fleet) RegisterMetrics(m metric.Meter) error {
	_, err := m.Int64ObservableCounter("savoryramp.heartbeat.duplicates",
		metric.WithDescription("Datagrams of other VMs that had arrived before, or late, and weren't used."),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(f.duplicates.Load())
			return nil
		}))
	return err
}
