package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/oklog/run"

	"github.com/savoryramp/savoryramp/internal/budget"
	"github.com/savoryramp/savoryramp/internal/clock"
	"github.com/savoryramp/savoryramp/internal/event"
	"github.com/savoryramp/savoryramp/internal/heartbeat"
	"github.com/savoryramp/savoryramp/internal/meter"
	"github.com/savoryramp/savoryramp/internal/proxy"
	"github.com/savoryramp/savoryramp/internal/relay"
	"github.com/savoryramp/savoryramp/pkg/quota"
	"github.com/savoryramp/savoryramp/platform"
)

var (
	eventStarted             = event.Define(7001, "vm-started", event.Info, "The process has started and listens for callers.")
	eventStopped             = event.Define(7002, "vm-stopped", event.Info, "The process is exiting.")
	eventReloaded            = event.Define(7003, "vm-reloaded", event.Info, "The settings were reloaded after SIGHUP, or because their file has changed.")
	eventSettingsRefused     = event.Define(7004, "vm-settings-refused", event.Error, "Reloading the settings failed; the previous settings stay in force.")
	eventMalformedServerList = event.Define(7006, "vm-note-malformed", event.Warn, "A list of servers couldn't be encoded or decoded.")
	eventOutOfStep           = event.Define(7007, "vm-out-of-step", event.Info, "Other VMs and this one don't exchange reports of demand, or do so again; until then both sides keep their parts of the rates.")
	eventNoMetrics           = event.Define(7005, "vm-no-metrics", event.Warn, "Listening on the metrics address failed; the VM runs without metrics.")
)

const (
	// killMargin is how long before the platform kills the process a drain ends at the latest, so
	// that the remaining connections can be closed in order.
	killMargin = 400 * time.Millisecond
	// settingsInterval is how often the settings file is compared with what was last read of it. It may change without a
	// signal, and a changed configuration must be in force within 3 s of the time when the store can be reached.
	settingsInterval = time.Second
	// priorityContract is the contract that asks for statements in order of priority.
	priorityContract = "pressure"
)

// daemon is the savoryramp-vm process. Its exported fields are set before Run.
type daemon struct {
	Options   options
	Settings  platform.Settings
	LogOutput io.Writer
	Signals   signals

	logger               log.Logger
	vm                   *proxy.VM
	fleet                *heartbeat.Fleet
	quota                *quota.Limiter
	budget               *budget.Budget
	store                *platform.Store
	relay                *relay.Relay
	configurationWatcher *platform.ConfigurationWatcher
	promoter             *platform.Promoter
	tasks                run.Group
	// settingsText is the content of the settings file that was last read after the start, nil if none was. It is only
	// used by handleSignals.
	settingsText []byte
	// announcedVersion is the configuration version in the last heartbeat sent.
	announcedVersion atomic.Int64
	// outOfStep has the names of the VMs that were out of step at the last heartbeat.
	outOfStep atomic.Value

	evacuationMu sync.Mutex

	listMu sync.Mutex
	list   serverList
}

// Run serves until a signal stops the process. It returns ErrConnect if it can't listen on an
// address.
func (d *daemon) Run() error {
	d.logger = log.With(log.NewLogfmtLogger(d.LogOutput), "time", log.DefaultTimestampUTC)
	if err := d.build(); err != nil {
		return err
	}
	d.handleSignals()
	eventStarted.Log(d.logger, "vm", d.Settings.VM, "version", version, "zone", d.Settings.Zone, "callers", d.Settings.CallerAddress, "pid", os.Getpid())
	err := d.tasks.Run()
	eventStopped.Log(d.logger, "vm", d.Settings.VM, "err", err)
	return err
}

// build creates the components and connects them.
func (d *daemon) build() error {
	s := d.Settings
	heartbeatConn, err := net.ListenPacket("udp", net.JoinHostPort(s.IP, strconv.Itoa(s.FirstPort)))
	if err != nil {
		return proxy.ErrConnect.Wrap(err, "heartbeats")
	}
	d.budget = &budget.Budget{Limits: d.Options.Limits.Apply(s.MemoryMB, s.FileDescriptors, platform.MaxMessage), Logger: d.logger}
	d.store = platform.NewStore(string(s.StoreAddress))
	d.store.Logger = d.logger
	d.fleet = &heartbeat.Fleet{
		VM: heartbeat.VMName(s.VM), Zone: string(s.Zone), LinkMbps: s.LinkMbps, Conn: heartbeatConn, Directory: platform.Directory{Store: d.store, Logger: d.logger}, Logger: d.logger,
		Seeds: d.seedAddresses(), FillMessage: d.fillMessage, IsWorkspace: d.isWorkspace, OnMessage: d.onMessage, OnFleetDemand: d.onFleetDemand, OnZonePayload: d.onServerList, HasUrgentNews: d.hasUrgentNews,
	}
	d.store.OnEra = d.fleet.NoteStoreEra
	d.quota = &quota.Limiter{Now: func() time.Duration { return time.Duration(clock.Now()) }, VMCount: d.fleet.RateSize}
	d.vm = &proxy.VM{
		Name: s.VM, Zone: s.Zone, Connect: platform.Connector{Budget: d.budget}.Connect, Fleet: verifierFleet{d.fleet}, Quota: d.quota, Logger: d.logger,
		PriorityScheduling: s.HasContract(priorityContract),
		IsolatedFor:        func() time.Duration { return min(d.store.TimeSinceReply(), d.fleet.TimeSincePeerSeen()) },
	}
	d.vm.ServerListAge = d.serverListAge
	relayListener, err := d.listenOn(net.JoinHostPort(s.IP, strconv.Itoa(s.FirstPort)), budget.Links)
	if err != nil {
		return err
	}
	d.relay = &relay.Relay{VM: d.vm, Capacity: s.CPUCores, Fleet: d.fleet, Listener: relayListener, Budget: d.budget, Logger: d.logger}
	d.vm.Relay = d.relay
	d.addTask(d.relay.Run)
	d.configurationWatcher = &platform.ConfigurationWatcher{Store: d.store, Configure: d.vm.Configure, ReadByDelegate: d.readByDelegate, Logger: d.logger}
	d.enablePlacement()
	d.promoter = &platform.Promoter{VM: s.VM, Incarnation: rand.Int64(), Store: d.store, Client: platform.NewWriter(), TokensChecked: s.FencingEnforced, Logger: d.logger}
	d.promoter.SetAddress(string(s.CloudAPIAddress))
	d.addTask(d.vm.Run)
	d.addTask(d.fleet.Run)
	d.addTask(d.configurationWatcher.Run)
	d.addTask((&platform.ServerListWatcher{Store: d.store, OnServers: d.onServers, ReadByDelegate: d.listReadByDelegate, Known: d.knownServers, LacksList: d.lacksServerList, FetchFromPeer: d.fetchServersFromPeer, LimitsCold: d.vm.Placement != nil, Logger: d.logger}).Run)
	failover := &proxy.Failover{VM: d.vm, Fleet: d.fleet, Promoter: d.promoter, PromotionFences: s.FencingEnforced, Logger: d.logger}
	d.promoter.MayTakeOver = failover.MayTakeOver
	if !s.FencingEnforced {
		d.vm.HasQuorum = failover.HasQuorum
	}
	d.addTask(failover.Run)
	return d.listen()
}

// listen opens the listeners for callers, readiness checks, the control pages and metrics.
func (d *daemon) listen() error {
	callers, err := d.listenOn(string(d.Settings.CallerAddress), budget.Callers)
	if err != nil {
		return err
	}
	d.addTask((&platform.CallerServer{Listener: callers, Serve: d.vm.Serve}).Run)
	if err := d.addHTTPServer(string(d.Settings.ReadinessAddress), platform.Readiness(d.vm.IsReady)); err != nil {
		return err
	}
	if control := string(d.Settings.ControlAddress); control != "" {
		if err := d.addHTTPServer(control, d.controlHandler()); err != nil {
			return err
		}
		_, port, _ := net.SplitHostPort(control)
		d.addTask((&heartbeat.ConfigurationCatchUp{Fleet: d.fleet, OwnVersion: d.configurationVersion, Port: port, FetchConfiguration: d.configurationWatcher.FetchFrom, Logger: d.logger}).Run)
	}
	if address := d.Options.metricsAddress(d.Settings.IP); address != "" {
		handler, err := d.metricsHandler()
		if err != nil {
			return err
		}
		if err := d.addHTTPServer(address, handler); err != nil {
			eventNoMetrics.Log(d.logger, "address", address, "err", err)
		}
	}
	return nil
}

// controlHandler returns the handler of the pages for other VMs and for operators.
func (d *daemon) controlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /state", d.serveState)
	mux.HandleFunc("GET "+platform.ServersPath, d.serveServerList)
	mux.HandleFunc("GET "+platform.ConfigurationPath, func(w http.ResponseWriter, _ *http.Request) {
		c := d.vm.Configuration()
		if c == nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		// A client that disconnected meanwhile repeats its request.
		_, _ = w.Write(c.Raw)
	})
	return platform.NumberResponses(mux)
}

func (d *daemon) serveState(w http.ResponseWriter, _ *http.Request) {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	state := struct {
		proxy.State
		Budget budget.State `json:"budget"`
	}{d.vm.State(), d.budget.State()}
	if err := e.Encode(state); err != nil {
		w.WriteHeader(http.StatusInternalServerError)
	}
}

// metricsHandler returns the handler of the metrics and of the state dump.
func (d *daemon) metricsHandler() (http.Handler, error) {
	m, err := meter.New()
	if err != nil {
		return nil, err
	}
	if err := d.vm.RegisterMetrics(m.Meter("vm")); err != nil {
		return nil, err
	}
	if err := d.store.RegisterMetrics(m.Meter("platform")); err != nil {
		return nil, err
	}
	if err := d.relay.RegisterMetrics(m.Meter("relay")); err != nil {
		return nil, err
	}
	if err := d.fleet.RegisterMetrics(m.Meter("heartbeat")); err != nil {
		return nil, proxy.ErrMalformed.Wrap(err, "metrics")
	}
	if err := d.budget.RegisterMetrics(m.Meter("budget")); err != nil {
		return nil, proxy.ErrMalformed.Wrap(err, "metrics")
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", m.Handler())
	mux.HandleFunc("GET /state", d.serveState)
	return mux, nil
}

// addHTTPServer adds an HTTP server to the process's tasks.
func (d *daemon) addHTTPServer(address string, handler http.Handler) error {
	listener, err := d.listenOn(address, budget.Pages)
	if err != nil {
		return err
	}
	server := budget.HTTPServer(handler)
	d.tasks.Add(func() error { return server.Serve(listener) }, func(error) { server.Close() })
	return nil
}

// listenOn opens a listener that accepts connections as far as the budget has room for their class.
func (d *daemon) listenOn(address string, c budget.Class) (net.Listener, error) {
	listener, err := budget.Listen(address, budget.KernelBuffer)
	if err != nil {
		return nil, proxy.ErrConnect.Wrap(err, "%s on %s", c, address)
	}
	return &budget.Listener{Listener: listener, Budget: d.budget, Class: c}, nil
}

// addTask adds a task that runs until its context ends.
func (d *daemon) addTask(task func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	d.tasks.Add(func() error { return task(ctx) }, func(error) { cancel() })
}

// seedAddresses returns the heartbeat addresses of the seed VMs. All VMs use the same ports.
func (d *daemon) seedAddresses() []string {
	var list []string
	for _, seed := range d.Settings.Seeds {
		if host, _, err := net.SplitHostPort(string(seed)); err == nil && host != d.Settings.IP {
			list = append(list, net.JoinHostPort(host, strconv.Itoa(d.Settings.FirstPort)))
		}
	}
	return list
}

// configurationVersion returns the version of the configuration in force, 0 if there is none.
func (d *daemon) configurationVersion() int64 {
	if c := d.vm.Configuration(); c != nil {
		return int64(c.Version)
	}
	return 0
}

// fillMessage adds this VM's state to a heartbeat. Only the zone delegates of a large fleet tell how
// old their reads of the store are, since no other VM relies on them.
func (d *daemon) fillMessage(message *heartbeat.Message) {
	message.Leaving, message.Demand, message.Observations, message.ConfigurationVersion = d.vm.IsDraining(), d.quota.ReportDemand(), d.vm.PrimaryObservations(), d.configurationVersion()
	message.Capacity, message.RelayVersion = d.Settings.CPUCores, relay.Version
	d.announcedVersion.Store(message.ConfigurationVersion)
	d.logOutOfStep()
	if !d.fleet.UsesDigests() || !d.fleet.IsZoneDelegate() {
		return
	}
	message.StoreAgeMs = d.store.TimeSinceReply().Milliseconds()
	d.listMu.Lock()
	defer d.listMu.Unlock()
	if d.list.hash != 0 {
		message.ServerList, message.ServerListAgeMs = d.list.hash, clock.Since(d.list.listedAt).Milliseconds()
	}
}

// logOutOfStep logs a change of the VMs with which this one doesn't exchange reports of demand.
func (d *daemon) logOutOfStep() {
	names := strings.Join(d.quota.OutOfStep(), ",")
	if before, _ := d.outOfStep.Swap(names).(string); before != names {
		eventOutOfStep.Log(d.logger, "peers", names, "peers-before", before)
	}
}

// isWorkspace reports whether the configuration in force, if there is one, has a workspace.
func (d *daemon) isWorkspace(name string) bool {
	c := d.vm.Configuration()
	return c == nil || c.Workspaces[proxy.WorkspaceName(name)] != nil
}

// hasUrgentNews reports whether a heartbeat should be sent before the next one is due.
func (d *daemon) hasUrgentNews() bool {
	return len(d.vm.PrimaryObservations()) > 0 || d.quota.NeedsEarlyReport() || d.configurationVersion() > d.announcedVersion.Load()
}

// onMessage handles a heartbeat of another VM.
func (d *daemon) onMessage(message heartbeat.Message) {
	switch {
	case message.Leaving:
		d.quota.RemovePeer(string(message.VM))
	case !message.Digested:
		report := quota.Report{Demand: message.Demand}
		report.Counted, report.CountedAge, _ = d.fleet.SentDemand(message.Included)
		d.quota.ObserveDemand(string(message.VM), report)
	}
	d.vm.ObserveHeartbeat(message)
	d.compareServerList(message)
}

// onFleetDemand records the demand of all VMs.
func (d *daemon) onFleetDemand(total map[string]float64, vms int, own map[string]float64) {
	d.quota.ObserveTotal(total, vms, own)
}

// handleSignals drains on SIGTERM and SIGINT, and reloads the settings on SIGHUP and when their file has changed.
func (d *daemon) handleSignals() {
	stop := make(chan struct{})
	d.tasks.Add(func() error {
		tick := time.NewTicker(settingsInterval)
		defer tick.Stop()
		for {
			select {
			case <-d.Signals.reload:
				d.haveSettingsChanged()
				d.reload("signal")
			case <-tick.C:
				if d.haveSettingsChanged() {
					d.reload("file changed")
				}
			case <-d.Signals.terminate:
				d.drain()
				return nil
			case <-stop:
				return nil
			}
		}
	}, func(error) { close(stop) })
}

// drain announces that this VM is leaving and ends its sessions within the grace period.
func (d *daemon) drain() {
	grace := time.Duration(d.Settings.GracePeriodSeconds * float64(time.Second))
	ctx, cancel := context.WithTimeout(context.Background(), grace-killMargin)
	defer cancel()
	d.vm.BeginDrain()
	d.fleet.Leave(ctx)
	d.vm.Drain(ctx, grace/2)
}

// haveSettingsChanged reports whether the settings file differs from what was last read of it.
func (d *daemon) haveSettingsChanged() bool {
	text, err := os.ReadFile(d.Options.SettingsPath)
	if err != nil || bytes.Equal(text, d.settingsText) {
		// A file that is being replaced is there at the next look.
		return false
	}
	isFirst := d.settingsText == nil
	d.settingsText = text
	if !isFirst {
		return true
	}
	s, err := platform.ParseSettings(text)
	return err != nil || s.StoreAddress != d.Settings.StoreAddress || s.CloudAPIAddress != d.Settings.CloudAPIAddress
}

// reload updates the addresses of the platform's services. A change of any other setting takes
// effect after a restart.
func (d *daemon) reload(reason string) {
	s, err := platform.ReadSettings(d.Options.SettingsPath)
	if err != nil {
		eventSettingsRefused.Log(d.logger, "path", d.Options.SettingsPath, "err", err)
		return
	}
	d.store.SetAddress(string(s.StoreAddress))
	d.promoter.SetAddress(string(s.CloudAPIAddress))
	eventReloaded.Log(d.logger, "why", reason, "store", s.StoreAddress, "orders", s.CloudAPIAddress)
}
