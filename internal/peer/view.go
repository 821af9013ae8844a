package peer

import (
	"sort"
	"sync"
	"time"

	"github.com/savoryramp/savoryramp/internal/peer/peerpb"
	"github.com/savoryramp/savoryramp/internal/platform"
)

// View is an observation that a VM sends to its peers: a Server, Group, LoadHint or
// SilentReport.
type View interface{ key() viewKey }

// Server is a VM's observation of an upstream server.
type Server struct {
	Name   platform.ServerName
	Usable bool
	// Status is the server's last reported status, in JSON.
	Status string
}

// Group holds the newest term that a VM knows of an upstream.
type Group struct {
	Name platform.UpstreamName
	Term int64
}

// LoadHint is a number that peers use to distribute load, such as the number of tokens
// that a VM has left.
type LoadHint struct {
	Name  string
	Value int64
}

// SilentReport reports whether a VM has stopped receiving heartbeats from another VM.
type SilentReport struct {
	VM          Name
	Incarnation Incarnation
	Silent      bool
}

// viewKey identifies what a view is about. A newer view with the same origin and key
// replaces the older one.
type viewKey struct{ kind, name string }

func (v Server) key() viewKey       { return viewKey{"server", string(v.Name)} }
func (v Group) key() viewKey        { return viewKey{"group", string(v.Name)} }
func (v LoadHint) key() viewKey     { return viewKey{"hint", v.Name} }
func (v SilentReport) key() viewKey { return viewKey{"silent", string(v.VM)} }

// isForwarded reports whether a view is forwarded beyond the peers of its origin. Server
// views, which contain positions, and load hints change too often for that.
func isForwarded(v View) bool {
	switch v.(type) {
	case Group, SilentReport:
		return true
	}
	return false
}

// ReceivedView is a view with the VM that published it and the time when it reached this
// VM.
type ReceivedView struct {
	Origin     Name
	View       View
	ReceivedAt time.Time
}

// maxViewsPerHeartbeat limits the size of one heartbeat.
const maxViewsPerHeartbeat = 64

// viewStore holds the newest view of each origin and key.
type viewStore struct {
	mu          sync.Mutex
	self        Name
	incarnation Incarnation
	// sequence is the sequence number of this VM's newest own view.
	sequence int64
	// lastChange numbers the changes of this store; it increases with each.
	lastChange int64
	entries    map[viewStoreKey]*viewEntry
}

// viewStoreKey identifies an entry of a view store.
type viewStoreKey struct {
	origin Name
	key    viewKey
}

type viewEntry struct {
	view View
	// incarnation and sequence order the views of one origin.
	incarnation Incarnation
	sequence    int64
	// change is the number of the store's change that stored the entry.
	change     int64
	receivedAt time.Time
}

func newViewStore(self Name, incarnation Incarnation) *viewStore {
	return &viewStore{self: self, incarnation: incarnation, entries: map[viewStoreKey]*viewEntry{}}
}

// publish stores a view of this VM and reports whether it differs from the earlier one.
func (b *viewStore) publish(v View) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	key := viewStoreKey{b.self, v.key()}
	if e := b.entries[key]; e != nil && e.view == v {
		return false
	}
	b.sequence++
	b.lastChange++
	b.entries[key] = &viewEntry{view: v, incarnation: b.incarnation, sequence: b.sequence, change: b.lastChange, receivedAt: time.Now()}
	return true
}

// update stores a peer's view and reports whether it is newer than the stored one.
func (b *viewStore) update(p *peerpb.View) bool {
	v := viewFromProto(p)
	if v == nil || Name(p.GetOrigin()) == b.self {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	key := viewStoreKey{Name(p.GetOrigin()), v.key()}
	incarnation := Incarnation(p.GetIncarnation())
	e := b.entries[key]
	if e != nil && (incarnation < e.incarnation || incarnation == e.incarnation && p.GetSequence() <= e.sequence) {
		return false
	}
	b.lastChange++
	b.entries[key] = &viewEntry{view: v, incarnation: incarnation, sequence: p.GetSequence(), change: b.lastChange, receivedAt: time.Now()}
	return true
}

// removeOrigin drops the views of a VM that is gone. This VM's own views are kept.
func (b *viewStore) removeOrigin(origin Name) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for k := range b.entries {
		if k.origin == origin && origin != b.self {
			delete(b.entries, k)
		}
	}
}

// changesSince returns the views for a peer that changed after the given change number,
// oldest first, and the number of the last change that they cover.
func (b *viewStore) changesSince(after int64, to Name) ([]*peerpb.View, int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if after == b.lastChange {
		return nil, after
	}
	var keys []viewStoreKey
	for k, e := range b.entries {
		if e.change > after && k.origin != to && (k.origin == b.self || isForwarded(e.view)) {
			keys = append(keys, k)
		}
	}
	sort.Slice(keys, func(i, j int) bool { return b.entries[keys[i]].change < b.entries[keys[j]].change })
	lastCovered := b.lastChange
	if len(keys) > maxViewsPerHeartbeat {
		keys = keys[:maxViewsPerHeartbeat]
		lastCovered = b.entries[keys[maxViewsPerHeartbeat-1]].change
	}
	list := make([]*peerpb.View, 0, len(keys))
	for _, k := range keys {
		list = append(list, viewToProto(k.origin, b.entries[k]))
	}
	return list, lastCovered
}

// list returns all views, including this VM's own, sorted by origin and key.
func (b *viewStore) list() []ReceivedView {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := make([]ReceivedView, 0, len(b.entries))
	for k, e := range b.entries {
		list = append(list, ReceivedView{Origin: k.origin, View: e.view, ReceivedAt: e.receivedAt})
	}
	sort.Slice(list, func(i, j int) bool {
		a, c := list[i], list[j]
		if a.Origin != c.Origin {
			return a.Origin < c.Origin
		}
		x, y := a.View.key(), c.View.key()
		return x.kind+x.name < y.kind+y.name
	})
	return list
}

// viewToProto converts an entry to its wire form.
func viewToProto(origin Name, e *viewEntry) *peerpb.View {
	p := &peerpb.View{Origin: string(origin), Incarnation: int64(e.incarnation), Sequence: e.sequence}
	switch v := e.view.(type) {
	case Server:
		p.What = &peerpb.View_Server{Server: &peerpb.Server{Name: string(v.Name), Usable: v.Usable, Status: v.Status}}
	case Group:
		p.What = &peerpb.View_Group{Group: &peerpb.Group{Name: string(v.Name), Term: v.Term}}
	case LoadHint:
		p.What = &peerpb.View_Hint{Hint: &peerpb.Hint{Name: v.Name, Value: v.Value}}
	case SilentReport:
		p.What = &peerpb.View_Silent{Silent: &peerpb.Silent{Vm: string(v.VM), Incarnation: int64(v.Incarnation), Silent: v.Silent}}
	}
	return p
}

// viewFromProto converts a view from its wire form; it returns nil for an unknown kind.
func viewFromProto(p *peerpb.View) View {
	switch w := p.GetWhat().(type) {
	case *peerpb.View_Server:
		return Server{platform.ServerName(w.Server.GetName()), w.Server.GetUsable(), w.Server.GetStatus()}
	case *peerpb.View_Group:
		return Group{platform.UpstreamName(w.Group.GetName()), w.Group.GetTerm()}
	case *peerpb.View_Hint:
		return LoadHint{w.Hint.GetName(), w.Hint.GetValue()}
	case *peerpb.View_Silent:
		return SilentReport{Name(w.Silent.GetVm()), Incarnation(w.Silent.GetIncarnation()), w.Silent.GetSilent()}
	}
	return nil
}
