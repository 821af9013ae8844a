package fakeplatform

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"os"
	"syscall"
	"time"

	"github.com/go-kit/log"
	"github.com/joomcode/errorx"
	"github.com/oklog/run"
	"github.com/savoryramp/savoryramp/internal/event"
)

// headerTimeout bounds the reading of a request's header.
const headerTimeout = 5 * time.Second

var eventServes = event.Define(8101, "platform-stand-in-serves", event.Info,
	"The platform's stand-in accepts requests.")

var (
	errs = errorx.NewNamespace("fakeplatform")
	// ErrListen means that the address can't be listened on.
	ErrListen = errs.NewType("listen")
	// ErrServe means that the server ended by itself.
	ErrServe = errs.NewType("serve")
)

// Server serves a Platform on a loopback address.
type Server struct {
	Platform *Platform
	// Address is "127.0.0.1:PORT".
	Address string
	Logger  log.Logger
}

// Run serves until ctx ends or the process is told to stop. ErrListen, ErrServe.
func (s *Server) Run(ctx context.Context) error {
	address, err := netip.ParseAddrPort(s.Address)
	if err != nil || !address.Addr().IsLoopback() {
		return ErrListen.New("%s is not a loopback address and port", s.Address)
	}
	listener, err := net.Listen("tcp", s.Address)
	if err != nil {
		return ErrListen.Wrap(err, "listening on %s", s.Address)
	}
	server := &http.Server{Handler: s.Platform.Handler(), ReadHeaderTimeout: headerTimeout}
	eventServes.Log(s.Logger, "address", listener.Addr())
	var g run.Group
	g.Add(func() error { return server.Serve(listener) }, func(error) { _ = server.Close() })
	g.Add(run.SignalHandler(ctx, os.Interrupt, syscall.SIGTERM))
	err = g.Run()
	if _, signalled := err.(*run.SignalError); signalled || ctx.Err() != nil {
		return nil
	}
	return ErrServe.Wrap(err, "serving on %s", s.Address)
}
