package operator

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
)

// writeKeyPair writes a self-signed certificate and its key to dir and returns their paths.
func writeKeyPair(t *testing.T, dir string) (certificate, key string) {
	t.Helper()
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, template, template, private.Public(), private)
	assert.NilError(t, err)
	keyDER, err := x509.MarshalPKCS8PrivateKey(private)
	assert.NilError(t, err)
	certificate, key = filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
	write := func(path, kind string, der []byte) {
		assert.NilError(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
	}
	write(certificate, "CERTIFICATE", der)
	write(key, "PRIVATE KEY", keyDER)
	return certificate, key
}

// The generated pages in the repository must be up to date; "make generate" updates them.
func TestPagesAreCurrent(t *testing.T) {
	tests := map[string]struct {
		args []string
		path string
	}{
		"events": {[]string{"events"}, "../../docs/EVENTS.md"},
		"man":    {[]string{"man"}, "../../savoryramp.1"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			assert.Equal(t, Main("", test.args, &out, &out), ExitOK)
			want, err := os.ReadFile(test.path)
			assert.NilError(t, err)
			assert.Equal(t, out.String(), string(want))
		})
	}
}

func TestCompletion(t *testing.T) {
	for _, shell := range []string{"bash", "zsh"} {
		var out bytes.Buffer
		assert.Equal(t, Main("1", []string{"completion", shell}, &out, &out), ExitOK)
		assert.Assert(t, cmp.Contains(out.String(), "savoryramp"))
		assert.Assert(t, cmp.Contains(out.String(), "--completion-bash"))
	}
}

func TestDemoDocument(t *testing.T) {
	var out bytes.Buffer
	assert.Equal(t, Main("1", []string{"check", "../../examples/demo.yaml"}, &out, &out), ExitOK, out.String())
}

const rules = `groups:
  # Kept from the old setup.
  - name: ledger
    rules:
      - record: ledger:ready
        expr: sum(savoryramp_ready)
      - alert:   NoVM
        expr: ledger:ready == 0 or  absent(up)
      - alert: Slow
        expr: rate(old_proxy_seconds_sum[5m]) > 1

`

func TestAlertsUnchanged(t *testing.T) {
	text, err := os.ReadFile("../../examples/demo.yaml")
	assert.NilError(t, err)
	before, _, found := strings.Cut(string(text), "alerts: |\n")
	assert.Assert(t, found)
	indented := "    " + strings.ReplaceAll(strings.TrimSuffix(rules, "\n"), "\n", "\n    ")
	path := filepath.Join(t.TempDir(), "doc.yaml")
	assert.NilError(t, os.WriteFile(path, []byte(before+"alerts: |+\n"+indented+"\n"), 0o600))

	var out, errOut bytes.Buffer
	assert.Equal(t, Main("1", []string{"alerts", path}, &out, &errOut), ExitOK, errOut.String())
	assert.Equal(t, out.String(), rules)
	assert.Equal(t, errOut.String(),
		"savoryramp: warning: old_proxy_seconds_sum isn't exported by savoryramp; check the rules that use it\n")
}

func TestCheckNamesLinesAndPaths(t *testing.T) {
	path := filepath.Join(t.TempDir(), "doc.yaml")
	assert.NilError(t, os.WriteFile(path, []byte("service: desk\nupstream: []\ndatabases: 3\nworkspaces: []\n"), 0o600))
	var out, errOut bytes.Buffer
	assert.Equal(t, Main("1", []string{"check", path}, &out, &errOut), ExitDocument)
	assert.Assert(t, cmp.Contains(errOut.String(), path+": line 2: "))
	assert.Assert(t, cmp.Contains(errOut.String(), path+": line 3: databases: "))
	assert.Assert(t, cmp.Contains(errOut.String(), "nothing was changed\n"))
}
