package platform

import (
	"sync"
	"time"
)

const (
	// trustFor is how long a VM relies on its document after the last moment as of
	// which it knows that nothing newer was accepted.
	trustFor = 10 * time.Second
	// peerFresh is how long a peer's word counts.
	peerFresh = 3 * time.Second
)

// Trust decides whether a VM may go on running requests on its document, since keys
// may have been withdrawn that it doesn't hear of.
//
// A VM knows its document to be the newest as of a moment: when it read the table
// itself, or when a peer that tells of no newer version did, as that peer tells. The
// cases are:
//
//   - The moment is at most 10 s ago: it goes on.
//   - It is longer ago, and a peer has a newer document in force whose text this VM
//     can't get: it stops.
//   - It is longer ago, but the VM read the table within 10 s: it names a newer document
//     whose text nobody has. It goes on, and the object store's loss is an event.
//   - It is longer ago, and the VM heard within 3 s from so many peers that with itself
//     they are more than half of the fleet, at least one: it goes on. They can't read
//     the table either, else the moment would be recent, so the table is out, and
//     nothing can be accepted.
//   - It is longer ago, and the VM hears no peer, or too few to be sure that it isn't
//     cut off together with them: it stops.
//
// A VM that is alone in its fleet therefore stops 10 s after it lost the table. Two
// exceptions are left: a change that is accepted by a table from which more than half of
// the fleet is cut for longer, together and away from all who read it; and one that is
// accepted right before the table goes out, so that no VM has read it. Both are in
// force when the first VM reads it.
type Trust struct {
	// Configuration holds the document.
	Configuration *Configuration
	// Members is how many VMs the fleet has, this one included.
	Members func() int

	mu    sync.Mutex
	peers map[VMName]peerWord
}

// Word is what a VM tells its peers of its document.
type Word struct {
	Version DocumentVersion
	// Known is false until the VM has known its document to be the newest at all.
	Known bool
	// Age is how long ago it last knew that.
	Age time.Duration
}

// peerWord is what a peer told, on this VM's clock.
type peerWord struct {
	version DocumentVersion
	heard   time.Time
	// asOf is zero if the peer never knew.
	asOf time.Time
}

// Tell gives this VM's word for its peers.
func (t *Trust) Tell() Word {
	asOf := t.asOf()
	w := Word{Version: t.Configuration.Current().Version, Known: !asOf.IsZero()}
	if w.Known {
		w.Age = time.Since(asOf)
	}
	return w
}

// Hear takes note of a peer's word; it is called at each message from it.
func (t *Trust) Hear(from VMName, w Word) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.peers == nil {
		t.peers = map[VMName]peerWord{}
	}
	now := time.Now()
	p := peerWord{version: w.Version, heard: now}
	if w.Known {
		p.asOf = now.Add(-max(w.Age, 0))
	}
	t.peers[from] = p
}

// Holds tells whether the VM may run requests.
func (t *Trust) Holds() bool {
	if time.Since(t.asOf()) <= trustFor {
		return true
	}
	version := t.Configuration.Current().Version
	t.mu.Lock()
	defer t.mu.Unlock()
	heard, readable := 0, time.Since(t.Configuration.TableRead()) <= trustFor
	for _, p := range t.peers {
		if time.Since(p.heard) > peerFresh {
			continue
		}
		if p.version > version {
			return false
		}
		heard++
	}
	return readable || heard > 0 && 2*(heard+1) > t.Members()
}

// asOf is the last moment as of which this VM's document is known to be the newest.
func (t *Trust) asOf() time.Time {
	newest := t.Configuration.confirmedAt()
	version := t.Configuration.Current().Version
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.peers {
		if p.version <= version && p.asOf.After(newest) {
			newest = p.asOf
		}
	}
	return newest
}
