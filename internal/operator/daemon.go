package operator

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-kit/log"
	"github.com/oklog/run"

	"github.com/savoryramp/savoryramp/internal/meter"
	"github.com/savoryramp/savoryramp/internal/platform"
)

const (
	// startTimeout bounds the first question to the platform.
	startTimeout = 5 * time.Second
	// pollEvery is how often a VM reads the document's row; peers tell it sooner.
	documentPollInterval = 2 * time.Second
)

// Actor is one part of the daemon.
type Actor struct {
	// Name is in kebab case.
	Name string
	// Run returns when ctx ends and leaves no goroutine behind. An earlier return
	// ends the daemon.
	Run func(ctx context.Context) error
	// Drain takes no new work and returns when all is done or ctx ends; may be nil.
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
	// Certificates are those of the files in Options.
	Certificates Certificates
	Table        platform.Table
	Store        platform.Store
	// Configuration follows the document in force.
	Configuration *platform.Configuration
	components    *components
	// started is when the parts were made.
	started time.Time
	// Exit ends the process at once, on a second signal.
	Exit func(ExitCode)
	// Signals delivers SIGTERM and SIGINT.
	Signals <-chan os.Signal
}

// actors lists the parts in the order in which they drain.
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

// runDaemon runs the daemon until a drain is over or a part fails.
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
	d := &Daemon{
		Version:      s.version,
		Options:      o.Run,
		Platform:     o.Platform,
		Logger:       newLogger(o.Run.LogFormat, o.Run.LogLevel, s.errOut),
		Metrics:      metrics,
		Certificates: certificates,
		Table:        newTable(o.Platform),
		Store:        newStore(o.Platform),
		Exit:         func(code ExitCode) { os.Exit(int(code)) },
		Signals:      signals,
	}
	return d.Run()
}

// Run starts all parts and returns when the daemon has drained or one has failed.
func (d *Daemon) Run() error {
	if err := d.prepare(); err != nil {
		return err
	}
	d.logStarting()
	return d.runGroup(d.actors())
}

// prepare takes the addresses, asks for the platform and makes the parts.
func (d *Daemon) prepare() error {
	d.Configuration = &platform.Configuration{Table: d.Table, Store: d.Store, Every: documentPollInterval, Logger: d.Logger, Meter: d.Metrics.Meter("platform")}
	d.Admin = &Admin{Address: d.Options.Admin, Ready: d.ready, Metrics: d.Metrics.Handler(), Logger: d.Logger}
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
	eventStarting.Log(d.Logger, "version", d.Version, "vm", o.VM, "availability-zone", o.AvailabilityZone,
		"listen", o.Listen, "admin", o.Admin, "peer", o.Peer, "caller-tls", o.ListenTLS.Certificate != "",
		"table-endpoint", d.Platform.TableEndpoint, "store-endpoint", d.Platform.StoreEndpoint,
		"balancer-lag", o.BalancerLag, "drain-time", o.DrainTime,
		"statement-deadline", o.StatementDeadline, "max-wait", o.MaxWait)
}

// findPlatform asks the table once. Without an answer the start fails, unless
// seed peers can give the document.
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

// runGroup runs the parts until the first returns, then stops the others.
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

// watchSignals drains on the first signal and exits at once on the second.
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

// drainWhenAsked returns when a drain is over; that ends the group.
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
