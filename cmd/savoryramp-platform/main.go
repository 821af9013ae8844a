// Command savoryramp-platform runs a stand-in for the platform on a loopback address:
// the table over DynamoDB's API, the object store over S3's, and faults by POST /fault.
package main

import (
	"context"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/go-kit/log"
	"github.com/savoryramp/savoryramp/internal/fakeplatform"
)

func main() {
	app := kingpin.New("savoryramp-platform", "A stand-in for the platform's table, object store and VM list.")
	app.DefaultEnvars()
	p := fakeplatform.New()
	server := fakeplatform.Server{Platform: p, Logger: log.NewLogfmtLogger(log.NewSyncWriter(os.Stderr))}
	app.Flag("listen", "Loopback address to serve on.").Default("127.0.0.1:7000").StringVar(&server.Address)
	app.Flag("vm-lag", "How far the VM list is behind.").Default("2s").DurationVar(&p.VMLag)
	app.Flag("write-limit", "Writes to the table a second, 0 for no limit.").Default("400").Float64Var((*float64)(&p.WriteLimit))
	app.Flag("read-limit", "Reads of the table a second, 0 for no limit.").Default("2000").Float64Var((*float64)(&p.ReadLimit))
	kingpin.MustParse(app.Parse(os.Args[1:]))
	app.FatalIfError(server.Run(context.Background()), "")
}
