package caller_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"math/big"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jackc/pgx/v5"
	"gotest.tools/v3/assert"

	"github.com/savoryramp/savoryramp/internal/fakeplatform"
	"github.com/savoryramp/savoryramp/internal/platform"
)

// canLogIn reports whether a VM admits the key of the workspace "one" to a database.
func (f *cluster) canLogIn(v *vm, database string) bool {
	c, err := f.dial(v, "one-key", oneSecret, database)
	if err == nil {
		_ = c.Close(f.ctx)
	}
	return err == nil
}

// documentWithDatabases returns the document with another list of databases for the
// workspace "one".
func documentWithDatabases(list string) string {
	return strings.Replace(documentText(), "databases: [desk]", "databases: ["+list+"]", 1)
}

// setIsolated cuts the VM off from the table and from its peers, or ends that.
func (v *vm) setIsolated(isolated bool) {
	v.cutTable.Store(isolated)
	v.cutPeers.Store(isolated)
}

func TestAcceptedDocumentIsInForceOnAllVMs(t *testing.T) {
	failCalls := func(calls ...fakeplatform.Call) func(f *cluster) {
		return func(f *cluster) { f.fakePlatform.SetFaults(fakeplatform.Fault{Kind: fakeplatform.Down}, calls...) }
	}
	tests := map[string]struct {
		// first runs before the change of the document, then after it.
		first, then func(f *cluster)
	}{
		"all is well": {},
		"paused across three versions": {
			func(f *cluster) {
				f.vms[2].setIsolated(true)
				f.applyDocument(documentWithDatabases("till"))
				f.applyDocument(documentWithDatabases("desk"))
				time.Sleep(5 * time.Second)
			},
			func(f *cluster) { time.Sleep(5 * time.Second); f.vms[2].setIsolated(false) },
		},
		"one VM cut from the table": {func(f *cluster) { f.vms[1].cutTable.Store(true) }, nil},
		"started in an outage": {nil, func(f *cluster) {
			time.Sleep(changeTimeout)
			failCalls()(f)
			f.addVM()
		}},
		"store down, table up": {nil, func(f *cluster) {
			s, err := platform.ReadNewest(f.ctx, f.fakePlatform.Table(), f.fakePlatform.Store())
			assert.NilError(f, err)
			failCalls(fakeplatform.StoreGet)(f)
			assert.NilError(f, f.vms[1].OfferDocument(s.Version, s.Hash, s.Body))
		}},
		"table down, store up": {nil, func(f *cluster) {
			s, err := platform.ReadNewest(f.ctx, f.fakePlatform.Table(), f.fakePlatform.Store())
			assert.NilError(f, err)
			failCalls(fakeplatform.TableGet)(f)
			f.vms[1].OfferVersion(s.Version, s.Hash)
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newCluster(t, 3)
				if test.first != nil {
					test.first(f)
				}
				f.applyDocument(documentWithDatabases("desk, till"))
				if test.then != nil {
					test.then(f)
				}
				time.Sleep(changeTimeout)
				for _, v := range f.allVMs() {
					assert.Assert(t, f.canLogIn(v, "till") && f.canLogIn(v, "desk"), "%s has version %d", v.name, v.Current().Version)
				}
			})
		})
	}
}

// TestDocumentsNeverRevert lets several operators change the document concurrently. The
// version on each VM must only rise, and all VMs must end with the newest document.
func TestDocumentsNeverRevert(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCluster(t, 3)
		var operators, watchers sync.WaitGroup
		for n, list := range []string{"desk", "till", "desk, till", "board"} {
			operators.Go(func() {
				for range 6 {
					time.Sleep(time.Duration(300+170*n) * time.Millisecond)
					_, _ = platform.Apply(f.ctx, f.fakePlatform.Table(), f.fakePlatform.Store(), "rana", []byte(documentWithDatabases(list)+"# "+list))
				}
			})
		}
		watching, stop := context.WithCancel(f.ctx)
		for i, v := range f.allVMs() {
			watchers.Go(func() {
				var lastVersion platform.DocumentVersion
				for watching.Err() == nil {
					version := v.Current().Version
					assert.Check(t, version >= lastVersion, "%s went back from %d to %d", v.name, lastVersion, version)
					lastVersion = version
					v.cutTable.Store(int(version)%3 == i)
					time.Sleep(50 * time.Millisecond)
				}
			})
		}
		operators.Wait()
		time.Sleep(changeTimeout)
		stop()
		watchers.Wait()
		newest, err := platform.ReadNewest(f.ctx, f.fakePlatform.Table(), f.fakePlatform.Store())
		assert.NilError(t, err)
		assert.Assert(t, newest.Version > 5, "%d", newest.Version)
		for _, v := range f.allVMs() {
			assert.Equal(t, v.Current().Hash, newest.Hash, v.name)
		}
	})
}

func TestCallersMayUseTLS(t *testing.T) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{SerialNumber: big.NewInt(1), DNSNames: []string{"savoryramp"}, NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	assert.NilError(t, err)
	p := serveWithoutUpstreamsTLS(t, &tls.Config{Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}}})
	config, err := pgx.ParseConfig("postgres://one-key:" + oneSecret + "@savoryramp/desk?sslmode=require")
	assert.NilError(t, err)
	config.Fallbacks = nil
	config.TLSConfig.ServerName = "savoryramp"
	config.DialFunc = p.dial
	config.LookupFunc = func(context.Context, string) ([]string, error) { return []string{"127.0.0.1"}, nil }
	c, err := pgx.ConnectConfig(t.Context(), config)
	assert.NilError(t, err)
	var vm string
	assert.NilError(t, c.QueryRow(t.Context(), "show savoryramp.vm", pgx.QueryExecModeSimpleProtocol).Scan(&vm))
	assert.Equal(t, vm, "v1")
	// The server closes the connection without a TLS close_notify, which pgx reports as
	// an error.
	_ = c.Close(t.Context())
	p.checkLogin(t)
}
