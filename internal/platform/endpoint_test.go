package platform

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryramp/savoryramp/internal/fakenet"
)

// TestSilentIdleConnections guards against a VM that is without the platform for many time-outs: all
// its idle connections had gone silent without a reset, and it tried one after the other.
func TestSilentIdleConnections(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	listener := &fakenet.SilenceableListener{Listener: l}
	var arrived sync.WaitGroup
	arrived.Add(maxIdleConnections)
	server := &httptest.Server{Listener: listener, Config: &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/together" {
			arrived.Done()
			arrived.Wait()
		}
	})}}
	server.Start()
	defer server.Close()
	client := Endpoint{}.httpClient()
	get := func(path string) error {
		response, err := client.Get(server.URL + path)
		if err != nil {
			return err
		}
		_, err = io.Copy(io.Discard, response.Body)
		response.Body.Close()
		return err
	}
	var calls sync.WaitGroup
	for range maxIdleConnections {
		calls.Go(func() { assert.Check(t, get("/together")) })
	}
	calls.Wait()
	listener.SilenceAll()

	began := time.Now()
	assert.Assert(t, get("/") != nil)
	assert.NilError(t, get("/"))
	assert.Check(t, time.Since(began) < 2*attemptTimeout)
}
