package operator

import (
	"crypto/tls"
	"sync"
	"time"

	"github.com/go-kit/log"
)

// certificateReloadInterval is the minimum time between two reads of the certificate files.
const certificateReloadInterval = time.Second

// certificateReloader provides the certificate that is presented to callers. It rereads the
// files at handshakes, so a new certificate needs no restart. Open connections continue
// with the certificate of their handshake.
type certificateReloader struct {
	files  TLSFiles
	logger log.Logger

	mu sync.Mutex
	// loaded is the last certificate that was read successfully.
	loaded tls.Certificate
	readAt time.Time
	// readFailed is true if the last read failed, so that a series of failures is logged
	// only once.
	readFailed bool
}

// tlsConfig returns a TLS configuration that presents the current certificate.
func (p *certificateReloader) tlsConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			c := p.current()
			return &c, nil
		},
	}
}

// current returns the certificate in the files, or the last one that was read
// successfully.
func (p *certificateReloader) current() tls.Certificate {
	p.mu.Lock()
	defer p.mu.Unlock()
	if time.Since(p.readAt) < certificateReloadInterval {
		return p.loaded
	}
	p.readAt = time.Now()
	c, err := readKeyPair("listen-cert", "listen-key", p.files)
	if err != nil {
		if !p.readFailed {
			eventCertificateUnreadable.Log(p.logger, "error", rootCause(err))
		}
		p.readFailed = true
		return p.loaded
	}
	p.readFailed = false
	if string(c.Certificate[0]) != string(p.loaded.Certificate[0]) {
		eventCertificateReloaded.Log(p.logger, "certificate", p.files.Certificate)
	}
	p.loaded = c
	return c
}
