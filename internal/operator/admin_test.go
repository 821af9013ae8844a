package operator

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"github.com/savoryramp/savoryramp/internal/platform"
)

func get(t *testing.T, server *httptest.Server, path string) (int, string) {
	t.Helper()
	response, err := http.Get(server.URL + path)
	assert.NilError(t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return response.StatusCode, string(body)
}

func TestAdminReadiness(t *testing.T) {
	ready := false
	a := &Admin{Ready: func() bool { return ready }}
	server := httptest.NewServer(a.Handler())
	defer server.Close()

	status, body := get(t, server, "/ready")
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Equal(t, body, "no document yet\n")

	ready = true
	status, _ = get(t, server, "/ready")
	assert.Equal(t, status, http.StatusOK)

	answer, err := http.Post(server.URL+"/drain", "", nil)
	assert.NilError(t, err)
	answer.Body.Close()
	assert.Equal(t, answer.StatusCode, http.StatusAccepted)
	<-a.Draining()
	status, body = get(t, server, "/ready")
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Equal(t, body, "draining\n")
	status, _ = get(t, server, "/live")
	assert.Equal(t, status, http.StatusOK)

	a.Drain()
	status, _ = get(t, server, "/drain")
	assert.Equal(t, status, http.StatusMethodNotAllowed)
}

func TestState(t *testing.T) {
	a := &Admin{}
	a.Register("fleet", func() any {
		return struct {
			PeersSeen int `json:"peers-seen"`
		}{3}
	})
	server := httptest.NewServer(a.Handler())
	defer server.Close()

	var out bytes.Buffer
	address := strings.TrimPrefix(server.URL, "http://")
	assert.Equal(t, Main("1", []string{"state", address}, &out, io.Discard), ExitOK)
	var state map[string]map[string]int
	assert.NilError(t, json.Unmarshal(out.Bytes(), &state))
	assert.DeepEqual(t, state, map[string]map[string]int{"fleet": {"peers-seen": 3}})

	assert.Equal(t, Main("1", []string{"drain", address}, io.Discard, io.Discard), ExitOK)
	<-a.Draining()
}

func TestStateUnreachable(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	defer server.Close()
	var errOut bytes.Buffer
	address := strings.TrimPrefix(server.URL, "http://")
	assert.Equal(t, Main("1", []string{"state", address}, io.Discard, &errOut), ExitUnreachable)
	assert.Equal(t, errOut.String(),
		"savoryramp: "+address+" answered 404 Not Found to /state; pass the admin address of a running VM\n")
}

func TestAdminAddressInUse(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer taken.Close()
	address := taken.Addr().String()
	err = (&Admin{Address: platform.Address(address)}).Listen()
	assert.Equal(t, exitCode(err), ExitInUse)
	assert.Equal(t, errorLine(err), "can't listen on "+address+" (--admin): address already in use; free the address or use another")
}

func TestMetrics(t *testing.T) {
	d := newDaemon(t)
	server := httptest.NewServer(d.Metrics.Handler())
	defer server.Close()
	_, body := get(t, server, "/")
	assert.Assert(t, cmp.Contains(body, metricReady+" 0\n"))
	assert.Assert(t, cmp.Contains(body, "go_goroutines "))

	names, err := d.Metrics.Names()
	assert.NilError(t, err)
	for _, n := range names {
		assert.Assert(t, isExported(n), "%s isn't in the list of exported metrics", n)
	}
}
