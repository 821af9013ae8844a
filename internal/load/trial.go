package load

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/savoryramp/savoryramp/internal/platform"
)

const (
	// UsualSettle lets the VMs know each other and take their leases.
	UsualSettle = 4 * time.Second
	// requestTimeout bounds one attempt with its connection.
	requestTimeout = 10 * time.Second
	// attempts bounds how often a caller tries a request that wasn't run because its
	// VM was leaving.
	attempts = 4
	// personsEach is how many persons of each crowd are connected before the load.
	personsEach = 12
)

// Outcome is what a caller was told of its request.
type Outcome string

// The outcomes.
const (
	Answered Outcome = "answered"
	// Refused requests were not run.
	Refused Outcome = "refused"
	// Unknown requests may have run.
	Unknown Outcome = "unknown"
)

// Result is what became of a request.
type Result struct {
	Request
	// Sent and Done are when the last attempt began and ended, from the load's start.
	Sent time.Duration
	Done time.Duration
	// Outcome with the SQLSTATE unless the request was answered; empty without one.
	Outcome Outcome
	Code    string
	// ReplicaFit is true when, at the moment of sending, a replica had applied all of
	// the person's own acknowledged writes.
	ReplicaFit bool
	// Stale is true when a read missed an acknowledged write of its own person.
	Stale bool
	// Primary is the server that led the group at Done.
	Primary string
}

// Trial plays one scenario.
type Trial struct {
	Site     *Site
	Scenario Scenario
	Seed     uint64
	Duration time.Duration
	Logger   log.Logger
	// Progress is called once a second with what was told so far; may be nil.
	Progress func(elapsed time.Duration, told map[Outcome]int)
	// Settle is waited before the load, so that the VMs know each other.
	Settle time.Duration

	demand  []Request
	began   time.Time
	crowds  map[crowdKey]*crowd
	persons atomic.Int64

	mu      sync.Mutex
	results []Result
	told    map[Outcome]int
}

type crowdKey struct {
	workspace platform.WorkspaceName
	database  platform.DatabaseName
}

// Run starts the site, plays demand and faults, and gives what became of each request.
// ErrSetup.
func (t *Trial) Run(ctx context.Context) ([]Result, error) {
	defer t.Site.Stop()
	if err := t.Site.Start(ctx); err != nil {
		return nil, err
	}
	t.Scenario.VMs = t.Site.Count
	t.demand = Demand(t.Scenario, t.Site.Document, t.Seed, t.Duration)
	if len(t.demand) == 0 {
		return nil, ErrSetup.New("no workspace of the document reaches its first upstream")
	}
	t.told = map[Outcome]int{}
	t.gather()
	defer t.disperse()
	t.warm(ctx)
	platform.Pause(ctx, t.Settle)
	t.began = time.Now()
	t.play(ctx)
	return t.results, ctx.Err()
}

// gather makes the crowds that the demand needs.
func (t *Trial) gather() {
	t.crowds = map[crowdKey]*crowd{}
	next := func() PersonID { return PersonID(t.persons.Add(1)) }
	for _, r := range t.demand {
		k := crowdKey{r.Workspace, r.Database}
		if t.crowds[k] == nil {
			t.crowds[k] = &crowd{workspace: r.Workspace, database: r.Database, next: next}
		}
	}
}

// warm connects some persons of each crowd.
func (t *Trial) warm(ctx context.Context) {
	var tasks sync.WaitGroup
	for k, c := range t.crowds {
		tasks.Go(func() {
			var list []*Person
			for range personsEach {
				p := c.take()
				list = append(list, p)
				ctx, cancel := context.WithTimeout(ctx, requestTimeout)
				p.connection, _ = connect(ctx, string(t.Site.listed(p.vm).Address), keyName(k.workspace), secret(k.workspace), k.database, "")
				cancel()
			}
			for _, p := range list {
				c.back(p)
			}
		})
	}
	tasks.Wait()
}

func (t *Trial) disperse() {
	for _, c := range t.crowds {
		for _, p := range c.all {
			p.leave()
		}
	}
}

// play sends each request at its time, whatever became of those before.
func (t *Trial) play(ctx context.Context) {
	var tasks sync.WaitGroup
	timed, cancel := context.WithTimeout(ctx, t.Duration)
	defer cancel()
	tasks.Go(func() { t.inflict(ctx) })
	tasks.Go(func() { t.report(timed) })
	for _, r := range t.demand {
		if !platform.Pause(ctx, time.Until(t.began.Add(r.At))) {
			break
		}
		tasks.Go(func() { t.serve(ctx, r) })
	}
	tasks.Wait()
}

// inflict plays the faults.
func (t *Trial) inflict(ctx context.Context) {
	for _, f := range t.Scenario.Faults {
		at := time.Duration(f.At * float64(t.Duration))
		if !platform.Pause(ctx, time.Until(t.began.Add(at))) {
			return
		}
		if err := t.Site.inflict(ctx, f.Fault); err != nil {
			eventFaultFailed.Log(t.Logger, "fault", f.Fault.label(), "error", err)
		}
	}
}

func (t *Trial) report(ctx context.Context) {
	if t.Progress == nil {
		return
	}
	for platform.Pause(ctx, time.Second) {
		t.mu.Lock()
		t.Progress(time.Since(t.began), t.told)
		t.mu.Unlock()
	}
}

// serve has a person of the right crowd make the request.
func (t *Trial) serve(ctx context.Context, r Request) {
	c := t.crowds[crowdKey{r.Workspace, r.Database}]
	p := c.take()
	defer c.back(p)
	if r.Roams {
		p.roam(r.VM, r.WithToken)
	}
	result := t.attempt(ctx, p, r)
	result.Primary = t.primary()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.results = append(t.results, result)
	t.told[result.Outcome]++
}

// attempt sends a request until it was answered, refused for good, or may have run.
func (t *Trial) attempt(ctx context.Context, p *Person, r Request) Result {
	result := Result{Request: r, ReplicaFit: r.Kind == Read && t.replicaFit(p)}
	var found int
	var err error
	for range attempts {
		result.Sent = time.Since(t.began)
		timed, cancel := context.WithTimeout(ctx, requestTimeout)
		found, err = p.send(timed, t.Site, r)
		cancel()
		result.Outcome, result.Code = outcomeOf(err)
		if !leaving(err) {
			break
		}
		p.roam(p.vm+1, true)
	}
	result.Done = time.Since(t.began)
	t.note(p, &result, found, err)
	return result
}

// note keeps what the person knows now of its own writes.
func (t *Trial) note(p *Person, r *Result, found int, err error) {
	switch {
	case err != nil:
		eventRequestFailed.Log(t.Logger, "request", r.ID, "kind", r.Kind, "outcome", r.Outcome, "error", err)
		if r.Kind == Write && r.Outcome == Unknown {
			p.unknown++
		}
		if ServerError(err) == nil {
			p.leave()
		}
	case r.Kind == Write:
		p.acknowledged++
		p.take(t.Site.Document.Upstreams[0].Name)
	case found < p.acknowledged:
		r.Stale = true
		eventWrongAnswer.Log(t.Logger, "request", r.ID, "person", p.ID, "found", found, "acknowledged", p.acknowledged)
	}
}

// replicaFit tells whether a replica has applied the person's own writes.
func (t *Trial) replicaFit(p *Person) bool {
	for _, s := range t.Site.replicas() {
		if s.Applied().Covers(p.floor) {
			return true
		}
	}
	return false
}

func (t *Trial) primary() string {
	if p := t.Site.Group.Primary(); p != nil {
		return string(p.Name)
	}
	return ""
}

// outcomeOf is what an error tells: only an answer of the VM, or that nothing was
// sent, says that the request was not run.
func outcomeOf(err error) (Outcome, string) {
	if err == nil {
		return Answered, ""
	}
	answer := ServerError(err)
	_, unsent := err.(notSent)
	switch {
	case answer == nil && (unsent || pgconn.SafeToRetry(err)):
		return Refused, ""
	case answer == nil:
		return Unknown, ""
	case answer.Code == codeUnknown:
		return Unknown, answer.Code
	}
	return Refused, answer.Code
}

// leaving tells whether the VM is ending or gone, so that another has to be asked.
func leaving(err error) bool {
	answer := ServerError(err)
	if answer != nil {
		return answer.Code == codeShutdown
	}
	outcome, _ := outcomeOf(err)
	return outcome == Refused
}
