// Command savoryramp-platform runs a stand-in for the platform on a loopback address:
// the table over DynamoDB's API, the object store over S3's, and faults by POST /fault.
package main

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"os"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/go-kit/log"
	"github.com/oklog/run"
	"github.com/savoryramp/savoryramp/internal/fakeplatform"
)

// headerTimeout bounds the reading of a request's header.
const headerTimeout = 5 * time.Second

func main() {
	app := kingpin.New("savoryramp-platform", "A stand-in for the platform's table, object store and VM list.")
	app.DefaultEnvars()
	listen := app.Flag("listen", "Loopback address to serve on.").Default("127.0.0.1:7000").String()
	vmLag := app.Flag("vm-lag", "How far the VM list is behind.").Default("2s").Duration()
	writes := app.Flag("write-limit", "Writes to the table a second, 0 for no limit.").Default("400").Float64()
	reads := app.Flag("read-limit", "Reads of the table a second, 0 for no limit.").Default("2000").Float64()
	kingpin.MustParse(app.Parse(os.Args[1:]))

	logger := log.NewLogfmtLogger(log.NewSyncWriter(os.Stderr))
	address, err := netip.ParseAddrPort(*listen)
	if err != nil || !address.Addr().IsLoopback() {
		app.Fatalf("--listen must be a loopback address and port, not %s", *listen)
	}
	p := fakeplatform.New()
	p.VMLag = *vmLag
	p.WriteLimit = fakeplatform.PerSecond(*writes)
	p.ReadLimit = fakeplatform.PerSecond(*reads)
	app.FatalIfError(serve(*listen, p.Handler(), logger), "serving")
}

func serve(address string, h http.Handler, l log.Logger) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	_ = l.Log("msg", "platform stand-in serves", "address", listener.Addr())
	var g run.Group
	g.Add(func() error { return server.Serve(listener) }, func(error) { _ = server.Close() })
	g.Add(run.SignalHandler(context.Background(), os.Interrupt, syscall.SIGTERM))
	err = g.Run()
	if _, ok := err.(*run.SignalError); ok {
		return nil
	}
	return err
}
