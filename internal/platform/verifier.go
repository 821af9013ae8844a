package platform

import (
	"crypto/rand"
	"encoding/base64"
	"strconv"
	"strings"

	"github.com/xdg-go/scram"
)

const (
	verifierScheme     = "SCRAM-SHA-256"
	verifierIterations = 4096
	// maxVerifierIterations limits the CPU time of one login.
	maxVerifierIterations = 100_000
	saltBytes             = 16
	secretBytes           = 24
	sha256Bytes           = 32
)

// ErrVerifier means that a string isn't a SCRAM-SHA-256 verifier or that none can be made
// from a secret.
var ErrVerifier = errs.NewType("verifier")

// NewSecret generates the secret of a new key from 192 random bits.
func NewSecret() string {
	return base64.RawURLEncoding.EncodeToString(randomBytes(secretBytes))
}

// NewVerifier returns a verifier of the secret with a random salt. It returns ErrVerifier
// if the secret is empty or contains characters that SCRAM prohibits.
func NewVerifier(secret string) (Verifier, error) {
	if secret == "" {
		return "", ErrVerifier.New("the secret is empty")
	}
	client, err := scram.SHA256.NewClient("", secret, "")
	if err != nil {
		return "", ErrVerifier.Wrap(err, "the secret can't be used")
	}
	factors := scram.KeyFactors{Salt: string(randomBytes(saltBytes)), Iters: verifierIterations}
	stored, err := client.GetStoredCredentialsWithError(factors)
	if err != nil {
		return "", ErrVerifier.Wrap(err, "the secret can't be used")
	}
	return formatVerifier(stored), nil
}

// Credentials parses the verifier for use by a SCRAM server. It returns ErrVerifier if the
// verifier is malformed.
func (v Verifier) Credentials() (scram.StoredCredentials, error) {
	parts := strings.Split(string(v), "$")
	if len(parts) != 3 || parts[0] != verifierScheme {
		return scram.StoredCredentials{}, ErrVerifier.New("not of the form SCRAM-SHA-256$iterations:salt$stored-key:server-key")
	}
	count, encodedSalt, _ := strings.Cut(parts[1], ":")
	iterations, err := strconv.Atoi(count)
	if err != nil || iterations < verifierIterations || iterations > maxVerifierIterations {
		return scram.StoredCredentials{}, ErrVerifier.New("the iterations must be from %d to %d", verifierIterations, maxVerifierIterations)
	}
	salt, err := base64.StdEncoding.DecodeString(encodedSalt)
	if err != nil || len(salt) == 0 {
		return scram.StoredCredentials{}, ErrVerifier.New("the salt must be base64")
	}
	encodedStored, encodedServer, _ := strings.Cut(parts[2], ":")
	stored, storedOK := decodeKey(encodedStored)
	server, serverOK := decodeKey(encodedServer)
	if !storedOK || !serverOK {
		return scram.StoredCredentials{}, ErrVerifier.New("both keys must be %d bytes in base64", sha256Bytes)
	}
	return scram.StoredCredentials{
		KeyFactors: scram.KeyFactors{Salt: string(salt), Iters: iterations},
		StoredKey:  stored,
		ServerKey:  server,
	}, nil
}

func formatVerifier(c scram.StoredCredentials) Verifier {
	encode := base64.StdEncoding.EncodeToString
	return Verifier(verifierScheme + "$" + strconv.Itoa(c.Iters) + ":" + encode([]byte(c.Salt)) +
		"$" + encode(c.StoredKey) + ":" + encode(c.ServerKey))
}

func decodeKey(text string) ([]byte, bool) {
	key, err := base64.StdEncoding.DecodeString(text)
	return key, err == nil && len(key) == sha256Bytes
}

func randomBytes(count int) []byte {
	b := make([]byte, count)
	_, _ = rand.Read(b)
	return b
}
