package operator

import (
	"crypto/tls"
	"net"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"
)

// handshake connects a TLS client to a server that echoes every byte and returns the
// client's side.
func handshake(t *testing.T, config *tls.Config) *tls.Conn {
	t.Helper()
	clientConn, serverConn := net.Pipe()
	server := tls.Server(serverConn, config)
	go func() {
		defer server.Close()
		p := make([]byte, 1)
		for {
			if _, err := server.Read(p); err != nil {
				return
			}
			if _, err := server.Write(p); err != nil {
				return
			}
		}
	}()
	c := tls.Client(clientConn, &tls.Config{InsecureSkipVerify: true})
	assert.NilError(t, c.Handshake())
	return c
}

func shownCertificate(c *tls.Conn) string { return string(c.ConnectionState().PeerCertificates[0].Raw) }

func checkEcho(t *testing.T, c *tls.Conn) {
	t.Helper()
	_, err := c.Write([]byte("x"))
	assert.NilError(t, err)
	_, err = c.Read(make([]byte, 1))
	assert.NilError(t, err)
}

// A changed certificate must be presented to new callers while open connections continue.
// Files that can't be read must not replace the certificate in use.
func TestCallersCertificateReloads(t *testing.T) {
	dir := t.TempDir()
	certificate, key := writeKeyPair(t, dir)
	synctest.Test(t, func(t *testing.T) {
		files := TLSFiles{Certificate: certificate, Key: key}
		first, err := readKeyPair("listen-cert", "listen-key", files)
		assert.NilError(t, err)
		config := Certificates{Listen: &first}.callerTLSConfig(files, log.NewNopLogger())
		open := handshake(t, config)
		defer open.Close()
		assert.Equal(t, shownCertificate(open), string(first.Certificate[0]))

		writeKeyPair(t, dir)
		time.Sleep(certificateReloadInterval)
		renewed := handshake(t, config)
		defer renewed.Close()
		assert.Assert(t, shownCertificate(renewed) != shownCertificate(open), "the first certificate is still presented")
		checkEcho(t, open)
		checkEcho(t, renewed)

		assert.NilError(t, os.WriteFile(key, []byte("half a key"), 0o600))
		time.Sleep(certificateReloadInterval)
		last := handshake(t, config)
		defer last.Close()
		assert.Equal(t, shownCertificate(last), shownCertificate(renewed))
	})
	assert.Assert(t, Certificates{}.callerTLSConfig(TLSFiles{}, nil) == nil)
}
