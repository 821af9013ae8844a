package fakeplatform_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/savoryramp/savoryramp/internal/fakeplatform"
	"github.com/savoryramp/savoryramp/internal/platform"
	"gotest.tools/v3/assert"
)

// served is a stand-in behind HTTP, with clients for it.
type served struct {
	fake  *fakeplatform.Platform
	url   string
	table platform.Table
	store platform.Store
}

func serve(t *testing.T) served {
	t.Helper()
	fake := fakeplatform.New()
	server := httptest.NewServer(fake.Handler())
	t.Cleanup(server.Close)
	endpoint := platform.Endpoint{URL: server.URL, Region: "local", AccessKey: "access", SecretKey: "secret"}
	return served{
		fake:  fake,
		url:   server.URL,
		table: platform.NewDynamo(endpoint, "savoryramp"),
		store: platform.NewS3(endpoint, "savoryramp"),
	}
}

func (s served) fault(call fakeplatform.Call, kind fakeplatform.FaultKind, after, times int) {
	s.fake.SetFault(call, fakeplatform.Fault{Kind: kind, After: after, Times: times})
}

func row(version platform.Version, change platform.ChangeID) platform.Row {
	return platform.Row{Key: "group/receipts-1", Version: version, Change: change, Body: []byte(`{"term":1}`)}
}

func TestTableOverHTTP(t *testing.T) {
	s := serve(t)
	ctx := context.Background()
	_, err := s.table.Get(ctx, "group/receipts-1")
	assert.Assert(t, errorx.IsOfType(err, platform.ErrNoRow), "%v", err)

	written, err := s.table.Put(ctx, row(0, "a"))
	assert.NilError(t, err)
	assert.DeepEqual(t, written, row(1, "a"))
	written, err = s.table.Put(ctx, row(1, "b"))
	assert.NilError(t, err)
	assert.DeepEqual(t, written, row(2, "b"))

	for _, version := range []platform.Version{0, 1, 3} {
		_, err = s.table.Put(ctx, row(version, "c"))
		assert.Assert(t, errorx.IsOfType(err, platform.ErrConflict), "version %d: %v", version, err)
	}
	read, err := s.table.Get(ctx, "group/receipts-1")
	assert.NilError(t, err)
	assert.DeepEqual(t, read, row(2, "b"))

	_, err = s.table.Put(ctx, platform.Row{Key: "lease/a", Change: "d", Body: []byte("{}")})
	assert.NilError(t, err)
	rows, err := s.table.List(ctx, "group/")
	assert.NilError(t, err)
	assert.DeepEqual(t, rows, []platform.Row{row(2, "b")})
}

func TestTableFaultsOverHTTP(t *testing.T) {
	tests := map[string]struct {
		call  fakeplatform.Call
		kind  fakeplatform.FaultKind
		times int
		do    func(context.Context, platform.Table) error
		want  *errorx.Type
	}{
		"put recognises its own effect":     {fakeplatform.TablePut, fakeplatform.LostAnswer, 1, put, nil},
		"put is repeated":                   {fakeplatform.TablePut, fakeplatform.LostRequest, 1, put, nil},
		"put never answered":                {fakeplatform.TablePut, fakeplatform.LostRequest, 0, put, platform.ErrOutcomeUnknown},
		"put while down can't tell":         {fakeplatform.TablePut, fakeplatform.Down, 0, put, platform.ErrOutcomeUnknown},
		"get while down":                    {fakeplatform.TableGet, fakeplatform.Down, 0, get, platform.ErrUnavailable},
		"get is repeated":                   {fakeplatform.TableGet, fakeplatform.Down, 2, get, platform.ErrNoRow},
		"list while down":                   {fakeplatform.TableList, fakeplatform.Down, 0, list, platform.ErrUnavailable},
		"put that another writer overtakes": {fakeplatform.TablePut, fakeplatform.Conflict, 1, put, platform.ErrConflict},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := serve(t)
			s.fault(test.call, test.kind, 0, test.times)
			err := test.do(context.Background(), s.table)
			if test.want == nil {
				assert.NilError(t, err)
				return
			}
			assert.Assert(t, errorx.IsOfType(err, test.want), "%v", err)
		})
	}
}

func put(ctx context.Context, t platform.Table) error {
	_, err := t.Put(ctx, row(0, "own"))
	return err
}

func get(ctx context.Context, t platform.Table) error {
	_, err := t.Get(ctx, "group/receipts-1")
	return err
}

func list(ctx context.Context, t platform.Table) error {
	_, err := t.List(ctx, "group/")
	return err
}

// overtaker writes over a row as soon as a write of it was lost.
type overtaker struct {
	http.Handler
	fake *fakeplatform.Platform
	done bool
}

func (o *overtaker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !o.done && strings.HasSuffix(r.Header.Get("X-Amz-Target"), "PutItem") {
		o.done = true
		defer func() {
			recover()
			_, _ = o.fake.Table().Put(context.Background(), row(1, "other"))
			panic(http.ErrAbortHandler)
		}()
	}
	o.Handler.ServeHTTP(w, r)
}

func TestPutOvertakenAfterItsEffectIsNoConflict(t *testing.T) {
	fake := fakeplatform.New()
	fake.SetFault(fakeplatform.TablePut, fakeplatform.Fault{Kind: fakeplatform.LostAnswer, Times: 1})
	server := httptest.NewServer(&overtaker{Handler: fake.Handler(), fake: fake})
	defer server.Close()
	table := platform.NewDynamo(platform.Endpoint{URL: server.URL, Region: "local", AccessKey: "a", SecretKey: "s"}, "savoryramp")
	err := put(context.Background(), table)
	assert.Assert(t, errorx.IsOfType(err, platform.ErrOutcomeUnknown), "%v", err)
}

func TestNothingListensIsUnavailable(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	endpoint := platform.Endpoint{URL: server.URL, Region: "local", AccessKey: "a", SecretKey: "s"}
	err := put(context.Background(), platform.NewDynamo(endpoint, "savoryramp"))
	assert.Assert(t, errorx.IsOfType(err, platform.ErrUnavailable), "%v", err)
	err = platform.NewS3(endpoint, "savoryramp").Put(context.Background(), "a", nil)
	assert.Assert(t, errorx.IsOfType(err, platform.ErrUnavailable), "%v", err)
}

func TestThrottledWriteDidNothing(t *testing.T) {
	s := serve(t)
	s.fake.WriteLimit = 1
	assert.NilError(t, put(context.Background(), s.table))
	_, err := s.table.Put(context.Background(), row(1, "b"))
	assert.Assert(t, errorx.IsOfType(err, platform.ErrUnavailable), "%v", err)
}

func TestSlowWriteOutlivesItsCaller(t *testing.T) {
	s := serve(t)
	s.fake.SetFault(fakeplatform.TablePut, fakeplatform.Fault{Kind: fakeplatform.Slow, Delay: time.Minute})
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	err := put(ctx, s.table)
	assert.Assert(t, errorx.IsOfType(err, platform.ErrOutcomeUnknown), "%v", err)
}

func TestStoreOverHTTP(t *testing.T) {
	s := serve(t)
	ctx := context.Background()
	_, err := s.store.Get(ctx, "documents/a")
	assert.Assert(t, errorx.IsOfType(err, platform.ErrNoObject), "%v", err)
	assert.NilError(t, s.store.Put(ctx, "documents/a", []byte("text\n")))
	body, err := s.store.Get(ctx, "documents/a")
	assert.NilError(t, err)
	assert.Equal(t, string(body), "text\n")

	s.fault(fakeplatform.StorePut, fakeplatform.LostAnswer, 0, 1)
	assert.NilError(t, s.store.Put(ctx, "documents/b", []byte("second")))
	s.fault(fakeplatform.StoreGet, fakeplatform.Down, 0, 0)
	_, err = s.store.Get(ctx, "documents/a")
	assert.Assert(t, errorx.IsOfType(err, platform.ErrUnavailable), "%v", err)
}

func TestVMsOverHTTP(t *testing.T) {
	s := serve(t)
	ctx := context.Background()
	rows := platform.VMRows{Table: s.table}
	m := platform.VM{Name: "vm-1", Address: "127.0.0.1:7301", AvailabilityZone: "amman-1", State: platform.VMLive}
	assert.NilError(t, rows.Announce(ctx, m))
	m.State = platform.VMLeaving
	assert.NilError(t, rows.Announce(ctx, m))
	found, err := rows.List(ctx)
	assert.NilError(t, err)
	assert.DeepEqual(t, found, []platform.VM{m})
}

func TestDocumentOverHTTP(t *testing.T) {
	s := serve(t)
	text, err := os.ReadFile(filepath.Join("..", "..", "examples", "druckkonto.yaml"))
	assert.NilError(t, err)
	s.fault(fakeplatform.TablePut, fakeplatform.LostAnswer, 0, 1)
	applied, err := platform.Apply(context.Background(), s.table, s.store, "rana", text)
	assert.NilError(t, err)
	assert.Equal(t, applied.Version, platform.DocumentVersion(1))

	ctx, cancel := context.WithCancel(context.Background())
	c := &platform.Configuration{Table: s.table, Store: s.store, PollInterval: time.Second}
	ended := make(chan error)
	go func() { ended <- c.Run(ctx) }()
	found, err := c.Wait(ctx, 0)
	assert.Check(t, err)
	assert.Check(t, string(found.Body) == string(text))
	cancel()
	assert.NilError(t, <-ended)
}

func TestFaultsByHTTP(t *testing.T) {
	tests := map[string]struct {
		body string
		want int
	}{
		"all calls":     {`{"kind":"down"}`, http.StatusOK},
		"slow writes":   {`{"calls":["table-put"],"kind":"slow","delay":"2s"}`, http.StatusOK},
		"unknown kind":  {`{"kind":"odd"}`, http.StatusBadRequest},
		"unknown call":  {`{"calls":["odd"],"kind":"down"}`, http.StatusBadRequest},
		"unknown field": {`{"kind":"down","odd":1}`, http.StatusBadRequest},
		"bad delay":     {`{"kind":"slow","delay":"2"}`, http.StatusBadRequest},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := serve(t)
			response, err := http.Post(s.url+"/fault", "application/json", strings.NewReader(test.body))
			assert.NilError(t, err)
			assert.NilError(t, response.Body.Close())
			assert.Equal(t, response.StatusCode, test.want)
			state, err := http.Get(s.url + "/state")
			assert.NilError(t, err)
			assert.NilError(t, state.Body.Close())
			assert.Equal(t, state.StatusCode, http.StatusOK)
		})
	}
}
