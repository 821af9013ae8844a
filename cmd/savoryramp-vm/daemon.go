package main

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"github.com/go-kit/log"
	"github.com/oklog/run"

	"github.com/savoryramp/savoryramp/internal/clock"
	"github.com/savoryramp/savoryramp/internal/heartbeat"
	"github.com/savoryramp/savoryramp/internal/proxy"
	"github.com/savoryramp/savoryramp/pkg/quota"
	"github.com/savoryramp/savoryramp/platform"
)

func start() error {
	settings, err := platform.ReadSettings(os.Getenv(platform.SettingsVariable))
	if err != nil {
		return err
	}
	logger := log.NewLogfmtLogger(log.NewSyncWriter(os.Stdout))
	datagrams, err := net.ListenPacket("udp", net.JoinHostPort(settings.IP, strconv.Itoa(settings.FirstPort)))
	if err != nil {
		return err
	}
	store := platform.NewStore(string(settings.Store))
	fleet := &heartbeat.Fleet{VM: heartbeat.Name(settings.VM), Conn: datagrams, Directory: platform.Directory{Store: store}, Logger: logger}
	limiter := &quota.Limiter{Now: func() time.Duration { return time.Duration(clock.Now()) }, Size: fleet.Size}
	vm := &proxy.VM{
		Name: settings.VM, Zone: settings.Zone, Connect: platform.Connect, Fleet: fleet, Logger: logger, Quota: limiter,
	}
	fleet.Fill = func(b *heartbeat.Beat) {
		b.Leaving, b.Demand, b.Leads = vm.Draining(), limiter.Demand(), vm.Leads()
		if c := vm.Configuration(); c != nil {
			b.Configuration = int64(c.Version)
		}
	}
	fleet.Urgent = func() bool { return len(vm.Leads()) > 0 }
	fleet.Hear = func(b heartbeat.Beat) {
		if b.Leaving {
			limiter.Forget(string(b.VM))
		} else {
			limiter.Hear(string(b.VM), b.Demand)
		}
		vm.Heard(b)
	}
	promoter := &platform.Promoter{VM: settings.VM, Incarnation: time.Now().UnixNano(), Store: store, Client: http.DefaultClient}
	promoter.Move(string(settings.Orders))
	callers, err := net.Listen("tcp", string(settings.Callers))
	if err != nil {
		return err
	}
	ready, err := net.Listen("tcp", string(settings.Ready))
	if err != nil {
		return err
	}
	var group run.Group
	add := func(f func(context.Context) error) {
		ctx, cancel := context.WithCancel(context.Background())
		group.Add(func() error { return f(ctx) }, func(error) { cancel() })
	}
	add(vm.Run)
	add(fleet.Run)
	add((&proxy.Failover{VM: vm, Fleet: fleet, Promotions: promoter, Logger: logger}).Run)
	add((&platform.Operator{Store: store, Configure: vm.Configure, Logger: logger}).Run)
	add((&platform.Listing{Store: store, List: vm.List, Hurry: vm.Seeking, Logger: logger}).Run)
	add((&platform.Callers{Listener: callers, Serve: vm.Serve}).Run)
	server := &http.Server{Handler: platform.Readiness(vm.Ready)}
	group.Add(func() error { return server.Serve(ready) }, func(error) { server.Close() })
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGHUP)
	group.Add(func() error {
		for s := range signals {
			if s == syscall.SIGTERM {
				grace := time.Duration(settings.DrainSeconds * float64(time.Second))
				ctx, cancel := context.WithTimeout(context.Background(), grace-500*time.Millisecond)
				go fleet.Tell()
				vm.Drain(ctx, grace/2)
				fleet.Leave(ctx)
				cancel()
				return nil
			}
		}
		return nil
	}, func(error) { signal.Stop(signals); close(signals) })
	return group.Run()
}
