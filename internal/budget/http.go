package budget

import (
	"net"
	"net/http"
	"time"
)

const (
	// headerTimeout, pageTimeout and idlePageTimeout bound receiving a request's header, receiving a whole
	// request or sending its answer, and the time until a connection's next request.
	headerTimeout   = 5 * time.Second
	pageTimeout     = 10 * time.Second
	idlePageTimeout = time.Minute
	// maxHeader and maxBody limit a request, in bytes.
	maxHeader = 8 << 10
	maxBody   = 64 << 10
)

// HTTPServer returns a server for pages that clients may misuse, to be run with a Listener.
func HTTPServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: http.MaxBytesHandler(handler, maxBody), MaxHeaderBytes: maxHeader,
		ReadHeaderTimeout: headerTimeout, ReadTimeout: pageTimeout, WriteTimeout: pageTimeout, IdleTimeout: idlePageTimeout,
		ConnState: noteState,
	}
}

// noteState records what a connection is doing.
func noteState(c net.Conn, state http.ConnState) {
	switch state {
	case http.StateActive:
		AccountOf(c).Progress(Serving)
	case http.StateIdle:
		AccountOf(c).Progress(Idle)
	}
}
