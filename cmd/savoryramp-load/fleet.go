package main

import (
	"context"
	"io"
	"os"
	"sync"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/savoryramp/savoryramp/internal/platform"
)

// The workspaces of the fleet's document, each with a key of the same name.
const (
	// workspaceOver asks for much more than its rate.
	workspaceOver platform.WorkspaceName = "over"
	// workspaceWithin asks for less than its rate.
	workspaceWithin platform.WorkspaceName = "within"
	// workspaceLeaving has its key withdrawn.
	workspaceLeaving platform.WorkspaceName = "leaving"
)

// fleetOperator is kept with the withdrawal.
const fleetOperator = "fleet"

// Fleet drives callers over all VMs while a script kills, pauses and replaces these,
// and holds what the callers were told against what the servers ran.
type Fleet struct {
	// VMs are addresses for callers.
	VMs []string
	// Document is the path of the one in force.
	Document string
	Database string
	// Upstream is the admin address of the servers' stand-in.
	Upstream string
	Platform platform.Endpoint
	// Secrets are those of the workspaces' keys.
	OverSecret    string
	WithinSecret  string
	LeavingSecret string
	Duration      time.Duration
	// WithdrawAfter is when the key of workspaceLeaving is withdrawn.
	WithdrawAfter time.Duration
	Seed          uint64
	Out           io.Writer

	document *platform.Document
	began    time.Time
	// withdrawn is when the withdrawal was accepted.
	withdrawn time.Time

	mu       sync.Mutex
	requests []request
}

// request is one statement and what its caller was told.
type request struct {
	workspace platform.WorkspaceName
	// id is empty for a read.
	id   string
	vm   int
	sent time.Time
	done time.Time
	told outcome
	// code is the VM's SQLSTATE, codeUnreachable, or empty.
	code string
	// open tells that the connection served a statement before.
	open bool
	// stale is a read that missed an acknowledged write.
	stale bool
}

func (f *Fleet) define(app *kingpin.Application) *kingpin.CmdClause {
	c := app.Command("fleet", "Drives callers over a fleet whose VMs are killed and paused meanwhile; exits with 1 when a limit, a write or a withdrawal was broken.")
	c.Flag("vm", "Callers' address of a VM; once for each.").Required().StringsVar(&f.VMs)
	c.Flag("document", "Path of the document in force.").Required().StringVar(&f.Document)
	c.Flag("database", "Database to use.").Default("receipts").StringVar(&f.Database)
	c.Flag("upstream", "Admin address of the servers' stand-in.").Required().StringVar(&f.Upstream)
	c.Flag("platform", "URL of the platform's stand-in.").Required().StringVar(&f.Platform.URL)
	c.Flag("region", "Region of the platform.").Default("local").StringVar(&f.Platform.Region)
	c.Flag("access-key", "Who signs in to the platform.").Default("demo").StringVar(&f.Platform.AccessKey)
	c.Flag("access-secret", "Secret of that.").Default("demo").StringVar(&f.Platform.SecretKey)
	c.Flag("over-secret", "Secret of key over.").Required().StringVar(&f.OverSecret)
	c.Flag("within-secret", "Secret of key within.").Required().StringVar(&f.WithinSecret)
	c.Flag("leaving-secret", "Secret of key leaving.").Required().StringVar(&f.LeavingSecret)
	c.Flag("time", "How long to ask.").Default("50s").DurationVar(&f.Duration)
	c.Flag("withdraw-after", "When key leaving is withdrawn.").Default("15s").DurationVar(&f.WithdrawAfter)
	c.Flag("seed", "Seed of the callers' choices.").Default("1").Uint64Var(&f.Seed)
	return c
}

// Run asks, withdraws the key midway and checks; ErrWrong if anything was broken.
func (f *Fleet) Run(ctx context.Context) error {
	if err := f.prepare(ctx); err != nil {
		return ErrSetup.Wrap(err, "can't begin")
	}
	failed := f.play(ctx)
	if failed != nil {
		return ErrSetup.Wrap(failed, "can't withdraw the key")
	}
	logins := f.lastLogins(ctx)
	log, err := readLog(ctx, f.Upstream)
	if err != nil {
		return ErrSetup.Wrap(err, "can't read the servers' log")
	}
	servers, err := readServers(ctx, f.Upstream)
	if err != nil {
		return ErrSetup.Wrap(err, "can't read the servers' state")
	}
	a := &audit{fleet: f, log: log, servers: servers, logins: logins}
	return a.report(f.Out)
}

func (f *Fleet) prepare(ctx context.Context) error {
	text, err := os.ReadFile(f.Document)
	if err != nil {
		return err
	}
	if f.document, err = platform.Parse(text); err != nil {
		return err
	}
	s, err := f.login(workspaceWithin).connect(ctx, f.VMs[0], "")
	if err != nil {
		return err
	}
	defer s.close()
	return s.execute(ctx, createTable)
}

// login is the one key of a workspace.
func (f *Fleet) login(w platform.WorkspaceName) login {
	secrets := map[platform.WorkspaceName]string{
		workspaceOver: f.OverSecret, workspaceWithin: f.WithinSecret, workspaceLeaving: f.LeavingSecret,
	}
	return login{f.Database, string(w), secrets[w]}
}

// play runs all callers; the withdrawal's error is returned at the end.
func (f *Fleet) play(ctx context.Context) error {
	f.began = time.Now()
	ctx, cancel := context.WithTimeout(ctx, f.Duration)
	defer cancel()
	var tasks sync.WaitGroup
	for n := range overCallers {
		tasks.Go(func() { f.newCaller(workspaceOver, n).press(ctx) })
	}
	for n := range withinCallers {
		tasks.Go(func() { f.newCaller(workspaceWithin, n).pace(ctx) })
	}
	for n := range stayCallers * len(f.VMs) {
		vm, kept := n%len(f.VMs), n/len(f.VMs)%2 == 0
		tasks.Go(func() { f.newCaller(workspaceLeaving, n).stay(ctx, vm, kept) })
	}
	err := f.withdraw(ctx)
	tasks.Wait()
	return err
}

// withdraw withdraws a key as an operator does.
func (f *Fleet) withdraw(ctx context.Context) error {
	rest(ctx, f.WithdrawAfter)
	table, store := platform.NewDynamo(f.Platform, platformName), platform.NewS3(f.Platform, platformName)
	_, err := platform.SetKeyWithdrawn(ctx, table, store, fleetOperator, platform.KeyName(workspaceLeaving), true)
	f.withdrawn = time.Now()
	return err
}

// platformName is the usual name of table and bucket.
const platformName = "savoryramp"

func (f *Fleet) note(r request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requests = append(f.requests, r)
}
