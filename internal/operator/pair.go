package operator

import (
	"crypto/tls"
	"sync"
	"time"

	"github.com/go-kit/log"
)

// pairEvery is how often at most the files of a certificate are read again.
const pairEvery = time.Second

// pair serves the callers' certificate. Its files are read again at handshakes, so a new
// certificate needs no restart; open connections go on with the one they began with.
type pair struct {
	files  TLSFiles
	logger log.Logger

	mu sync.Mutex
	// loaded is the last pair that could be read.
	loaded tls.Certificate
	read   time.Time
	// broken tells that the last reading failed, which is logged once.
	broken bool
}

// config is the callers' TLS setting.
func (p *pair) config() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			c := p.current()
			return &c, nil
		},
	}
}

// current gives the files' content, or the last that could be read.
func (p *pair) current() tls.Certificate {
	p.mu.Lock()
	defer p.mu.Unlock()
	if time.Since(p.read) < pairEvery {
		return p.loaded
	}
	p.read = time.Now()
	c, err := readPair("listen-cert", "listen-key", p.files)
	if err != nil {
		if !p.broken {
			eventCertificateBad.Log(p.logger, "error", reason(err))
		}
		p.broken = true
		return p.loaded
	}
	p.broken = false
	if string(c.Certificate[0]) != string(p.loaded.Certificate[0]) {
		eventCertificateNew.Log(p.logger, "certificate", p.files.Certificate)
	}
	p.loaded = c
	return c
}
