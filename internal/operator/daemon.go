package operator

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-kit/log"
	"github.com/oklog/run"

	"github.com/savoryramp/savoryramp/internal/budget"
	"github.com/savoryramp/savoryramp/internal/caller"
	"github.com/savoryramp/savoryramp/internal/meter"
	"github.com/savoryramp/savoryramp/internal/platform"
)

const (
	// startTimeout limits each request to the platform at startup, and each read of its list
	// of VMs for a lease.
	startTimeout = 5 * time.Second
	// documentPollInterval is how often a VM reads the document's row. Peers usually announce
	// a new document earlier.
	documentPollInterval = 2 * time.Second
)

// Actor is a component of the daemon that runs until it is stopped.
type Actor struct {
	// Name identifies the component in the log, in kebab case.
	Name string
	// Run returns when ctx ends and leaves no goroutine running. If it returns earlier, the
	// daemon stops.
	Run func(ctx context.Context) error
	// Drain stops accepting work and returns when the running work is done or ctx ends. It
	// may be nil.
	Drain func(ctx context.Context) error
}

// Daemon runs the proxy on one VM.
type Daemon struct {
	Version  string
	Options  RunOptions
	Platform PlatformOptions
	Logger   log.Logger
	Metrics  *meter.Metrics
	Admin    *Admin
	// Certificates holds the content of the TLS files named in Options.
	Certificates Certificates
	Table        platform.Table
	Store        platform.Store
	// Configuration provides the document in force.
	Configuration *platform.Configuration
	components    *components
	// budget limits what clients may use.
	budget *budget.Budget
	// started is the time at which the components were created.
	started time.Time
	// Exit terminates the process immediately; it is called on a second signal.
	Exit func(ExitCode)
	// Signals delivers SIGTERM and SIGINT.
	Signals <-chan os.Signal
}

// actors returns the components in the order in which they drain.
func (d *Daemon) actors() []Actor {
	return []Actor{
		{Name: "configuration", Run: d.Configuration.Run},
		{Name: "upstreams", Run: d.components.upstreams.Run},
		{Name: "callers", Run: d.components.callers.Run, Drain: d.components.callers.Drain},
		{Name: "coordination", Run: d.components.coordination.Run},
		{Name: "shares", Run: d.components.limits.shares.Run},
		{Name: "share-row", Run: d.components.limits.fetchShareRow},
		{Name: "share-master", Run: d.components.limits.allocator.Run},
		{Name: "limits", Run: func(ctx context.Context) error { return d.components.limits.followDocuments(ctx, d.Configuration) }},
		{Name: "announcement", Run: d.announceUntilListed},
		{Name: "spread", Run: d.announceDocuments},
		{Name: "fleet", Run: d.components.fleet.Run, Drain: d.leaveFleet},
	}
}

// runDaemon runs the daemon until a drain is over or a component fails.
func (s *invocation) runDaemon() error {
	o := s.options
	certificates, err := readCertificates(o.Run)
	if err != nil {
		return err
	}
	metrics, err := meter.New()
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	logger := newLogger(o.Run.LogFormat, o.Run.LogLevel, s.errOut)
	o.Platform.Logger = logger
	d := &Daemon{
		Version:      s.version,
		Options:      o.Run,
		Platform:     o.Platform,
		Logger:       logger,
		Metrics:      metrics,
		Certificates: certificates,
		Table:        newTable(o.Platform),
		Store:        newStore(o.Platform),
		Exit:         func(code ExitCode) { os.Exit(int(code)) },
		Signals:      signals,
	}
	return d.Run()
}

// Run starts all components and returns when the daemon has drained or one of them has
// failed.
func (d *Daemon) Run() error {
	if err := d.prepare(); err != nil {
		return err
	}
	d.logStarting()
	return d.runGroup(d.actors())
}

// prepare opens the listeners, checks the platform and creates the components.
func (d *Daemon) prepare() error {
	d.Configuration = &platform.Configuration{Table: d.Table, Store: d.Store, PollInterval: documentPollInterval, Logger: d.Logger, Meter: d.Metrics.Meter("platform")}
	d.budget = &budget.Budget{Limits: d.Options.ClientLimits.Apply(0, 0, caller.MaxMessage), Logger: d.Logger}
	if err := d.budget.RegisterMetrics(d.Metrics.Meter("budget")); err != nil {
		return ErrFailed.Wrap(err, "metrics")
	}
	d.Admin = &Admin{Budget: d.budget, Address: d.Options.AdminListen, Ready: d.ready, Metrics: d.Metrics.Handler(), Logger: d.Logger}
	d.registerState(time.Now())
	if err := d.Admin.Listen(); err != nil {
		return err
	}
	err := d.checkPlatform()
	if err == nil {
		d.started = time.Now()
		d.components, err = d.newComponents()
	}
	if err != nil {
		_ = d.Admin.listener.Close()
	}
	return err
}

func (d *Daemon) logStarting() {
	o := d.Options
	eventStarting.Log(d.Logger, "version", d.Version, "vm", o.VMName, "availability-zone", o.AvailabilityZone,
		"listen", o.CallerListen, "admin", o.AdminListen, "peer", o.PeerListen, "caller-tls", o.ListenTLS.Certificate != "",
		"table-endpoint", d.Platform.TableEndpoint, "store-endpoint", d.Platform.StoreEndpoint,
		"balancer-lag", o.BalancerLag, "drain-time", o.DrainTime,
		"statement-deadline", o.StatementDeadline, "max-wait", o.MaxWait)
}

// checkPlatform reads the document's row once. If the table doesn't answer, the start
// fails unless there are seed peers, which may provide the document.
func (d *Daemon) checkPlatform() error {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	_, err := d.Table.Get(ctx, documentRow)
	if err == nil || isNoRow(err) {
		return nil
	}
	if len(d.Options.SeedPeers) > 0 {
		eventPlatformUnreachable.Log(d.Logger, "error", rootCause(err))
		return nil
	}
	return platformError(d.Platform, err)
}

func (d *Daemon) ready() bool {
	if d.Configuration.Current().Version == 0 || d.components == nil {
		return false
	}
	return d.components.limits.hasShares() || time.Since(d.started) > sharesTimeout
}

// runGroup runs the components until one of them returns, then stops the others.
func (d *Daemon) runGroup(actors []Actor) error {
	var g run.Group
	add := func(name string, run func(context.Context) error) {
		ctx, cancel := context.WithCancel(context.Background())
		g.Add(func() error { return d.runActor(ctx, name, run) }, func(error) { cancel() })
	}
	add("admin", d.Admin.Run)
	for _, a := range actors {
		add(a.Name, a.Run)
	}
	add("readiness", d.logReady)
	add("signals", d.watchSignals)
	add("drain", func(ctx context.Context) error { return d.drainOnRequest(ctx, actors) })
	return g.Run()
}

func (d *Daemon) runActor(ctx context.Context, name string, run func(context.Context) error) error {
	eventActorStarted.Log(d.Logger, "part", name)
	err := run(ctx)
	if err != nil && ctx.Err() == nil {
		eventActorFailed.Log(d.Logger, "part", name, "error", err)
		return err
	}
	eventActorStopped.Log(d.Logger, "part", name)
	return nil
}

func (d *Daemon) logReady(ctx context.Context) error {
	snapshot, err := d.Configuration.Wait(ctx, 0)
	if err == nil {
		eventReady.Log(d.Logger, "document-version", snapshot.Version, "document-hash", snapshot.Hash)
	}
	<-ctx.Done()
	return nil
}

// watchSignals starts a drain on the first signal and exits immediately on the second.
func (d *Daemon) watchSignals(ctx context.Context) error {
	for received := 0; ; received++ {
		select {
		case <-ctx.Done():
			return nil
		case s := <-d.Signals:
			if received > 0 {
				eventExitAtOnce.Log(d.Logger, "signal", s)
				d.Exit(ExitFailed)
			}
			d.Admin.Drain()
		}
	}
}

// drainOnRequest waits for a drain request and drains the actors in order. Its return ends
// the run group and thereby the daemon.
func (d *Daemon) drainOnRequest(ctx context.Context, actors []Actor) error {
	select {
	case <-ctx.Done():
		return nil
	case <-d.Admin.Draining():
	}
	eventDraining.Log(d.Logger, "balancer-lag", d.Options.BalancerLag, "drain-time", d.Options.DrainTime)
	if !platform.Pause(ctx, d.Options.BalancerLag) {
		return nil
	}
	drainCtx, cancel := context.WithTimeout(ctx, d.Options.DrainTime)
	defer cancel()
	for _, a := range actors {
		if a.Drain == nil {
			continue
		}
		if err := a.Drain(drainCtx); err != nil {
			eventDrainTimedOut.Log(d.Logger, "part", a.Name, "error", err)
		}
	}
	eventDrained.Log(d.Logger)
	return nil
}
