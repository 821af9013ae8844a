package platform

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
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
	server := &httptest.Server{Listener: listener, Config: &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// Without IDs, no connection would be used twice.
		w.Header().Set("X-Amzn-Requestid", uuid.NewString())
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

// TestUnnamedResponses guards against a response that may be a duplicate: the service doesn't name its responses, so
// that each request needs a connection of its own. With names, connections are kept.
func TestUnnamedResponses(t *testing.T) {
	for name, test := range map[string]struct {
		named bool
		want  int
	}{"named": {true, 1}, "unnamed": {false, 5}} {
		t.Run(name, func(t *testing.T) {
			var mu sync.Mutex
			connections := map[string]bool{}
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				mu.Lock()
				defer mu.Unlock()
				connections[r.RemoteAddr] = true
				if test.named {
					w.Header().Set("X-Amz-Request-Id", uuid.NewString())
				}
			}))
			defer server.Close()
			client := Endpoint{}.httpClient()
			served := 0
			for range 6 {
				response, err := client.Get(server.URL)
				if err == nil {
					served++
					response.Body.Close()
				}
			}
			if test.named {
				assert.Equal(t, served, 6)
			} else {
				assert.Equal(t, served, 5, "the second response is the only one on a used connection")
			}
			assert.Equal(t, len(connections), test.want)
		})
	}
}
