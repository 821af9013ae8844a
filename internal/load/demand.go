package load

import (
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/savoryramp/savoryramp/internal/platform"
)

// Kind is what a request does.
type Kind string

// The kinds of request.
const (
	Read  Kind = "read"
	Write Kind = "write"
)

// RequestID numbers the requests of a demand, from 1.
type RequestID int

// Request is one arrival.
type Request struct {
	ID        RequestID
	At        time.Duration
	Workspace platform.WorkspaceName
	Database  platform.DatabaseName
	Kind      Kind
	// Roams has the caller connect again first, to the VM of index VM, and hand over
	// its session token if WithToken is set.
	Roams     bool
	WithToken bool
	VM        int
}

// Demand lists the arrivals of a scenario in order of time: for each workspace a
// Poisson process. The same seed gives the same list.
func Demand(s Scenario, d *platform.Document, seed uint64, duration time.Duration) []Request {
	var list []Request
	for i := range d.Workspaces {
		w := &d.Workspaces[i]
		databases := reached(w, d)
		if len(databases) == 0 {
			continue
		}
		list = append(list, arrivals(s, w, databases, w.Name == surging(d), seed, duration)...)
	}
	slices.SortStableFunc(list, func(a, b Request) int { return int(a.At - b.At) })
	for i := range list {
		list[i].ID = RequestID(i + 1)
	}
	return list
}

// reached lists the databases of a workspace on the document's first upstream.
func reached(w *platform.Workspace, d *platform.Document) []platform.DatabaseName {
	var list []platform.DatabaseName
	for _, name := range w.Databases {
		if db, found := d.Database(name); found && db.Upstream == d.Upstreams[0].Name && !db.Open {
			list = append(list, name)
		}
	}
	return list
}

// arrivals of one workspace. A random number generator of its own keeps them the same
// whatever the other workspaces do.
func arrivals(s Scenario, w *platform.Workspace, databases []platform.DatabaseName, surges bool, seed uint64, duration time.Duration) []Request {
	h := fnv.New64a()
	_, _ = h.Write([]byte(w.Name))
	random := rand.New(rand.NewPCG(seed, h.Sum64()))
	var list []Request
	for at := time.Duration(0); ; {
		rate := float64(w.Rate) * s.loadAt(at, duration, surges)
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		if at >= duration {
			return list
		}
		list = append(list, request(random, s, w.Name, databases, at))
	}
}

// loadAt is the part of its rate that a workspace offers at a time.
func (s Scenario) loadAt(at, duration time.Duration, surges bool) float64 {
	part := float64(at) / float64(duration)
	if surges && s.Surge > 0 && part >= s.SurgeFrom && part < s.SurgeTo {
		return s.Surge
	}
	return s.Load
}

// request decides what one arrival does. Writes go to the first database, reads to any.
func request(random *rand.Rand, s Scenario, w platform.WorkspaceName, databases []platform.DatabaseName, at time.Duration) Request {
	r := Request{At: at, Workspace: w, Kind: Read, Database: databases[0]}
	if random.Float64() < s.Writes {
		r.Kind = Write
	} else {
		r.Database = databases[random.IntN(len(databases))]
	}
	r.Roams = random.Float64() < s.Roams
	r.WithToken = random.IntN(2) == 0
	r.VM = random.IntN(int(s.VMs.orUsual()))
	return r
}
