package operator

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"time"

	"github.com/go-kit/log"
)

// Certificates are what the settings' TLS files hold.
type Certificates struct {
	// Peer and PeerAuthority serve mutual TLS between VMs.
	Peer          tls.Certificate
	PeerAuthority *x509.CertPool
	// Listen is the callers' at the start; nil if they connect without TLS.
	Listen *tls.Certificate
}

// readCertificates reads all TLS files; ErrFile names the one at fault.
func readCertificates(o RunOptions) (Certificates, error) {
	var c Certificates
	var err error
	if c.Peer, err = readKeyPair("peer-cert", "peer-key", o.PeerTLS); err != nil {
		return c, err
	}
	if c.PeerAuthority, err = readAuthority("peer-ca", o.PeerTLS.Authority); err != nil {
		return c, err
	}
	if o.ListenTLS.Certificate == "" {
		return c, nil
	}
	pair, err := readKeyPair("listen-cert", "listen-key", o.ListenTLS)
	c.Listen = &pair
	return c, err
}

func readKeyPair(certificateFlag, keyFlag string, files TLSFiles) (tls.Certificate, error) {
	certificate, err := readFile(certificateFlag, files.Certificate)
	if err != nil {
		return tls.Certificate{}, err
	}
	key, err := readFile(keyFlag, files.Key)
	if err != nil {
		return tls.Certificate{}, err
	}
	pair, err := tls.X509KeyPair(certificate, key)
	if err != nil {
		return pair, ErrFile.New("%s (--%s) and %s (--%s) are no pair: %s; give a PEM certificate and its key",
			files.Certificate, certificateFlag, files.Key, keyFlag, err)
	}
	return pair, nil
}

func readAuthority(flag, path string) (*x509.CertPool, error) {
	text, err := readFile(flag, path)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, ErrFile.New("%s (--%s) holds no certificate; give the authority's PEM file", path, flag)
	}
	return pool, nil
}

func readFile(flag, path string) ([]byte, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, ErrFile.New("can't read %s (--%s): %s; give a file that savoryramp may read", path, flag, rootCause(err))
	}
	return text, nil
}

// callers is the TLS setting for callers, nil when they come without it.
func (c Certificates) callerTLSConfig(files TLSFiles, l log.Logger) *tls.Config {
	if c.Listen == nil {
		return nil
	}
	p := &certificateReloader{files: files, logger: l, loaded: *c.Listen, readAt: time.Now()}
	return p.tlsConfig()
}
