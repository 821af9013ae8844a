package soak

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryramp/savoryramp/platform/standin"
)

// Guards against a store before the VMs that never repeats a response, or repeats parts of one.
func TestRepeatedResponses(t *testing.T) {
	body := strings.Repeat("rows\r\n", 5000)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.URL.Path+body) }))
	defer server.Close()
	p, err := newProxy(func() string { return server.Listener.Addr().String() }, true)
	assert.NilError(t, err)
	defer p.close()
	p.stutter.Store(&standin.Stutter{Repeated: 1})
	nc, err := net.Dial("tcp", p.address())
	assert.NilError(t, err)
	defer nc.Close()
	assert.NilError(t, nc.SetDeadline(time.Now().Add(5*time.Second)))
	in := bufio.NewReader(nc)
	for _, path := range []string{"/a", "/b"} {
		_, err = io.WriteString(nc, "GET "+path+" HTTP/1.1\r\nHost: store\r\n\r\n")
		assert.NilError(t, err)
		for range 2 {
			response, err := http.ReadResponse(in, nil)
			assert.NilError(t, err)
			got, err := io.ReadAll(response.Body)
			assert.NilError(t, err)
			assert.Assert(t, string(got) == path+body, "%d bytes", len(got))
		}
	}
}
