package peer

import (
	"bytes"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"

	"github.com/go-kit/log"
)

// Files are the fleet's certificates. They are read again at each handshake that
// finds them changed, so a new certificate or authority needs no restart.
type Files struct {
	// Certificate and Key are this VM's, in PEM.
	Certificate, Key string
	// Authorities signs the fleet's certificates and nothing else: whoever holds one
	// is a peer. Names in certificates aren't compared, since VMs talk by IP number.
	Authorities string
	Logger      log.Logger

	mu     sync.Mutex
	sum    [sha256.Size]byte
	loaded *material
}

type material struct {
	certificate tls.Certificate
	pool        *x509.CertPool
}

// server makes a listener's configuration.
func (f *Files) server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			m, err := f.load()
			if err != nil {
				return nil, err
			}
			return &tls.Config{
				MinVersion:             tls.VersionTLS13,
				Certificates:           []tls.Certificate{m.certificate},
				ClientAuth:             tls.RequireAndVerifyClientCert,
				ClientCAs:              m.pool,
				SessionTicketsDisabled: true,
			}, nil
		},
	}
}

// client makes the configuration of one dial.
func (f *Files) client() (*tls.Config, error) {
	m, err := f.load()
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{m.certificate},
		// The chain is verified in VerifyConnection; only names aren't compared.
		InsecureSkipVerify: true,
		VerifyConnection: func(s tls.ConnectionState) error {
			return m.verify(s.PeerCertificates)
		},
	}, nil
}

func (m *material) verify(chain []*x509.Certificate) error {
	if len(chain) == 0 {
		return ErrCertificate.New("peer sent no certificate")
	}
	between := x509.NewCertPool()
	for _, c := range chain[1:] {
		between.AddCert(c)
	}
	_, err := chain[0].Verify(x509.VerifyOptions{Roots: m.pool, Intermediates: between})
	if err != nil {
		return ErrCertificate.Wrap(err, "peer is not of the fleet")
	}
	return nil
}

// load gives the files' content, or the content last read if they are broken now.
func (f *Files) load() (*material, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	texts, err := f.read()
	if err == nil {
		sum := sha256.Sum256(bytes.Join(texts, nil))
		if f.loaded != nil && sum == f.sum {
			return f.loaded, nil
		}
		var m *material
		if m, err = parse(texts); err == nil {
			if f.loaded != nil {
				eventTLSReload.Log(f.Logger, "certificate", f.Certificate)
			}
			f.loaded, f.sum = m, sum
			return m, nil
		}
	}
	if f.loaded == nil {
		return nil, err
	}
	eventTLSBad.Log(f.Logger, "err", err)
	return f.loaded, nil
}

func (f *Files) read() ([][]byte, error) {
	var texts [][]byte
	for _, name := range []string{f.Certificate, f.Key, f.Authorities} {
		text, err := os.ReadFile(name)
		if err != nil {
			return nil, ErrCertificate.Wrap(err, "read")
		}
		texts = append(texts, text)
	}
	return texts, nil
}

func parse(texts [][]byte) (*material, error) {
	pair, err := tls.X509KeyPair(texts[0], texts[1])
	if err != nil {
		return nil, ErrCertificate.Wrap(err, "certificate and key")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(texts[2]) {
		return nil, ErrCertificate.New("no authority's certificate in the file")
	}
	return &material{certificate: pair, pool: pool}, nil
}
