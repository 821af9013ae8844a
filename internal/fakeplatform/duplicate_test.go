package fakeplatform_test

import (
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/joomcode/errorx"
	"github.com/savoryramp/savoryramp/internal/platform"
	"github.com/savoryramp/savoryramp/platform/standin"
	"gotest.tools/v3/assert"
)

// serveRepeated is serve with clients whose responses are all repeated at the next request on their connection. The
// first clients are undisturbed.
func serveRepeated(t *testing.T) (direct, repeated served) {
	direct = serve(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	r := &standin.Repeater{
		Listener: l, Target: strings.TrimPrefix(direct.url, "http://"),
		Repetition: func(*http.Request) standin.Repetition { return standin.Repetition{AtRequest: 1} },
	}
	done := make(chan error)
	go func() { done <- r.Run(t.Context()) }()
	t.Cleanup(func() { <-done })
	endpoint := platform.Endpoint{URL: "http://" + l.Addr().String(), Region: "local", AccessKey: "access", SecretKey: "secret"}
	return direct, served{table: platform.NewDynamo(endpoint, "savoryramp"), store: platform.NewS3(endpoint, "savoryramp")}
}

// TestDuplicateOfTableAndStore guards against a conditional write that counts as done although another version is
// stored, and against an earlier row or another object: a response of the table or the object store arrives a second
// time, while another request is outstanding on its connection.
func TestDuplicateOfTableAndStore(t *testing.T) {
	tests := map[string]func(t *testing.T, direct, repeated served){
		"write after a read": func(t *testing.T, direct, repeated served) {
			_, err := direct.table.Put(t.Context(), row(0, "a"))
			assert.NilError(t, err)
			_, err = repeated.table.Get(t.Context(), "group/receipts-1")
			assert.NilError(t, err)
			_, err = repeated.table.Put(t.Context(), row(0, "b"))
			assert.Check(t, errorx.IsOfType(err, platform.ErrConflict), "%v", err)
		},
		"write after a write": func(t *testing.T, _, repeated served) {
			_, err := repeated.table.Put(t.Context(), row(0, "a"))
			assert.NilError(t, err)
			_, err = repeated.table.Put(t.Context(), row(0, "b"))
			assert.Check(t, errorx.IsOfType(err, platform.ErrConflict), "%v", err)
		},
		"read of a changed row": func(t *testing.T, direct, repeated served) {
			_, err := direct.table.Put(t.Context(), row(0, "a"))
			assert.NilError(t, err)
			_, err = repeated.table.Get(t.Context(), "group/receipts-1")
			assert.NilError(t, err)
			_, err = direct.table.Put(t.Context(), row(1, "b"))
			assert.NilError(t, err)
			got, err := repeated.table.Get(t.Context(), "group/receipts-1")
			assert.NilError(t, err)
			assert.DeepEqual(t, got, row(2, "b"))
		},
		"object": func(t *testing.T, direct, repeated served) {
			for _, name := range []platform.ObjectName{"documents/a", "documents/b"} {
				assert.NilError(t, direct.store.Put(t.Context(), name, []byte(name)))
			}
			for _, name := range []platform.ObjectName{"documents/a", "documents/b", "documents/a"} {
				body, err := repeated.store.Get(t.Context(), name)
				assert.NilError(t, err)
				assert.Equal(t, string(body), string(name))
			}
		},
		"read after the object was written": func(t *testing.T, _, repeated served) {
			assert.NilError(t, repeated.store.Put(t.Context(), "documents/a", []byte("a")))
			body, err := repeated.store.Get(t.Context(), "documents/a")
			assert.NilError(t, err)
			assert.Equal(t, string(body), "a")
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			direct, repeated := serveRepeated(t)
			test(t, direct, repeated)
		})
	}
}
