package operator

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-kit/log"

	"github.com/savoryramp/savoryramp/internal/budget"
	"github.com/savoryramp/savoryramp/internal/platform"
)

const adminCloseTimeout = time.Second

// StateFunc returns the state of a component for the state dump, as a value that marshals
// to JSON with kebab-case keys. It must be safe to call from any goroutine.
type StateFunc func() any

// Admin serves the admin page of one VM.
type Admin struct {
	Address platform.Address
	// Ready reports whether the VM accepts callers; nil means always. While the VM drains,
	// it counts as not ready whatever Ready returns.
	Ready func() bool
	// Metrics handles /metrics; nil means that there is no such path.
	Metrics http.Handler
	// Budget limits the connections; nil means no limit.
	Budget *budget.Budget
	Logger log.Logger

	listener   net.Listener
	mu         sync.Mutex
	stateFuncs map[string]StateFunc
	draining   chan struct{}
	drainOnce  sync.Once
}

// Register adds a component to the state dump under a name in kebab case. Registering a
// name again replaces its state function.
func (a *Admin) Register(name string, state StateFunc) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.stateFuncs == nil {
		a.stateFuncs = map[string]StateFunc{}
	}
	a.stateFuncs[name] = state
}

// Listen opens the listener on Address. It returns ErrListen if that fails.
func (a *Admin) Listen() error {
	listener, err := listenWithin(a.Budget, budget.Pages, "admin", a.Address)
	if err != nil {
		return err
	}
	a.listener = listener
	return nil
}

// Run serves the admin page until ctx ends. Listen must have succeeded before.
func (a *Admin) Run(ctx context.Context) error {
	server := budget.HTTPServer(a.Handler())
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		<-ctx.Done()
		shutdownCtx, cancel := context.WithTimeout(context.Background(), adminCloseTimeout)
		defer cancel()
		if server.Shutdown(shutdownCtx) != nil {
			server.Close()
		}
	}()
	eventAdminListening.Log(a.Logger, "address", a.listener.Addr())
	err := server.Serve(a.listener)
	if ctx.Err() == nil {
		return ErrFailed.Wrap(err, "the admin page stopped serving")
	}
	<-stopped
	return nil
}

// Handler returns the handler of all paths of the admin page.
func (a *Admin) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /live", func(w http.ResponseWriter, _ *http.Request) { respond(w, http.StatusOK, "live") })
	mux.HandleFunc("GET /ready", a.serveReady)
	mux.HandleFunc("GET /state", a.serveState)
	mux.HandleFunc("POST /drain", a.serveDrain)
	if a.Metrics != nil {
		mux.Handle("GET /metrics", a.Metrics)
	}
	return mux
}

// Drain makes /ready fail from now on and closes the channel that Draining returns.
func (a *Admin) Drain() {
	a.drainOnce.Do(func() { close(a.drainChannel()) })
}

// Draining returns a channel that is closed when a drain is requested.
func (a *Admin) Draining() <-chan struct{} {
	return a.drainChannel()
}

func (a *Admin) drainChannel() chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.draining == nil {
		a.draining = make(chan struct{})
	}
	return a.draining
}

func (a *Admin) isDraining() bool {
	select {
	case <-a.Draining():
		return true
	default:
		return false
	}
}

func (a *Admin) serveReady(w http.ResponseWriter, _ *http.Request) {
	if a.isDraining() {
		respond(w, http.StatusServiceUnavailable, "draining")
		return
	}
	if a.Ready != nil && !a.Ready() {
		respond(w, http.StatusServiceUnavailable, "no document yet")
		return
	}
	respond(w, http.StatusOK, "ready")
}

func (a *Admin) serveDrain(w http.ResponseWriter, _ *http.Request) {
	a.Drain()
	respond(w, http.StatusAccepted, "draining")
}

func (a *Admin) serveState(w http.ResponseWriter, _ *http.Request) {
	dump := map[string]any{}
	for name, state := range a.copyStateFuncs() {
		dump[name] = state()
	}
	body, err := json.Marshal(dump)
	if err != nil {
		respond(w, http.StatusInternalServerError, err.Error())
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

func (a *Admin) copyStateFuncs() map[string]StateFunc {
	a.mu.Lock()
	defer a.mu.Unlock()
	parts := map[string]StateFunc{}
	for name, state := range a.stateFuncs {
		parts[name] = state
	}
	return parts
}

func respond(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_, _ = w.Write([]byte(text + "\n"))
}

// listenWithin opens a TCP listener that accepts connections as far as a budget, if there is one, has room
// for their class.
func listenWithin(b *budget.Budget, c budget.Class, flag string, address platform.Address) (net.Listener, error) {
	if b == nil {
		return listen(flag, address)
	}
	listener, err := budget.Listen(string(address), kernelBuffer)
	if err != nil {
		return nil, listenError(flag, address, err)
	}
	return &budget.Listener{Listener: listener, Budget: b, Class: c}, nil
}

// kernelBuffer is the size of the kernel's buffers of clients' connections. It is larger than on small VMs,
// as messages are longer.
const kernelBuffer = 4 * budget.KernelBuffer

// listen opens a TCP listener. Its error names the flag that set the address.
func listen(flag string, address platform.Address) (net.Listener, error) {
	listener, err := net.Listen("tcp", string(address))
	if err != nil {
		return nil, listenError(flag, address, err)
	}
	return listener, nil
}

func listenError(flag string, address platform.Address, err error) error {
	return ErrListen.New("can't listen on %s (--%s): %s; free the address or use another", address, flag, rootCause(err))
}
