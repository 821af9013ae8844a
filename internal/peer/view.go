package peer

import (
	"sort"
	"sync"
	"time"

	"github.com/savoryramp/savoryramp/internal/peer/peerpb"
	"github.com/savoryramp/savoryramp/internal/platform"
)

// View is something that a VM observed and tells its peers. Its cases are Server,
// Group, Hint and Silent.
type View interface{ key() viewKey }

// Server is a VM's view of an upstream server.
type Server struct {
	Name   platform.ServerName
	Usable bool
	// Status is what the server reported last, as its JSON.
	Status string
}

// Group is the newest term that a VM knows of an upstream.
type Group struct {
	Name platform.UpstreamName
	Term int64
}

// Hint is a number that steers load, such as the tokens a VM has left.
type Hint struct {
	Name  string
	Value int64
}

// Silent tells that a VM hears nothing from another any more.
type Silent struct {
	VM          Name
	Incarnation Incarnation
	Silent      bool
}

type viewKey struct{ kind, name string }

func (v Server) key() viewKey { return viewKey{"server", string(v.Name)} }
func (v Group) key() viewKey  { return viewKey{"group", string(v.Name)} }
func (v Hint) key() viewKey   { return viewKey{"hint", v.Name} }
func (v Silent) key() viewKey { return viewKey{"silent", string(v.VM)} }

// far tells whether a view is passed on beyond the VMs that its origin talks to.
// Positions and hints change too often for that.
func far(v View) bool {
	switch v.(type) {
	case Group, Silent:
		return true
	}
	return false
}

// Sighting is a view with who had it and when it reached this VM.
type Sighting struct {
	Origin Name
	View   View
	At     time.Time
}

// viewsPerBeat bounds the size of one heartbeat.
const viewsPerBeat = 64

// board holds the newest view of each origin and key.
type board struct {
	mu       sync.Mutex
	self     Name
	life     Incarnation
	sequence int64
	// order rises with each change on this board.
	order   int64
	entries map[boardKey]*entry
}

type boardKey struct {
	origin Name
	key    viewKey
}

type entry struct {
	view     View
	life     Incarnation
	sequence int64
	order    int64
	at       time.Time
}

func newBoard(self Name, life Incarnation) *board {
	return &board{self: self, life: life, entries: map[boardKey]*entry{}}
}

// publish tells whether an own view is news.
func (b *board) publish(v View) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	key := boardKey{b.self, v.key()}
	if e := b.entries[key]; e != nil && e.view == v {
		return false
	}
	b.sequence++
	b.order++
	b.entries[key] = &entry{view: v, life: b.life, sequence: b.sequence, order: b.order, at: time.Now()}
	return true
}

// take stores a peer's view and tells whether it is news.
func (b *board) take(p *peerpb.View) bool {
	v := fromProto(p)
	if v == nil || Name(p.GetOrigin()) == b.self {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	key := boardKey{Name(p.GetOrigin()), v.key()}
	life := Incarnation(p.GetIncarnation())
	e := b.entries[key]
	if e != nil && (life < e.life || life == e.life && p.GetSequence() <= e.sequence) {
		return false
	}
	b.order++
	b.entries[key] = &entry{view: v, life: life, sequence: p.GetSequence(), order: b.order, at: time.Now()}
	return true
}

// forget drops the views of an origin that is gone.
func (b *board) forget(origin Name) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for k := range b.entries {
		if k.origin == origin && origin != b.self {
			delete(b.entries, k)
		}
	}
}

// since gives what changed after an order, oldest first, and the order reached.
func (b *board) since(order int64, to Name) ([]*peerpb.View, int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if order == b.order {
		return nil, order
	}
	var keys []boardKey
	for k, e := range b.entries {
		if e.order > order && k.origin != to && (k.origin == b.self || far(e.view)) {
			keys = append(keys, k)
		}
	}
	sort.Slice(keys, func(i, j int) bool { return b.entries[keys[i]].order < b.entries[keys[j]].order })
	reached := b.order
	if len(keys) > viewsPerBeat {
		keys = keys[:viewsPerBeat]
		reached = b.entries[keys[viewsPerBeat-1]].order
	}
	list := make([]*peerpb.View, 0, len(keys))
	for _, k := range keys {
		list = append(list, toProto(k.origin, b.entries[k]))
	}
	return list, reached
}

// sightings lists all views, this VM's own among them.
func (b *board) sightings() []Sighting {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := make([]Sighting, 0, len(b.entries))
	for k, e := range b.entries {
		list = append(list, Sighting{Origin: k.origin, View: e.view, At: e.at})
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

func toProto(origin Name, e *entry) *peerpb.View {
	p := &peerpb.View{Origin: string(origin), Incarnation: int64(e.life), Sequence: e.sequence}
	switch v := e.view.(type) {
	case Server:
		p.What = &peerpb.View_Server{Server: &peerpb.Server{Name: string(v.Name), Usable: v.Usable, Status: v.Status}}
	case Group:
		p.What = &peerpb.View_Group{Group: &peerpb.Group{Name: string(v.Name), Term: v.Term}}
	case Hint:
		p.What = &peerpb.View_Hint{Hint: &peerpb.Hint{Name: v.Name, Value: v.Value}}
	case Silent:
		p.What = &peerpb.View_Silent{Silent: &peerpb.Silent{Vm: string(v.VM), Incarnation: int64(v.Incarnation), Silent: v.Silent}}
	}
	return p
}

func fromProto(p *peerpb.View) View {
	switch w := p.GetWhat().(type) {
	case *peerpb.View_Server:
		return Server{platform.ServerName(w.Server.GetName()), w.Server.GetUsable(), w.Server.GetStatus()}
	case *peerpb.View_Group:
		return Group{platform.UpstreamName(w.Group.GetName()), w.Group.GetTerm()}
	case *peerpb.View_Hint:
		return Hint{w.Hint.GetName(), w.Hint.GetValue()}
	case *peerpb.View_Silent:
		return Silent{Name(w.Silent.GetVm()), Incarnation(w.Silent.GetIncarnation()), w.Silent.GetSilent()}
	}
	return nil
}
