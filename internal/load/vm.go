package load

import (
	"context"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-kit/log"

	"github.com/savoryramp/savoryramp/internal/meter"
	"github.com/savoryramp/savoryramp/internal/operator"
	"github.com/savoryramp/savoryramp/internal/platform"
)

// VMCount is how many VMs a trial runs.
type VMCount int

const (
	// LeastVMs is the least that a trial runs.
	LeastVMs VMCount = 3
	// MostVMs is the most.
	MostVMs VMCount = 9
	// UsualVMs is one for each availability zone of the trial's document.
	UsualVMs VMCount = 3
	// addressesEach is how many addresses a VM has: for callers, operators and peers.
	addressesEach = 3
)

func (n VMCount) orUsual() VMCount {
	if n == 0 {
		return UsualVMs
	}
	return n
}

func (n VMCount) check() error {
	if n := n.orUsual(); n < LeastVMs || n > MostVMs {
		return ErrSetup.New("a trial runs %d to %d VMs, not %d", LeastVMs, MostVMs, n)
	}
	return nil
}

// zone gives the availability zone of a VM: those of the group's servers, in turn.
func (s *Site) zone(vm int) string {
	var zones []platform.AvailabilityZone
	for _, server := range s.Document.Upstreams[0].Servers {
		if !slices.Contains(zones, server.AvailabilityZone) {
			zones = append(zones, server.AvailabilityZone)
		}
	}
	return string(zones[vm%len(zones)])
}

// VM is one daemon.
type VM struct {
	Name platform.VMName
	// Address is for callers.
	Address platform.Address
	options operator.RunOptions
	signals chan os.Signal
	done    chan struct{}
	// listed is false while the balancer sends no new callers.
	listed atomic.Bool
}

func vmName(i int) platform.VMName { return platform.VMName("vm-" + strconv.Itoa(i)) }

func (s *Site) newVM(i int, addresses []platform.Address) *VM {
	return &VM{
		Name: vmName(i), Address: addresses[0],
		options: operator.RunOptions{
			VMName: string(vmName(i)), AvailabilityZone: s.zone(i),
			CallerListen: addresses[0], AdminListen: addresses[1], PeerListen: addresses[2],
			BalancerLag: balancerLag, DrainTime: drainTime, StatementDeadline: statementDeadline, MaxWait: maxWait,
			PeerTLS: operator.TLSFiles{
				Certificate: filepath.Join(s.dir, peerFile), Key: filepath.Join(s.dir, keyFile), Authority: filepath.Join(s.dir, authorityFile),
			},
		},
	}
}

// run starts a VM's daemon.
func (s *Site) run(v *VM) error {
	metrics, err := meter.New()
	if err != nil {
		return ErrSetup.Wrap(err, "metrics")
	}
	v.signals, v.done = make(chan os.Signal, 2), make(chan struct{})
	d := &operator.Daemon{
		Version: "trial", Options: v.options, Logger: log.With(s.Logger, "vm", v.Name), Metrics: metrics,
		Table: s.Platform.Table(), Store: s.Platform.Store(),
		Signals: v.signals, Exit: func(operator.ExitCode) {},
	}
	done := v.done
	s.tasks.Go(func() {
		defer close(done)
		if err := d.RunTrial(s.Policies); err != nil {
			eventVMFailed.Log(s.Logger, "vm", v.Name, "error", err)
		}
	})
	return nil
}

// restart drains a VM, with the balancer's help, and starts it again.
func (s *Site) restart(ctx context.Context, v *VM) error {
	v.listed.Store(false)
	v.signals <- syscall.SIGTERM
	<-v.done
	if err := s.run(v); err != nil {
		return err
	}
	return v.awaitReady(ctx)
}

// awaitReady lists the VM with the balancer once it says that it is ready.
func (v *VM) awaitReady(ctx context.Context) error {
	for range readyTries {
		if v.ready() {
			v.listed.Store(true)
			return nil
		}
		select {
		case <-ctx.Done():
			return ErrSetup.Wrap(ctx.Err(), "%s", v.Name)
		case <-v.done:
			return ErrSetup.New("%s ended", v.Name)
		case <-time.After(readyEvery):
		}
	}
	return ErrSetup.New("%s isn't ready", v.Name)
}

func (v *VM) ready() bool {
	answer, err := http.Get("http://" + string(v.options.AdminListen) + "/ready")
	if err != nil {
		return false
	}
	defer answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// free finds loopback addresses that nothing listens on.
func free(count int) ([]platform.Address, error) {
	var list []platform.Address
	for range count {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, ErrSetup.Wrap(err, "address")
		}
		defer l.Close()
		list = append(list, platform.Address(l.Addr().String()))
	}
	return list, nil
}
