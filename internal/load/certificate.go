package load

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"
)

// validity is how long the certificates of a trial last.
const validity = 24 * time.Hour

// The files' names.
const (
	authorityFile = "ca.pem"
	peerFile      = "peer.pem"
	keyFile       = "peer.key"
)

// Certificates are an authority, and one certificate by it for every process on this
// machine, good for both sides of mutual TLS. All are PEM texts.
type Certificates struct {
	Authority []byte
	Peer      []byte
	PeerKey   []byte
}

// NewCertificates makes the authority and the certificate. ErrSetup.
func NewCertificates() (Certificates, error) {
	var c Certificates
	authority := template(1, "savoryramp trial authority")
	authority.IsCA = true
	authority.BasicConstraintsValid = true
	authority.KeyUsage = x509.KeyUsageCertSign
	authorityKey, authorityDER, err := sign(authority, authority, nil)
	if err != nil {
		return c, err
	}
	peer := template(2, "savoryramp trial peer")
	peer.IPAddresses = []net.IP{net.IPv4(127, 0, 0, 1)}
	peer.KeyUsage = x509.KeyUsageDigitalSignature
	peer.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	peerKey, peerDER, err := sign(peer, authority, authorityKey)
	if err != nil {
		return c, err
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(peerKey)
	if err != nil {
		return c, ErrSetup.Wrap(err, "key")
	}
	c.Authority = pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: authorityDER})
	c.Peer = pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: peerDER})
	c.PeerKey = pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER})
	return c, nil
}

// Write puts ca.pem, peer.pem and peer.key into a directory. ErrSetup.
func (c Certificates) Write(dir string) error {
	for name, text := range map[string][]byte{authorityFile: c.Authority, peerFile: c.Peer, keyFile: c.PeerKey} {
		if err := os.WriteFile(filepath.Join(dir, name), text, 0o600); err != nil {
			return ErrSetup.Wrap(err, "file")
		}
	}
	return nil
}

func template(serial int64, name string) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(serial),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-time.Minute),
		NotAfter:     time.Now().Add(validity),
	}
}

// sign makes a key and a certificate for it; without an issuer's key it signs itself.
func sign(c, issuer *x509.Certificate, issuerKey *ecdsa.PrivateKey) (*ecdsa.PrivateKey, []byte, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, ErrSetup.Wrap(err, "key")
	}
	if issuerKey == nil {
		issuerKey = key
	}
	der, err := x509.CreateCertificate(rand.Reader, c, issuer, key.Public(), issuerKey)
	if err != nil {
		return nil, nil, ErrSetup.Wrap(err, "certificate")
	}
	return key, der, nil
}
