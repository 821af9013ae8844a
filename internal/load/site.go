package load

import (
	"context"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/go-kit/log"

	"github.com/savoryramp/savoryramp/internal/fakeplatform"
	"github.com/savoryramp/savoryramp/internal/fakeupstream"
	"github.com/savoryramp/savoryramp/internal/operator"
	"github.com/savoryramp/savoryramp/internal/platform"
)

const (
	// serviceTime is how long a statement holds a slot of a server.
	serviceTime = 4 * time.Millisecond
	// usualLag is how long after receiving an entry a replica applies it.
	usualLag     = 5 * time.Millisecond
	linkDelay    = 1500 * time.Microsecond
	connectDelay = 10 * time.Millisecond
	// balancerLag is how long a VM that drains waits for the balancer.
	balancerLag = 500 * time.Millisecond
	drainTime   = 5 * time.Second
	maxWait     = 2 * time.Second
	// statementDeadline is the longest silence of a server in a statement.
	statementDeadline = 5 * time.Second
	readyTries        = 600
	readyEvery        = 50 * time.Millisecond
)

const createTable = "CREATE TABLE receipts (id INTEGER, person INTEGER); CREATE INDEX receipts_person ON receipts (person)"

// Site is everything that a trial runs on, in this process: the platform's stand-in,
// one group of stand-in servers, and the VMs as the daemon assembles them, over
// loopback. One process suffices because VMs share nothing in it but the processor,
// and faults and true positions are then at hand without a protocol.
type Site struct {
	Text     []byte
	Policies operator.TrialPolicies
	Logger   log.Logger
	// Count is how many VMs there are; 0 for UsualVMs.
	Count VMCount
	// Document is Text with addresses of this trial, as put into force.
	Document *platform.Document
	Group    *fakeupstream.Group
	Recorder *fakeupstream.Recorder
	Platform *fakeplatform.Platform
	VMs      []*VM

	// dir holds the peers' certificates.
	dir    string
	cancel context.CancelFunc
	tasks  sync.WaitGroup
}

// secret is the secret of a workspace's key in a trial.
func secret(w platform.WorkspaceName) string { return "trial-" + string(w) }

// keyName is the name of a workspace's key in a trial.
func keyName(w platform.WorkspaceName) platform.KeyName { return platform.KeyName(w) + "-trial" }

// Start starts all parts and returns once every VM is ready. ErrSetup.
func (s *Site) Start(ctx context.Context) error {
	ctx, s.cancel = context.WithCancel(context.WithoutCancel(ctx))
	if err := s.Count.check(); err != nil {
		return err
	}
	if err := s.startGroup(ctx); err != nil {
		return err
	}
	if err := s.apply(ctx); err != nil {
		return err
	}
	if err := s.certify(); err != nil {
		return err
	}
	count := int(s.Count.orUsual())
	addresses, err := free(addressesEach * count)
	if err != nil {
		return err
	}
	for i := range count {
		s.VMs = append(s.VMs, s.newVM(i, addresses[addressesEach*i:]))
		if err := s.run(s.VMs[i]); err != nil {
			return err
		}
	}
	return s.awaitReady(ctx)
}

// Stop ends all parts.
func (s *Site) Stop() {
	for _, v := range s.VMs {
		v.signals <- syscall.SIGTERM
	}
	for _, v := range s.VMs {
		<-v.done
	}
	s.cancel()
	s.tasks.Wait()
	_ = os.RemoveAll(s.dir)
}

// certify writes the peers' certificates into a directory of the trial's own.
func (s *Site) certify() error {
	c, err := NewCertificates()
	if err != nil {
		return err
	}
	if s.dir, err = os.MkdirTemp("", "savoryramp-load-"); err != nil {
		return ErrSetup.Wrap(err, "certificates")
	}
	return c.Write(s.dir)
}

// startGroup serves the first upstream of the document, under new addresses.
func (s *Site) startGroup(ctx context.Context) error {
	document, err := platform.Parse(s.Text)
	if err != nil {
		return ErrSetup.Wrap(err, "document")
	}
	up := document.Upstreams[0]
	s.Recorder = &fakeupstream.Recorder{Limit: 1}
	s.Group = &fakeupstream.Group{Name: fakeupstream.GroupName(up.Name), Logger: s.Logger, Recorder: s.Recorder}
	text := string(s.Text)
	for _, server := range up.Servers {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return ErrSetup.Wrap(err, "address of server %s", server.Name)
		}
		text = strings.ReplaceAll(text, string(server.Address), l.Addr().String())
		s.Group.Servers = append(s.Group.Servers, &fakeupstream.Server{
			Name: fakeupstream.ServerName(server.Name), Listener: l, Slots: int(server.Slots),
			Connections: int(server.Connections), Service: serviceTime, ConnectDelay: connectDelay, Lag: usualLag,
		})
	}
	s.Text = []byte(text)
	for _, from := range s.Group.Servers {
		for _, to := range s.Group.Servers {
			s.Group.SetLink(from.Name, to.Name, fakeupstream.Link{Delay: linkDelay})
		}
	}
	s.tasks.Go(func() { _ = s.Group.Run(ctx) })
	return s.createTable(ctx, up)
}

// createTable makes the table on the primary, past the VMs.
func (s *Site) createTable(ctx context.Context, up platform.Upstream) error {
	c, err := connect(ctx, s.Group.Primary().Listener.Addr().String(), platform.KeyName(up.User), "", platform.DatabaseName(up.Database), "")
	if err != nil {
		return ErrSetup.Wrap(err, "primary")
	}
	defer c.close()
	for _, sql := range strings.Split(createTable, ";") {
		if _, err := c.conn.Exec(ctx, sql); err != nil {
			return ErrSetup.Wrap(err, "table")
		}
	}
	return nil
}

// apply puts the document into force, with a key for each workspace whose secret the
// trial knows.
func (s *Site) apply(ctx context.Context) error {
	s.Platform = fakeplatform.New()
	snapshot, err := platform.Apply(ctx, s.Platform.Table(), s.Platform.Store(), "trial", s.Text)
	if err != nil {
		return ErrSetup.Wrap(err, "document")
	}
	for _, w := range snapshot.Document.Workspaces {
		verifier, err := platform.NewVerifier(secret(w.Name))
		if err != nil {
			return ErrSetup.Wrap(err, "key")
		}
		key := platform.Key{Name: keyName(w.Name), Verifier: verifier}
		snapshot, err = platform.AddKey(ctx, s.Platform.Table(), s.Platform.Store(), "trial", w.Name, key)
		if err != nil {
			return ErrSetup.Wrap(err, "key")
		}
	}
	s.Document = snapshot.Document
	return nil
}

func (s *Site) awaitReady(ctx context.Context) error {
	for _, v := range s.VMs {
		if err := v.awaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

// inflict brings a fault about.
func (s *Site) inflict(ctx context.Context, f Fault) error {
	switch f := f.(type) {
	case CutPrimary:
		s.Group.Primary().Cut(true)
	case Heal:
		for _, server := range s.Group.Servers {
			server.Cut(false)
		}
	case PlatformDown:
		s.Platform.SetFaults(fakeplatform.Fault{Kind: fakeplatform.Down})
	case PlatformUp:
		s.Platform.SetFaults(fakeplatform.Fault{Kind: fakeplatform.None})
	case RestartVM:
		return s.restart(ctx, s.VMs[f.VM])
	case LagReplica:
		s.replicas()[f.Replica].SetLag(f.Lag)
	case SlowReplica:
		s.replicas()[f.Replica].SetService(f.Service)
	case SlowPrimary:
		s.Group.Primary().SetService(f.Service)
	}
	return nil
}

// listed gives the VM of an index, or the next one that the balancer sends callers to.
func (s *Site) listed(vm int) *VM {
	for i := range s.VMs {
		v := s.VMs[(vm+i)%len(s.VMs)]
		if v.listed.Load() {
			return v
		}
	}
	return s.VMs[vm%len(s.VMs)]
}

func (s *Site) replicas() []*fakeupstream.Server {
	primary := s.Group.Primary()
	var list []*fakeupstream.Server
	for _, server := range s.Group.Servers {
		if server != primary {
			list = append(list, server)
		}
	}
	return list
}
