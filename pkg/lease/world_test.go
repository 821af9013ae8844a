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
type cluster struct {
	seed          uint64
	mutex         sync.Mutex
	row           lease.Row
	nodes         []*node
	changeCount   uint64
	faultsEnabled bool
	startedAt     time.Time
	tableDown     bool
	// hook, if set, decides a swap: the delay of its effect, below 0 for none, and whether the
	// answer is lost.
	swapHook  func(by lease.Name) (time.Duration, bool)
	isCut     func(from, to lease.Name) bool
	violation string
	// poll of the leases.
	pollInterval time.Duration
	heartbeats   heartbeatMode
}

// hearing is what members hear of others without asking.
type heartbeatMode string

const (
	heartbeatRuns heartbeatMode = "processes"
	// names: which names live, but not that they started anew.
	heartbeatNames heartbeatMode = "names"
	// nobody: heartbeats go to others.
	heartbeatsElsewhere heartbeatMode = "nobody"
	heartbeatsDisabled  heartbeatMode = "nothing"
)

type node struct {
	cluster     *cluster
	name        lease.Name
	lease       *lease.Lease
	cancel      context.CancelFunc
	up          bool
	downAt      time.Time
	upAt        time.Time
	pausedUntil time.Time
	starts      int
	randomCalls uint64
	// reads and probes are the calls made.
	reads, probes atomic.Int64
}

func newCluster(seed uint64, names ...lease.Name) *cluster {
	w := &cluster{seed: seed, pollInterval: 2 * time.Second, heartbeats: heartbeatRuns, startedAt: time.Now(), isCut: func(lease.Name, lease.Name) bool { return false }}
	for _, n := range names {
		w.nodes = append(w.nodes, &node{cluster: w, name: n})
	}
	return w
}

// dice gives a number below n that depends on the seed and the call alone.
func (w *cluster) random(limit uint64, parts ...any) uint64 {
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, w.seed, parts)
	return (h.Sum64() >> 7) % limit
}

func (w *cluster) node(name lease.Name) *node {
	for _, n := range w.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

func (w *cluster) startNode(t *testing.T, n *node, group *sync.WaitGroup) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	ctx, cancel := context.WithCancel(t.Context())
	n.starts++
	drift := int64(w.random(2*lease.MaxDriftPermille+1, "drift", n.name, n.starts)) - lease.MaxDriftPermille
	l := &lease.Lease{
		Self:  lease.Member{Name: n.name, Incarnation: lease.Incarnation(fmt.Sprint(n.starts))},
		Table: n, Peers: n, Duration: duration, PollInterval: w.pollInterval, MaxListAge: 3 * time.Second,
		NewChangeID: w.newChangeID,
		Now: func() time.Duration {
			passed := time.Since(w.startedAt) + time.Second
			return passed + passed*time.Duration(drift)/1000
		},
		Candidates:  func() []lease.Name { names, _ := w.listedNames(); return names },
		ListedNames: w.listedNames,
	}
	if w.heartbeats != heartbeatsDisabled {
		l.ObservedRun = n.observedRun
	}
	n.lease, n.cancel, n.up, n.upAt = l, cancel, true, time.Now()
	group.Go(func() { _ = l.Run(ctx) })
}

func (w *cluster) stopNode(n *node) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if n.up {
		n.cancel()
		n.up, n.downAt = false, time.Now()
	}
}

func (w *cluster) newChangeID() lease.ChangeID {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.changeCount++
	return lease.ChangeID(fmt.Sprint(w.changeCount))
}

func (w *cluster) listedNames() ([]lease.Name, bool) {
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
const heartbeatLag = 300 * time.Millisecond

// hears is what heartbeats tell: late, and nothing of who is paused or cut off.
func (n *node) observedRun(name lease.Name) (lease.RunID, bool) {
	peer, w := n.cluster.node(name), n.cluster
	w.mutex.Lock()
	defer w.mutex.Unlock()
	starts, alive := peer.starts, peer.up || time.Since(peer.downAt) < heartbeatLag
	if peer.up && time.Since(peer.upAt) < heartbeatLag {
		starts--
	}
	alive = alive && !time.Now().Before(peer.pausedUntil) && !w.isCut(name, n.name)
	n.randomCalls++
	if w.faultsEnabled && w.random(5, "unheard", n.name, n.randomCalls) == 0 {
		alive = false
	}
	if w.heartbeats == heartbeatNames {
		starts = 1
	}
	return lease.RunID(fmt.Sprint(starts)), alive && w.heartbeats != heartbeatsElsewhere
}

// check notes when two running processes hold the lease.
func (w *cluster) checkHolders() {
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
	if len(holders) > 7 && w.violation == "" {
		w.violation = fmt.Sprintf("two holders after %v:%s", time.Since(w.startedAt), holders)
	}
}

func (w *cluster) holder() lease.Name {
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
func (n *node) waitForPause() {
	for {
		n.cluster.mutex.Lock()
		d := time.Until(n.pausedUntil)
		n.cluster.mutex.Unlock()
		if d <= 0 {
			return
		}
		time.Sleep(d)
	}
}

// delay is up to most; every eighth is four times that.
func (n *node) randomDelay(limit time.Duration, op string) time.Duration {
	w := n.cluster
	w.mutex.Lock()
	n.randomCalls++
	call, faulty := n.randomCalls, w.faultsEnabled
	w.mutex.Unlock()
	d := time.Duration(w.random(uint64(limit), "delay", n.name, op, call))
	if faulty && w.random(8, "slow", n.name, op, call) == 0 {
		d *= 8
	}
	return d
}

func (n *node) isLost(op string) bool {
	w := n.cluster
	w.mutex.Lock()
	defer w.mutex.Unlock()
	n.randomCalls++
	return w.faultsEnabled && w.random(5, "lost", n.name, op, n.randomCalls) == 0
}

func (n *node) Read(ctx context.Context) (lease.Row, error) {
	n.reads.Add(1)
	n.waitForPause()
	time.Sleep(n.randomDelay(20*time.Millisecond, "read"))
	w := n.cluster
	w.mutex.Lock()
	row, tableDown := w.row, w.tableDown
	w.mutex.Unlock()
	time.Sleep(n.randomDelay(20*time.Millisecond, "read answer"))
	n.waitForPause()
	if tableDown || ctx.Err() != nil || n.isLost("read") {
		return lease.Row{}, lease.ErrUnavailable.New("no answer")
	}
	return row, nil
}

func (n *node) Swap(ctx context.Context, row lease.Row) (lease.Row, error) {
	n.waitForPause()
	w := n.cluster
	w.mutex.Lock()
	tableDown, swapHook := w.tableDown, w.swapHook
	w.mutex.Unlock()
	if tableDown && n.isLost("refused") {
		return lease.Row{}, lease.ErrUnavailable.New("out")
	}
	delay, lost := n.randomDelay(100*time.Millisecond, "swap"), n.isLost("swap")
	if swapHook != nil {
		w.mutex.Lock()
		delay, lost = swapHook(n.name)
		w.mutex.Unlock()
	}
	if delay < 0 {
		return lease.Row{}, lease.ErrUnavailable.New("out")
	}
	type answer struct {
		row lease.Row
		err error
	}
	answers := make(chan answer, 1)
	go func() {
		time.Sleep(delay)
		stored, err := w.applySwap(row)
		w.checkHolders()
		answers <- answer{stored, err}
	}()
	select {
	case <-ctx.Done():
	case a := <-answers:
		time.Sleep(n.randomDelay(100*time.Millisecond, "swap answer"))
		n.waitForPause()
		if !lost && ctx.Err() == nil {
			return a.row, a.err
		}
	}
	n.waitForPause()
	return lease.Row{}, lease.ErrOutcomeUnknown.New("no answer")
}

func (w *cluster) applySwap(row lease.Row) (lease.Row, error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.tableDown {
		return lease.Row{}, lease.ErrOutcomeUnknown.New("out")
	}
	if w.row.Version != row.Version {
		return lease.Row{}, lease.ErrConflict.New("version %d", w.row.Version)
	}
	row.Version++
	w.row = row
	return row, nil
}

func (n *node) Send(ctx context.Context, to lease.Name, request lease.Request) (lease.Response, error) {
	if request.Kind == lease.Probe {
		n.probes.Add(1)
	}
	n.waitForPause()
	w := n.cluster
	w.mutex.Lock()
	cut := w.isCut(n.name, to)
	w.mutex.Unlock()
	if cut {
		return lease.Response{}, lease.ErrUnavailable.New("refused")
	}
	if n.isLost("ask") {
		<-ctx.Done()
		return lease.Response{}, ctx.Err()
	}
	time.Sleep(n.randomDelay(60*time.Millisecond, "ask"))
	peer := w.node(to)
	peer.waitForPause()
	w.mutex.Lock()
	l, up := peer.lease, peer.up
	w.mutex.Unlock()
	if !up {
		<-ctx.Done()
		return lease.Response{}, ctx.Err()
	}
	answer := l.HandleRequest(request)
	w.checkHolders()
	peer.waitForPause()
	time.Sleep(n.randomDelay(60*time.Millisecond, "answer"))
	n.waitForPause()
	if n.isLost("answer") {
		<-ctx.Done()
		return lease.Response{}, ctx.Err()
	}
	return answer, nil
}
