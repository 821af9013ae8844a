package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"time"
)

// front is the platform as one VM reaches it: its store names the servers by addresses of links that only this VM
// uses, so that the VM can be cut off from a server.
type front struct {
	world *world
	vm    string
	http  *http.Server
	// address is the "host:port" of the store and of the API that promotes servers.
	address string

	mu sync.Mutex
	// links has the link to each server by ID.
	links map[string]*tcpLink
}

// newFront starts a VM's front.
func newFront(w *world, vm string) (*front, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f := &front{world: w, vm: vm, address: listener.Addr().String(), links: map[string]*tcpLink{}}
	f.http = &http.Server{Handler: f, ReadHeaderTimeout: time.Second}
	w.tasks.Go(func() { _ = f.http.Serve(listener) })
	return f, nil
}

// ServeHTTP handles the VM's calls.
func (f *front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/promotion" {
		f.promote(w, r)
		return
	}
	recorder := httptest.NewRecorder()
	f.world.store.ServeHTTP(recorder, r)
	body := recorder.Body.Bytes()
	if r.URL.Query().Get("table") == "servers" {
		body = f.rewrite(body)
	}
	for name, values := range recorder.Header() {
		w.Header()[name] = values
	}
	w.WriteHeader(recorder.Code)
	_, _ = w.Write(body)
}

// promote handles POST /promotion for a ledger.
func (f *front) promote(w http.ResponseWriter, r *http.Request) {
	var body struct{ Service, ID string }
	token, err := strconv.ParseInt(r.Header.Get("Fencing-Token"), 10, 64)
	holder := r.Header.Get("Lease-Holder")
	l := f.world.ledgers[body.Service]
	if json.NewDecoder(r.Body).Decode(&body) == nil {
		l = f.world.ledgers[body.Service]
	}
	switch {
	case err != nil || holder == "" || l == nil:
		w.WriteHeader(http.StatusBadRequest)
	case !l.promote(body.ID, token, holder):
		w.WriteHeader(http.StatusConflict)
	}
}

// rewrite replaces the addresses in servers' rows by those of the VM's links.
func (f *front) rewrite(body []byte) []byte {
	var page map[string]any
	if json.Unmarshal(body, &page) != nil {
		return body
	}
	rows, _ := page["rows"].([]any)
	for _, r := range rows {
		row, _ := r.(map[string]any)
		key, _ := row["key"].(string)
		var value struct{ Value []byte }
		text, _ := json.Marshal(row)
		if json.Unmarshal(text, &value) != nil || len(value.Value) == 0 {
			continue
		}
		var server map[string]any
		if json.Unmarshal(value.Value, &server) != nil {
			continue
		}
		address, _ := server["address"].(string)
		server["address"] = f.link(key, address).address()
		row["value"], _ = json.Marshal(server)
	}
	text, err := json.Marshal(page)
	if err != nil {
		return body
	}
	return text
}

// link returns the VM's link to a server, and starts it if necessary.
func (f *front) link(id, target string) *tcpLink {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.links[id] == nil {
		f.links[id] = newTCPLink(f.world, target)
	}
	return f.links[id]
}

// cut silences the VM's link to a server, or restores it.
func (f *front) cut(id string, silent, refuses bool) {
	f.world.record.note("%s is cut off from server %s: %t", f.vm, id, silent)
	f.mu.Lock()
	defer f.mu.Unlock()
	if l := f.links[id]; l != nil {
		l.mu.Lock()
		l.refuses = refuses
		l.mu.Unlock()
		l.setSilent(silent)
	}
}

func (f *front) close() {
	f.http.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, l := range f.links {
		l.close()
	}
}

// tcpLink forwards connections to a target. While it is silent, nothing passes, as behind a partition: connections
// are neither answered nor reset, and what is held up passes once it isn't silent any more.
type tcpLink struct {
	target   string
	listener net.Listener
	world    *world

	mu     sync.Mutex
	silent bool
	// refuses makes the link reset connections while it is cut, instead of staying silent.
	refuses bool
	changed chan struct{}
	open    map[net.Conn]bool
	closed  bool
}

func newTCPLink(w *world, target string) *tcpLink {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	l := &tcpLink{target: target, listener: listener, world: w, changed: make(chan struct{}), open: map[net.Conn]bool{}}
	w.tasks.Go(func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			w.tasks.Go(func() { l.serve(near) })
		}
	})
	return l
}

func (l *tcpLink) address() string { return l.listener.Addr().String() }

func (l *tcpLink) setSilent(silent bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silent = silent
	close(l.changed)
	l.changed = make(chan struct{})
	if silent && l.refuses {
		for c := range l.open {
			reset(c)
		}
	}
}

// reset closes a connection and discards what wasn't delivered.
func reset(c net.Conn) {
	if tcp, isTCP := c.(*net.TCPConn); isTCP {
		_ = tcp.SetLinger(0)
	}
	c.Close()
}

// await waits until the link isn't silent. It returns false once the link was closed.
func (l *tcpLink) await() bool {
	for {
		l.mu.Lock()
		silent, closed, changed := l.silent, l.closed, l.changed
		l.mu.Unlock()
		if closed || !silent {
			return !closed
		}
		<-changed
	}
}

func (l *tcpLink) track(c net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[c] = true
	return !l.closed
}

func (l *tcpLink) serve(near net.Conn) {
	defer near.Close()
	if !l.track(near) {
		return
	}
	l.mu.Lock()
	refused := l.silent && l.refuses
	l.mu.Unlock()
	if refused {
		reset(near)
		return
	}
	if !l.await() {
		return
	}
	far, err := net.Dial("tcp", l.target)
	if err != nil {
		return
	}
	defer far.Close()
	if !l.track(far) {
		return
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.copy(far, near)
		far.Close()
		near.Close()
	}()
	l.copy(near, far)
	far.Close()
	near.Close()
	<-done
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, near)
	delete(l.open, far)
}

// copy forwards what arrives. What arrives while the link is silent waits; if its sender has reset the connection
// by then, it is lost.
func (l *tcpLink) copy(to io.Writer, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if !l.await() {
			return
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (l *tcpLink) close() {
	l.listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	close(l.changed)
	l.changed = make(chan struct{})
	for c := range l.open {
		c.Close()
	}
}
