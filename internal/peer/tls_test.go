package peer_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryramp/savoryramp/internal/fakenet"
	"github.com/savoryramp/savoryramp/internal/peer"
)

// authority signs certificates for tests.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	c := certificateTemplate()
	c.IsCA, c.BasicConstraintsValid, c.KeyUsage = true, true, x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, c, c, &key.PublicKey, key)
	assert.NilError(t, err)
	c, err = x509.ParseCertificate(der)
	assert.NilError(t, err)
	return &authority{c, key}
}

func certificateTemplate() *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(1),
		Subject:      pkix.Name{CommonName: "savoryramp"},
		NotBefore:    time.Unix(0, 0),
		NotAfter:     time.Unix(1<<33, 0),
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
}

// issue writes a new certificate and key to the files of f, with the trusted authorities.
func (a *authority) issue(t *testing.T, f *peer.TLSFiles, trusted ...*authority) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	der, err := x509.CreateCertificate(rand.Reader, certificateTemplate(), a.certificate, &key.PublicKey, a.key)
	assert.NilError(t, err)
	pkcs8, err := x509.MarshalPKCS8PrivateKey(key)
	assert.NilError(t, err)
	var roots []byte
	for _, r := range trusted {
		roots = append(roots, pemBlock("CERTIFICATE", r.certificate.Raw)...)
	}
	for path, text := range map[string][]byte{
		f.Certificate: pemBlock("CERTIFICATE", der),
		f.Key:         pemBlock("PRIVATE KEY", pkcs8),
		f.Authorities: roots,
	} {
		assert.NilError(t, os.WriteFile(path, text, 0o600))
	}
}

func pemBlock(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}

func newTLSFiles(t *testing.T) *peer.TLSFiles {
	d := t.TempDir()
	return &peer.TLSFiles{
		Certificate: filepath.Join(d, "vm.pem"),
		Key:         filepath.Join(d, "vm-key.pem"),
		Authorities: filepath.Join(d, "authorities.pem"),
	}
}

func TestCertificates(t *testing.T) {
	fleetCA, newCA, otherCA := newAuthority(t), newAuthority(t), newAuthority(t)
	a, b, c := newTLSFiles(t), newTLSFiles(t), newTLSFiles(t)
	fleetCA.issue(t, a, fleetCA)
	fleetCA.issue(t, b, fleetCA)
	otherCA.issue(t, c, fleetCA, otherCA)
	synctest.Test(t, func(t *testing.T) {
		network, vms := fakenet.New(), &vmList{}
		withTLS := func(f *peer.TLSFiles) func(*peer.Fleet) { return func(v *peer.Fleet) { v.TLS = f } }
		vms.add("a")
		vms.add("b")
		first := startVM(t, network, vms, "a", 1, withTLS(a))
		second := startVM(t, network, vms, "b", 1, withTLS(b))
		third := startVM(t, network, vms, "c", 1, withTLS(c))
		plaintext := startVM(t, network, vms, "d", 1, nil)
		defer func() {
			for _, v := range []*vm{first, second, third, plaintext} {
				v.stop()
			}
		}()
		time.Sleep(5 * time.Second)
		assert.Equal(t, first.state("b"), peer.Live)
		assert.Equal(t, second.state("a"), peer.Live)
		for _, n := range []peer.Name{"c", "d"} {
			assert.Equal(t, first.state(n), peer.State(""), "no certificate of the fleet's authority")
		}
		_, err := third.Borrow(context.Background(), "a", "shares", nil)
		assert.Assert(t, err != nil)

		// A new authority replaces the old one in steps: it is trusted in addition, then
		// signs certificates, then is the only trusted one.
		fleetCA.issue(t, a, fleetCA, newCA)
		fleetCA.issue(t, b, fleetCA, newCA)
		newCA.issue(t, a, fleetCA, newCA)
		newCA.issue(t, b, newCA)
		network.Silence("a", "b")
		time.Sleep(5 * time.Second)
		assert.Equal(t, first.state("b"), peer.Live, "on new connections")
		fleetCA.issue(t, a, fleetCA, newCA)
		network.Silence("a", "b")
		time.Sleep(8 * time.Second)
		assert.Assert(t, first.state("b") != peer.Live, "b trusts only the new authority")
	})
}

// A renewed certificate must take effect without a restart: open streams continue, and
// new connections use the new certificate.
func TestCertificatesReloadUnderOpenStreams(t *testing.T) {
	oldCA, newCA := newAuthority(t), newAuthority(t)
	a, b, c := newTLSFiles(t), newTLSFiles(t), newTLSFiles(t)
	oldCA.issue(t, a, oldCA, newCA)
	oldCA.issue(t, b, oldCA, newCA)
	newCA.issue(t, c, newCA)
	synctest.Test(t, func(t *testing.T) {
		network, vms := fakenet.New(), &vmList{}
		withTLS := func(f *peer.TLSFiles) func(*peer.Fleet) { return func(v *peer.Fleet) { v.TLS = f } }
		for _, n := range []peer.Name{"a", "b", "c"} {
			vms.add(n)
		}
		first := startVM(t, network, vms, "a", 1, withTLS(a))
		defer first.stop()
		second := startVM(t, network, vms, "b", 1, withTLS(b))
		defer second.stop()
		third := startVM(t, network, vms, "c", 1, withTLS(c))
		defer third.stop()
		time.Sleep(5 * time.Second)
		assert.Equal(t, first.state("b"), peer.Live)
		assert.Assert(t, first.state("c") != peer.Live, "c doesn't trust the old authority")

		newCA.issue(t, a, newCA)
		newCA.issue(t, b, newCA)
		for range 40 {
			time.Sleep(100 * time.Millisecond)
			assert.Equal(t, first.state("b"), peer.Live, "on the open stream")
			assert.Equal(t, second.state("a"), peer.Live, "on the open stream")
		}
		assert.Equal(t, first.state("c"), peer.Live, "on a new connection")
		assert.Equal(t, third.state("b"), peer.Live, "on a new connection")
	})
}
