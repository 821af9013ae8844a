// Command savoryramp-upstream serves a group of stand-in database servers on
// loopback addresses, with faults by HTTP.
package main

import (
	"context"
	"net"
	"net/http"
	"os"
	"strconv"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/go-kit/log"
	"github.com/oklog/run"

	"github.com/savoryramp/savoryramp/internal/fakeupstream"
)

func main() {
	app := kingpin.New("savoryramp-upstream", "A stand-in for a group of replicated database servers.").DefaultEnvars()
	group := app.Flag("group", "Name of the group.").Default("r1").String()
	addresses := app.Flag("listen", "Address of a server; once for each, the first is the primary.").Default("127.0.0.1:7101", "127.0.0.1:7102", "127.0.0.1:7103").Strings()
	admin := app.Flag("admin", "Address for POST /fault and GET /state.").Default("127.0.0.1:7100").String()
	slots := app.Flag("slots", "Statements that run at once in a server.").Default("3").Int()
	connections := app.Flag("connections", "Connections that a server takes.").Default("24").Int()
	service := app.Flag("service-time", "Time that a statement holds its slot.").Default("1ms").Duration()
	delay := app.Flag("connect-delay", "Time that a new connection takes.").Default("10ms").Duration()
	lag := app.Flag("lag", "Time after which a replica applies an entry.").Default("5ms").Duration()
	link := app.Flag("link-delay", "Time that an entry is under way to a replica.").Default("1500us").Duration()
	password := app.Flag("password", "Password that servers ask for; none if empty.").String()
	kingpin.MustParse(app.Parse(os.Args[1:]))

	logger := log.With(log.NewLogfmtLogger(log.NewSyncWriter(os.Stderr)), "time", log.DefaultTimestampUTC)
	g := &fakeupstream.Group{Name: fakeupstream.GroupName(*group), Logger: logger}
	for i, address := range *addresses {
		l, err := net.Listen("tcp", address)
		app.FatalIfError(err, "listen")
		g.Servers = append(g.Servers, &fakeupstream.Server{
			Name: serverName(*group, i), Listener: l, Slots: *slots, Connections: *connections,
			Service: *service, ConnectDelay: *delay, Lag: *lag, Password: *password,
		})
	}
	setLinks(g, *link)
	l, err := net.Listen("tcp", *admin)
	app.FatalIfError(err, "listen")
	app.FatalIfError(serve(g, l), "end")
}

// serverName appends a letter for each server of a group.
func serverName(group string, i int) fakeupstream.ServerName {
	const letters = "abcdefghi"
	if i < len(letters) {
		return fakeupstream.ServerName(group + letters[i:i+1])
	}
	return fakeupstream.ServerName(group + "-" + strconv.Itoa(i))
}

func setLinks(g *fakeupstream.Group, delay time.Duration) {
	for _, from := range g.Servers {
		for _, to := range g.Servers {
			g.SetLink(from.Name, to.Name, fakeupstream.Link{Delay: delay})
		}
	}
}

// serve runs the group and its admin address until a signal.
func serve(g *fakeupstream.Group, admin net.Listener) error {
	var actors run.Group
	ctx, cancel := context.WithCancel(context.Background())
	actors.Add(func() error { return g.Run(ctx) }, func(error) { cancel() })
	server := &http.Server{Handler: g.Admin(), ReadHeaderTimeout: time.Second}
	actors.Add(func() error { return server.Serve(admin) }, func(error) { _ = server.Close() })
	actors.Add(run.SignalHandler(ctx, os.Interrupt, syscall.SIGTERM))
	err := actors.Run()
	if _, signal := err.(run.SignalError); signal {
		return nil
	}
	return err
}
