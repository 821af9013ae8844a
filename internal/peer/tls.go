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

// TLSFiles names the certificate files for connections between VMs. They are read again
// at each handshake, so a changed certificate or authority needs no restart.
type TLSFiles struct {
	// Certificate and Key are the paths of this VM's certificate and key, in PEM.
	Certificate, Key string
	// Authorities is the path of the certificates of the authorities that sign the
	// fleet's certificates and nothing else: every holder of a signed certificate is
	// accepted as a peer. Names in certificates aren't verified, since VMs connect by IP
	// address.
	Authorities string
	Logger      log.Logger

	mu sync.Mutex
	// loadedSum is the hash of the files from which loaded was parsed.
	loadedSum [sha256.Size]byte
	loaded    *certificateSet
}

// certificateSet is the parsed content of the certificate files.
type certificateSet struct {
	certificate tls.Certificate
	authorities *x509.CertPool
}

// serverConfig returns the TLS configuration of a listener.
func (f *TLSFiles) serverConfig() *tls.Config {
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
				ClientCAs:              m.authorities,
				SessionTicketsDisabled: true,
			}, nil
		},
	}
}

// clientConfig returns the TLS configuration for dialing a peer once.
func (f *TLSFiles) clientConfig() (*tls.Config, error) {
	m, err := f.load()
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{m.certificate},
		// VerifyConnection verifies the chain; only the host name isn't verified.
		InsecureSkipVerify: true,
		VerifyConnection: func(s tls.ConnectionState) error {
			return m.verify(s.PeerCertificates)
		},
	}, nil
}

// verify checks that a peer's certificate chain leads to one of the authorities.
func (m *certificateSet) verify(chain []*x509.Certificate) error {
	if len(chain) == 0 {
		return ErrCertificate.New("peer sent no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, c := range chain[1:] {
		intermediates.AddCert(c)
	}
	_, err := chain[0].Verify(x509.VerifyOptions{Roots: m.authorities, Intermediates: intermediates})
	if err != nil {
		return ErrCertificate.Wrap(err, "peer certificate is not signed by an authority of the fleet")
	}
	return nil
}

// load returns the certificates in the files. If the files can't be read or parsed, it
// returns those loaded before, or an error if there are none.
func (f *TLSFiles) load() (*certificateSet, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	pemTexts, err := f.readFiles()
	if err == nil {
		currentSum := sha256.Sum256(bytes.Join(pemTexts, nil))
		if f.loaded != nil && currentSum == f.loadedSum {
			return f.loaded, nil
		}
		var m *certificateSet
		if m, err = parseCertificates(pemTexts); err == nil {
			if f.loaded != nil {
				eventTLSReload.Log(f.Logger, "certificate", f.Certificate)
			}
			f.loaded, f.loadedSum = m, currentSum
			return m, nil
		}
	}
	if f.loaded == nil {
		return nil, err
	}
	eventTLSUnreadable.Log(f.Logger, "err", err)
	return f.loaded, nil
}

func (f *TLSFiles) readFiles() ([][]byte, error) {
	var pemTexts [][]byte
	for _, name := range []string{f.Certificate, f.Key, f.Authorities} {
		text, err := os.ReadFile(name)
		if err != nil {
			return nil, ErrCertificate.Wrap(err, "read")
		}
		pemTexts = append(pemTexts, text)
	}
	return pemTexts, nil
}

func parseCertificates(pemTexts [][]byte) (*certificateSet, error) {
	pair, err := tls.X509KeyPair(pemTexts[0], pemTexts[1])
	if err != nil {
		return nil, ErrCertificate.Wrap(err, "certificate and key")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pemTexts[2]) {
		return nil, ErrCertificate.New("no authority's certificate in the file")
	}
	return &certificateSet{certificate: pair, authorities: pool}, nil
}
