package operator

import (
	"crypto/tls"
	"sync"
	"time"

	"github.com/go-kit/log"
)

// pairEvery is how often at most the files of a certificate are read again.
const certificateReloadInterval = time.Second

// pair serves the callers' certificate. Its files are read again at handshakes, so a new
// certificate needs no restart; open connections go on with the one they began with.
type certificateReloader struct {
	files  TLSFiles
	logger log.Logger

	mu sync.Mutex
	// loaded is the last pair that could be read.
	loaded tls.Certificate
	readAt time.Time
	// broken tells that the last reading failed, which is logged once.
	readFailed bool
}

// config is the callers' TLS setting.
func (p *certificateReloader) tlsConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			c := p.current()
			return &c, nil
		},
	}
}

// current gives the files' content, or the last that could be read.
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
