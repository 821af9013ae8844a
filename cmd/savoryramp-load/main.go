// Command savoryramp-load puts a checked load on savoryramp and makes what a trial
// needs besides: it exits with 1 when an answer was wrong.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/go-kit/log"
	"github.com/joomcode/errorx"

	"github.com/savoryramp/savoryramp/internal/load"
)

var (
	errs = errorx.NewNamespace("load-tool")
	// ErrWrong means that at least one answer was wrong.
	ErrWrong = errs.NewType("wrong")
	// ErrSetup means that the load couldn't begin or did nothing.
	ErrSetup = errs.NewType("setup")
)

func main() {
	app := kingpin.New("savoryramp-load", "Puts a checked load on savoryramp.").DefaultEnvars()
	l := &Ledger{Out: os.Stdout, Logger: log.NewLogfmtLogger(log.NewSyncWriter(os.Stderr))}
	ledger := l.define(app)
	s := &scenarioRun{Out: os.Stdout}
	scenario := s.define(app)
	f := &Fleet{Out: os.Stdout}
	fleet := f.define(app)
	c := &comparison{}
	compare := c.define(app)
	certificates := app.Command("certificates", "Makes an authority and a certificate for trials: ca.pem, peer.pem, peer.key.")
	dir := certificates.Arg("directory", "Where the files go.").Required().String()

	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	switch kingpin.MustParse(app.Parse(os.Args[1:])) {
	case ledger.FullCommand():
		app.FatalIfError(l.Run(ctx), "ledger")
	case fleet.FullCommand():
		app.FatalIfError(f.Run(ctx), "fleet")
	case certificates.FullCommand():
		made, err := load.NewCertificates()
		app.FatalIfError(err, "certificates")
		app.FatalIfError(made.Write(*dir), "certificates")
	case scenario.FullCommand():
		app.FatalIfError(s.run(ctx), "run")
	case compare.FullCommand():
		app.FatalIfError(c.run(os.Stdout), "compare")
	}
}
