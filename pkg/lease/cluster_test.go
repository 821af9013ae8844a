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

// leaseDuration is the Duration of all leases in these tests.
const leaseDuration = time.Second

// cluster simulates a table, a network and processes with injected faults.
type cluster struct {
	seed          uint64
	mutex         sync.Mutex
	row           lease.Row
	nodes         []*node
	changeCount   uint64
	faultsEnabled bool
	startedAt     time.Time
	tableDown     bool
	// swapHook, if set, returns the delay before a swap takes effect, negative if it never
	// does, and whether its response is lost.
	swapHook func(by lease.Name) (time.Duration, bool)
	// isCut reports whether messages from one node to another can't be delivered.
	isCut     func(from, to lease.Name) bool
	violation string
	// pollInterval is the PollInterval of the leases.
	pollInterval time.Duration
	heartbeats   heartbeatMode
}

// heartbeatMode says what members observe of others without probes.
type heartbeatMode string

const (
	// heartbeatRuns means that members observe which run of each name is alive.
	heartbeatRuns heartbeatMode = "processes"
	// heartbeatNames means that members observe which names are alive, but not whether their
	// processes restarted.
	heartbeatNames heartbeatMode = "names"
	// heartbeatsElsewhere means that no simulated member receives heartbeats, as if they all
	// went to other members.
	heartbeatsElsewhere heartbeatMode = "nobody"
	// heartbeatsDisabled means that the leases have no ObservedRun function.
	heartbeatsDisabled heartbeatMode = "nothing"
)

// node is a member of the lease with its own table and network client.
type node struct {
	cluster     *cluster
	name        lease.Name
	lease       *lease.Lease
	cancel      context.CancelFunc
	up          bool
	downAt      time.Time
	upAt        time.Time
	pausedUntil time.Time
	// starts counts the starts of the process and serves as its incarnation.
	starts int
	// randomCalls counts the node's random decisions. The count enters each decision, so that
	// they differ.
	randomCalls uint64
	// reads and probes count the calls that the node made.
	reads, probes atomic.Int64
}

func newCluster(seed uint64, names ...lease.Name) *cluster {
	c := &cluster{seed: seed, pollInterval: 2 * time.Second, heartbeats: heartbeatRuns, startedAt: time.Now(), isCut: func(lease.Name, lease.Name) bool { return false }}
	for _, n := range names {
		c.nodes = append(c.nodes, &node{cluster: c, name: n})
	}
	return c
}

// random returns a number below limit that depends only on the seed and parts.
func (c *cluster) random(limit uint64, parts ...any) uint64 {
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, c.seed, parts)
	return (h.Sum64() >> 7) % limit
}

func (c *cluster) node(name lease.Name) *node {
	for _, n := range c.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

func (c *cluster) startNode(t *testing.T, n *node, group *sync.WaitGroup) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	ctx, cancel := context.WithCancel(t.Context())
	n.starts++
	drift := int64(c.random(2*lease.MaxDriftPermille+1, "drift", n.name, n.starts)) - lease.MaxDriftPermille
	l := &lease.Lease{
		Self:  lease.Member{Name: n.name, Incarnation: lease.Incarnation(fmt.Sprint(n.starts))},
		Table: n, Peers: n, Duration: leaseDuration, PollInterval: c.pollInterval, MaxListAge: 3 * time.Second,
		NewChangeID: c.newChangeID,
		Now: func() time.Duration {
			passed := time.Since(c.startedAt) + time.Second
			return passed + passed*time.Duration(drift)/1000
		},
		Candidates:  func() []lease.Name { names, _ := c.listedNames(); return names },
		ListedNames: c.listedNames,
	}
	if c.heartbeats != heartbeatsDisabled {
		l.ObservedRun = n.observedRun
	}
	n.lease, n.cancel, n.up, n.upAt = l, cancel, true, time.Now()
	group.Go(func() { _ = l.Run(ctx) })
}

func (c *cluster) stopNode(n *node) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if n.up {
		n.cancel()
		n.up, n.downAt = false, time.Now()
	}
}

func (c *cluster) newChangeID() lease.ChangeID {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.changeCount++
	return lease.ChangeID(fmt.Sprint(c.changeCount))
}

func (c *cluster) listedNames() ([]lease.Name, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var names []lease.Name
	for _, n := range c.nodes {
		if n.up || time.Since(n.downAt) < 2*time.Second {
			names = append(names, n.name)
		}
	}
	return names, true
}

// heartbeatLag is how long a start or an end of a process stays invisible to other members.
const heartbeatLag = 300 * time.Millisecond

// observedRun returns the run of a node according to delayed heartbeats. Nodes that are
// paused or cut off send none.
func (n *node) observedRun(name lease.Name) (lease.RunID, bool) {
	peer, c := n.cluster.node(name), n.cluster
	c.mutex.Lock()
	defer c.mutex.Unlock()
	starts, alive := peer.starts, peer.up || time.Since(peer.downAt) < heartbeatLag
	if peer.up && time.Since(peer.upAt) < heartbeatLag {
		starts--
	}
	alive = alive && !time.Now().Before(peer.pausedUntil) && !c.isCut(name, n.name)
	n.randomCalls++
	if c.faultsEnabled && c.random(5, "unheard", n.name, n.randomCalls) == 0 {
		alive = false
	}
	if c.heartbeats == heartbeatNames {
		starts = 1
	}
	return lease.RunID(fmt.Sprint(starts)), alive && c.heartbeats != heartbeatsElsewhere
}

// checkHolders records a violation if two running processes hold the lease.
func (c *cluster) checkHolders() {
	c.mutex.Lock()
	var up []*lease.Lease
	for _, n := range c.nodes {
		if n.up {
			up = append(up, n.lease)
		}
	}
	c.mutex.Unlock()
	holders := ""
	for _, l := range up {
		if grant, held := l.Held(); held {
			holders += fmt.Sprintf(" %s@%d", l.Self.Name, grant.Version)
		}
	}
	if len(holders) > 7 && c.violation == "" {
		c.violation = fmt.Sprintf("two holders after %v:%s", time.Since(c.startedAt), holders)
	}
}

func (c *cluster) holder() lease.Name {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, n := range c.nodes {
		if n.up {
			if _, held := n.lease.Held(); held {
				return n.name
			}
		}
	}
	return ""
}

// waitForPause waits until the node isn't paused any more.
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

// randomDelay returns a delay below limit; with faults, one in eight is eight times as long.
func (n *node) randomDelay(limit time.Duration, op string) time.Duration {
	c := n.cluster
	c.mutex.Lock()
	n.randomCalls++
	call, faulty := n.randomCalls, c.faultsEnabled
	c.mutex.Unlock()
	d := time.Duration(c.random(uint64(limit), "delay", n.name, op, call))
	if faulty && c.random(8, "slow", n.name, op, call) == 0 {
		d *= 8
	}
	return d
}

func (n *node) isLost(op string) bool {
	c := n.cluster
	c.mutex.Lock()
	defer c.mutex.Unlock()
	n.randomCalls++
	return c.faultsEnabled && c.random(5, "lost", n.name, op, n.randomCalls) == 0
}

func (n *node) Read(ctx context.Context) (lease.Row, error) {
	n.reads.Add(1)
	n.waitForPause()
	time.Sleep(n.randomDelay(20*time.Millisecond, "read"))
	c := n.cluster
	c.mutex.Lock()
	row, tableDown := c.row, c.tableDown
	c.mutex.Unlock()
	time.Sleep(n.randomDelay(20*time.Millisecond, "read answer"))
	n.waitForPause()
	if tableDown || ctx.Err() != nil || n.isLost("read") {
		return lease.Row{}, lease.ErrUnavailable.New("no answer")
	}
	return row, nil
}

func (n *node) Swap(ctx context.Context, row lease.Row) (lease.Row, error) {
	n.waitForPause()
	c := n.cluster
	c.mutex.Lock()
	tableDown, swapHook := c.tableDown, c.swapHook
	c.mutex.Unlock()
	if tableDown && n.isLost("refused") {
		return lease.Row{}, lease.ErrUnavailable.New("out")
	}
	delay, lost := n.randomDelay(100*time.Millisecond, "swap"), n.isLost("swap")
	if swapHook != nil {
		c.mutex.Lock()
		delay, lost = swapHook(n.name)
		c.mutex.Unlock()
	}
	if delay < 0 {
		return lease.Row{}, lease.ErrUnavailable.New("out")
	}
	type result struct {
		row lease.Row
		err error
	}
	results := make(chan result, 1)
	go func() {
		time.Sleep(delay)
		stored, err := c.applySwap(row)
		c.checkHolders()
		results <- result{stored, err}
	}()
	select {
	case <-ctx.Done():
	case answer := <-results:
		time.Sleep(n.randomDelay(100*time.Millisecond, "swap answer"))
		n.waitForPause()
		if !lost && ctx.Err() == nil {
			return answer.row, answer.err
		}
	}
	n.waitForPause()
	return lease.Row{}, lease.ErrOutcomeUnknown.New("no answer")
}

func (c *cluster) applySwap(row lease.Row) (lease.Row, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.tableDown {
		return lease.Row{}, lease.ErrOutcomeUnknown.New("out")
	}
	if c.row.Version != row.Version {
		return lease.Row{}, lease.ErrConflict.New("version %d", c.row.Version)
	}
	row.Version++
	c.row = row
	return row, nil
}

func (n *node) Send(ctx context.Context, to lease.Name, request lease.Request) (lease.Response, error) {
	if request.Kind == lease.Probe {
		n.probes.Add(1)
	}
	n.waitForPause()
	c := n.cluster
	c.mutex.Lock()
	cut := c.isCut(n.name, to)
	c.mutex.Unlock()
	if cut {
		return lease.Response{}, lease.ErrUnavailable.New("refused")
	}
	if n.isLost("ask") {
		<-ctx.Done()
		return lease.Response{}, ctx.Err()
	}
	time.Sleep(n.randomDelay(60*time.Millisecond, "ask"))
	peer := c.node(to)
	peer.waitForPause()
	c.mutex.Lock()
	l, up := peer.lease, peer.up
	c.mutex.Unlock()
	if !up {
		<-ctx.Done()
		return lease.Response{}, ctx.Err()
	}
	response := l.HandleRequest(request)
	c.checkHolders()
	peer.waitForPause()
	time.Sleep(n.randomDelay(60*time.Millisecond, "answer"))
	n.waitForPause()
	if n.isLost("answer") {
		<-ctx.Done()
		return lease.Response{}, ctx.Err()
	}
	return response, nil
}
