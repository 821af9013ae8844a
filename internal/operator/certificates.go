package operator

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"time"

	"github.com/go-kit/log"
)

// Certificates holds the content of the TLS files named in RunOptions.
type Certificates struct {
	// Peer and PeerAuthority are used for mutual TLS between VMs.
	Peer          tls.Certificate
	PeerAuthority *x509.CertPool
	// Listen is the certificate presented to callers at startup; nil means that callers
	// connect without TLS.
	Listen *tls.Certificate
}

// readCertificates reads all TLS files. It returns ErrFile naming the faulty file.
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
		return pair, ErrFile.New("%s (--%s) and %s (--%s) don't match: %s; use a PEM certificate and its private key",
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
		return nil, ErrFile.New("%s (--%s) contains no certificate; use the PEM file of the CA", path, flag)
	}
	return pool, nil
}

func readFile(flag, path string) ([]byte, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, ErrFile.New("can't read %s (--%s): %s; use a file that savoryramp can read", path, flag, rootCause(err))
	}
	return text, nil
}

// callerTLSConfig returns the TLS configuration for callers, or nil if they connect
// without TLS.
func (c Certificates) callerTLSConfig(files TLSFiles, l log.Logger) *tls.Config {
	if c.Listen == nil {
		return nil
	}
	p := &certificateReloader{files: files, logger: l, loaded: *c.Listen, readAt: time.Now()}
	return p.tlsConfig()
}
