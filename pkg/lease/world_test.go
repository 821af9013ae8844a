package lease_test

import (
	"context"
	"fmt"
	"hash/fnv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/savoryramp/savoryramp/pkg/lease"
)

const duration = time.Second

// world is a table, a network and processes that fail as told.
type world struct {
	seed   uint64
	mutex  sync.Mutex
	row    lease.Row
	nodes  []*node
	count  uint64
	faulty bool
	start  time.Time
	out    bool
	// hook, if set, decides a swap: the delay of its effect, below 0 for none, and whether the
	// answer is lost.
	hook func(by lease.Name) (time.Duration, bool)
	cut  func(from, to lease.Name) bool
	both string
	// poll of the leases.
	poll time.Duration
	hear hearing
}

// hearing is what members hear of others without asking.
type hearing string

const (
	processes hearing = "processes"
	// names: which names live, but not that they started anew.
	names hearing = "names"
	// nobody: heartbeats go to others.
	nobody  hearing = "nobody"
	nothing hearing = "nothing"
)

type node struct {
	world  *world
	name   lease.Name
	lease  *lease.Lease
	cancel context.CancelFunc
	up     bool
	downAt time.Time
	upAt   time.Time
	paused time.Time
	starts int
	asks   uint64
	// reads and probes are the calls made.
	reads, probes atomic.Int64
}

func newWorld(seed uint64, names ...lease.Name) *world {
	w := &world{seed: seed, poll: 2 * time.Second, hear: processes, start: time.Now(), cut: func(lease.Name, lease.Name) bool { return false }}
	for _, n := range names {
		w.nodes = append(w.nodes, &node{world: w, name: n})
	}
	return w
}

// dice gives a number below n that depends on the seed and the call alone.
func (w *world) dice(n uint64, parts ...any) uint64 {
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, w.seed, parts)
	return (h.Sum64() >> 7) % n
}

func (w *world) node(name lease.Name) *node {
	for _, n := range w.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

func (w *world) run(t *testing.T, n *node, group *sync.WaitGroup) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	ctx, cancel := context.WithCancel(t.Context())
	n.starts++
	drift := int64(w.dice(2*lease.Drift+1, "drift", n.name, n.starts)) - lease.Drift
	l := &lease.Lease{
		Self:  lease.Member{Name: n.name, Incarnation: lease.Incarnation(fmt.Sprint(n.starts))},
		Table: n, Peers: n, Duration: duration, Poll: w.poll, ListLag: 3 * time.Second,
		NewChange: w.change,
		Now: func() time.Duration {
			passed := time.Since(w.start) + time.Second
			return passed + passed*time.Duration(drift)/1000
		},
		Candidates: func() []lease.Name { names, _ := w.listed(); return names },
		Listed:     w.listed,
	}
	if w.hear != nothing {
		l.Hears = n.hears
	}
	n.lease, n.cancel, n.up, n.upAt = l, cancel, true, time.Now()
	group.Go(func() { _ = l.Run(ctx) })
}

func (w *world) stop(n *node) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if n.up {
		n.cancel()
		n.up, n.downAt = false, time.Now()
	}
}

func (w *world) change() lease.Change {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.count++
	return lease.Change(fmt.Sprint(w.count))
}

func (w *world) listed() ([]lease.Name, bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	var names []lease.Name
	for _, n := range w.nodes {
		if n.up || time.Since(n.downAt) < 2*time.Second {
			names = append(names, n.name)
		}
	}
	return names, true
}

// heardLate is how long ago heartbeats tell the state of.
const heardLate = 300 * time.Millisecond

// hears is what heartbeats tell: late, and nothing of who is paused or cut off.
func (n *node) hears(name lease.Name) (lease.Run, bool) {
	peer, w := n.world.node(name), n.world
	w.mutex.Lock()
	defer w.mutex.Unlock()
	starts, lives := peer.starts, peer.up || time.Since(peer.downAt) < heardLate
	if peer.up && time.Since(peer.upAt) < heardLate {
		starts--
	}
	lives = lives && !time.Now().Before(peer.paused) && !w.cut(name, n.name)
	n.asks++
	if w.faulty && w.dice(5, "unheard", n.name, n.asks) == 0 {
		lives = false
	}
	if w.hear == names {
		starts = 1
	}
	return lease.Run(fmt.Sprint(starts)), lives && w.hear != nobody
}

// check notes when two running processes hold the lease.
func (w *world) check() {
	w.mutex.Lock()
	var up []*lease.Lease
	for _, n := range w.nodes {
		if n.up {
			up = append(up, n.lease)
		}
	}
	w.mutex.Unlock()
	holders := ""
	for _, l := range up {
		if hold, held := l.Held(); held {
			holders += fmt.Sprintf(" %s@%d", l.Self.Name, hold.Version)
		}
	}
	if len(holders) > 7 && w.both == "" {
		w.both = fmt.Sprintf("two holders after %v:%s", time.Since(w.start), holders)
	}
}

func (w *world) holder() lease.Name {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, n := range w.nodes {
		if n.up {
			if _, held := n.lease.Held(); held {
				return n.name
			}
		}
	}
	return ""
}

// awake waits out a pause of the node.
func (n *node) awake() {
	for {
		n.world.mutex.Lock()
		d := time.Until(n.paused)
		n.world.mutex.Unlock()
		if d <= 0 {
			return
		}
		time.Sleep(d)
	}
}

// delay is up to most; every eighth is four times that.
func (n *node) delay(most time.Duration, op string) time.Duration {
	w := n.world
	w.mutex.Lock()
	n.asks++
	k, faulty := n.asks, w.faulty
	w.mutex.Unlock()
	d := time.Duration(w.dice(uint64(most), "delay", n.name, op, k))
	if faulty && w.dice(8, "slow", n.name, op, k) == 0 {
		d *= 8
	}
	return d
}

func (n *node) lost(op string) bool {
	w := n.world
	w.mutex.Lock()
	defer w.mutex.Unlock()
	n.asks++
	return w.faulty && w.dice(5, "lost", n.name, op, n.asks) == 0
}

func (n *node) Read(ctx context.Context) (lease.Row, error) {
	n.reads.Add(1)
	n.awake()
	time.Sleep(n.delay(20*time.Millisecond, "read"))
	w := n.world
	w.mutex.Lock()
	row, out := w.row, w.out
	w.mutex.Unlock()
	time.Sleep(n.delay(20*time.Millisecond, "read answer"))
	n.awake()
	if out || ctx.Err() != nil || n.lost("read") {
		return lease.Row{}, lease.ErrUnavailable.New("no answer")
	}
	return row, nil
}

func (n *node) Swap(ctx context.Context, row lease.Row) (lease.Row, error) {
	n.awake()
	w := n.world
	w.mutex.Lock()
	out, hook := w.out, w.hook
	w.mutex.Unlock()
	if out && n.lost("refused") {
		return lease.Row{}, lease.ErrUnavailable.New("out")
	}
	before, lost := n.delay(100*time.Millisecond, "swap"), n.lost("swap")
	if hook != nil {
		w.mutex.Lock()
		before, lost = hook(n.name)
		w.mutex.Unlock()
	}
	if before < 0 {
		return lease.Row{}, lease.ErrUnavailable.New("out")
	}
	type answer struct {
		row lease.Row
		err error
	}
	answers := make(chan answer, 1)
	go func() {
		time.Sleep(before)
		stored, err := w.put(row)
		w.check()
		answers <- answer{stored, err}
	}()
	select {
	case <-ctx.Done():
	case a := <-answers:
		time.Sleep(n.delay(100*time.Millisecond, "swap answer"))
		n.awake()
		if !lost && ctx.Err() == nil {
			return a.row, a.err
		}
	}
	n.awake()
	return lease.Row{}, lease.ErrOutcomeUnknown.New("no answer")
}

func (w *world) put(row lease.Row) (lease.Row, error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.out {
		return lease.Row{}, lease.ErrOutcomeUnknown.New("out")
	}
	if w.row.Version != row.Version {
		return lease.Row{}, lease.ErrConflict.New("version %d", w.row.Version)
	}
	row.Version++
	w.row = row
	return row, nil
}

func (n *node) Ask(ctx context.Context, to lease.Name, request lease.Request) (lease.Answer, error) {
	if request.Kind == lease.Probe {
		n.probes.Add(1)
	}
	n.awake()
	w := n.world
	w.mutex.Lock()
	cut := w.cut(n.name, to)
	w.mutex.Unlock()
	if cut {
		return lease.Answer{}, lease.ErrUnavailable.New("refused")
	}
	if n.lost("ask") {
		<-ctx.Done()
		return lease.Answer{}, ctx.Err()
	}
	time.Sleep(n.delay(60*time.Millisecond, "ask"))
	peer := w.node(to)
	peer.awake()
	w.mutex.Lock()
	l, up := peer.lease, peer.up
	w.mutex.Unlock()
	if !up {
		<-ctx.Done()
		return lease.Answer{}, ctx.Err()
	}
	answer := l.Answer(request)
	w.check()
	peer.awake()
	time.Sleep(n.delay(60*time.Millisecond, "answer"))
	n.awake()
	if n.lost("answer") {
		<-ctx.Done()
		return lease.Answer{}, ctx.Err()
	}
	return answer, nil
}
