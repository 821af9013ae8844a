package platform

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
)

// idMemory is for how long at least the IDs of a connection's responses are remembered. Duplicates come up to
// seconds late.
const idMemory = time.Minute

// idHeaders are the headers in which the services name each of their responses.
var idHeaders = []string{"X-Amzn-Requestid", "X-Amz-Request-Id"}

// errDuplicate means that a response may be one to an earlier request on its connection.
var errDuplicate = errs.NewType("duplicate")

// duplicates counts the responses that might have been duplicates.
var duplicates atomic.Int64

// transport skips responses that may be duplicates, and closes its idle connections after a request without a
// response, since whatever silenced one may have silenced all.
type transport struct {
	*http.Transport
	// logger may be nil.
	logger log.Logger
	// isUnnamed is true if the latest response had no ID, so that a duplicate of it couldn't be told from the
	// next one on its connection. While it is, each request gets a connection of its own.
	isUnnamed atomic.Bool
}

// connection is a connection to a service with the IDs of its responses. HTTP/1.1 matches responses to requests by
// order alone.
type connection struct {
	net.Conn

	// inUse is held from when a request gets the connection until its response is accepted or not, and guards
	// the fields below. The transport may give the connection to the next request in between.
	inUse sync.Mutex
	// responses is the number of responses that were accepted.
	responses int
	isRetired bool
	// ids has the IDs since renewedAt, and olderIDs those of the time before.
	ids, olderIDs map[string]bool
	renewedAt     time.Time
}

// accept records a response's ID and returns why the response may be a duplicate, or an empty string. c.inUse must
// be held.
func (c *connection) accept(id string) string {
	switch {
	case c.isRetired:
		return "the connection is closed"
	case id == "" && c.responses > 0:
		return "no ID"
	case id != "" && (c.ids[id] || c.olderIDs[id]):
		return "the ID of an earlier response"
	}
	if now := time.Now(); c.ids == nil || now.Sub(c.renewedAt) > idMemory {
		c.ids, c.olderIDs, c.renewedAt = map[string]bool{}, c.ids, now
	}
	c.responses++
	c.ids[id] = true
	return ""
}

// RoundTrip sends a request. It returns errDuplicate if the response may be one to an earlier request.
func (t *transport) RoundTrip(r *http.Request) (*http.Response, error) {
	var used use
	defer used.end()
	r = r.WithContext(used.trace(r.Context()))
	r.Close = r.Close || t.isUnnamed.Load()
	response, err := t.Transport.RoundTrip(r)
	if err != nil {
		t.CloseIdleConnections()
		return nil, err
	}
	id := ""
	for _, name := range idHeaders {
		if id == "" {
			id = response.Header.Get(name)
		}
	}
	if reason := used.accept(id); reason != "" {
		response.Body.Close()
		duplicates.Add(1)
		eventDuplicate.Log(t.logger, "call", r.URL.Redacted(), "status", response.StatusCode, "received", reason, "id", id, "expected", "an ID that no earlier response has")
		return nil, errDuplicate.New("%s %s: the response may be one to an earlier request: %s", r.Method, r.URL.Path, reason)
	}
	t.isUnnamed.Store(id == "")
	return response, nil
}

// use is a request's use of a connection.
type use struct {
	mu sync.Mutex
	// c is nil if there is no connection yet. Its inUse is held.
	c     *connection
	ended bool
}

// trace returns a context in which a request records its connection.
func (u *use) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		nc := info.Conn
		if encrypted, isTLS := nc.(*tls.Conn); isTLS {
			nc = encrypted.NetConn()
		}
		u.mu.Lock()
		defer u.mu.Unlock()
		u.leave()
		if c, isOwn := nc.(*connection); isOwn && !u.ended {
			c.inUse.Lock()
			u.c = c
		}
	}})
}

// accept returns why the response on the connection may be a duplicate, and closes the connection in that case.
func (u *use) accept(id string) string {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.c == nil {
		return "the connection isn't known"
	}
	reason := u.c.accept(id)
	if reason != "" {
		u.c.isRetired = true
		_ = u.c.Close()
	}
	return reason
}

// leave lets the next request use the connection. u.mu must be held.
func (u *use) leave() {
	if u.c != nil {
		u.c.inUse.Unlock()
		u.c = nil
	}
}

func (u *use) end() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.leave()
	u.ended = true
}
