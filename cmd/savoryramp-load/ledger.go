package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/go-kit/log"
)

const (
	// statementTimeout bounds one statement with its connection.
	statementTimeout = 10 * time.Second
	// refusedPause is how long a worker rests after a refusal.
	refusedPause = 50 * time.Millisecond
	createTable  = "CREATE TABLE IF NOT EXISTS receipts (id TEXT, amount INTEGER)"
	insert       = "INSERT INTO receipts (id, amount) VALUES ($1, $2)"
	read         = "SELECT count(*) FROM receipts WHERE id = $1"
	readAll      = "SELECT id FROM receipts"
)

// Ledger writes receipts through one VM and looks for each through another, with and
// without the session token, and at the end counts every receipt.
type Ledger struct {
	// VMs and Admins are addresses of callers and of the admin page, in one order.
	VMs      []string
	Admins   []string
	Database string
	User     string
	Secret   string
	Workers  int
	Duration time.Duration
	Seed     uint64
	Out      io.Writer
	Logger   log.Logger

	mu    sync.Mutex
	count counts
	// outcomes holds what the caller was told of each receipt.
	outcomes map[string]outcome
}

// counts are what workers saw.
type counts struct {
	writes, reads, refused, unknown, wrong int
}

// outcome is what a caller knows of its write.
type outcome string

const (
	acknowledged outcome = "acknowledged"
	unknown      outcome = "unknown"
	notRun       outcome = "not-run"
)

func (l *Ledger) define(app *kingpin.Application) *kingpin.CmdClause {
	c := app.Command("ledger", "Writes receipts and checks that each is seen everywhere at once, and exactly once.")
	c.Flag("vm", "Callers' address of a VM; once for each.").Required().StringsVar(&l.VMs)
	c.Flag("admin", "Admin address of a VM; once for each.").StringsVar(&l.Admins)
	c.Flag("database", "Database to use.").Default("receipts").StringVar(&l.Database)
	c.Flag("user", "Name of the key.").Required().StringVar(&l.User)
	c.Flag("secret", "Secret of the key.").Required().StringVar(&l.Secret)
	c.Flag("workers", "Callers at once.").Default("6").IntVar(&l.Workers)
	c.Flag("time", "How long to write.").Default("10s").DurationVar(&l.Duration)
	c.Flag("seed", "Seed of the workers' choices.").Default("1").Uint64Var(&l.Seed)
	return c
}

// Run puts on the load; ErrWrong if any answer was wrong.
func (l *Ledger) Run(ctx context.Context) error {
	l.outcomes = map[string]outcome{}
	if err := l.prepare(ctx); err != nil {
		return ErrSetup.Wrap(err, "can't make the table")
	}
	timed, cancel := context.WithTimeout(ctx, l.Duration)
	defer cancel()
	var workers sync.WaitGroup
	for w := range l.Workers {
		workers.Go(func() { l.work(timed, w) })
	}
	workers.Wait()
	if err := l.audit(ctx); err != nil {
		return ErrSetup.Wrap(err, "can't count the receipts")
	}
	l.report(ctx)
	return l.verdict()
}

func (l *Ledger) verdict() error {
	if l.count.wrong > 0 {
		return ErrWrong.New("%d wrong answers", l.count.wrong)
	}
	if l.count.writes == 0 || l.count.reads == 0 {
		return ErrSetup.New("no receipt was written and read, so nothing was checked")
	}
	return nil
}

func (l *Ledger) prepare(ctx context.Context) error {
	s, err := l.connect(ctx, l.VMs[0], "")
	if err != nil {
		return err
	}
	defer s.close()
	return s.execute(ctx, createTable)
}

func (l *Ledger) connect(ctx context.Context, vm, token string) (*session, error) {
	return login{l.Database, l.User, l.Secret}.connect(ctx, vm, token)
}

// work roams: each receipt is written on one VM and read on the others.
func (l *Ledger) work(ctx context.Context, worker int) {
	random := rand.New(rand.NewPCG(l.Seed, uint64(worker)))
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("%d-%d-%d", l.Seed, worker, n)
		home := random.IntN(len(l.VMs))
		token, told := l.write(ctx, l.VMs[home], id)
		if told != acknowledged {
			rest(ctx, refusedPause)
			continue
		}
		away := (home + 1 + random.IntN(max(1, len(l.VMs)-1))) % len(l.VMs)
		l.look(ctx, l.VMs[away], id, token)
		l.look(ctx, l.VMs[away], id, "")
	}
}

// write inserts a receipt and notes what the caller was told.
func (l *Ledger) write(ctx context.Context, vm, id string) (token string, told outcome) {
	// A statement under way is let finish, so that its outcome is known.
	ctx = context.WithoutCancel(ctx)
	told = notRun
	s, err := l.connect(ctx, vm, "")
	if err == nil {
		defer s.close()
		err = s.execute(ctx, insert, id, 10)
		told = outcomeOf(err)
	}
	l.note(id, told)
	if err != nil {
		eventRefused.Log(l.Logger, "vm", vm, "receipt", id, "outcome", told, "error", err)
		return "", told
	}
	return s.token(), told
}

// look reads an acknowledged receipt, which has to be there exactly once.
func (l *Ledger) look(ctx context.Context, vm, id, token string) {
	ctx = context.WithoutCancel(ctx)
	found, err := l.find(ctx, vm, id, token)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.count.refused++
		eventRefused.Log(l.Logger, "vm", vm, "receipt", id, "error", err)
		return
	}
	l.count.reads++
	if found != 1 {
		l.wrong("vm", vm, "receipt", id, "found", found, "with-token", token != "")
	}
}

func (l *Ledger) find(ctx context.Context, vm, id, token string) (int, error) {
	s, err := l.connect(ctx, vm, token)
	if err != nil {
		return 0, err
	}
	defer s.close()
	return s.number(ctx, read, id)
}

// wrong counts a wrong answer; the caller holds mu.
func (l *Ledger) wrong(keyvals ...any) {
	l.count.wrong++
	eventWrong.Log(l.Logger, keyvals...)
}

func (l *Ledger) note(id string, told outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outcomes[id] = told
	switch told {
	case acknowledged:
		l.count.writes++
	case unknown:
		l.count.unknown++
	case notRun:
		l.count.refused++
	}
}

// audit counts all receipts and compares them with what the callers were told.
func (l *Ledger) audit(ctx context.Context) error {
	s, err := l.connect(ctx, l.VMs[0], "")
	if err != nil {
		return err
	}
	defer s.close()
	ids, err := s.texts(ctx, readAll)
	if err != nil {
		return err
	}
	l.compare(ids)
	return nil
}

func (l *Ledger) compare(ids []string) {
	stored := map[string]int{}
	for _, id := range ids {
		stored[id]++
	}
	for id, told := range l.outcomes {
		if !told.allows(stored[id]) {
			l.wrong("receipt", id, "outcome", told, "stored", stored[id])
		}
	}
}

// allows tells whether a receipt may be stored so many times.
func (o outcome) allows(times int) bool {
	switch o {
	case acknowledged:
		return times == 1
	case notRun:
		return times == 0
	}
	return times <= 1
}

func (l *Ledger) report(ctx context.Context) {
	c := l.count
	fmt.Fprintf(l.Out, "seed %d: %d receipts written, %d reads on another VM, %d refused, %d of unknown outcome, %d wrong\n",
		l.Seed, c.writes, c.reads, c.refused, c.unknown, c.wrong)
	for _, admin := range l.Admins {
		served, err := servedBy(ctx, admin)
		if err != nil {
			fmt.Fprintf(l.Out, "%s: no metrics: %s\n", admin, err)
			continue
		}
		fmt.Fprintf(l.Out, "%s: %s\n", admin, formatServed(served))
	}
}

func formatServed(served map[string]int) string {
	if len(served) == 0 {
		return "nothing served"
	}
	parts := make([]string, 0, len(served))
	for role, n := range served {
		parts = append(parts, fmt.Sprintf("%d by %s", n, role))
	}
	slices.Sort(parts)
	return strings.Join(parts, ", ")
}

func rest(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
