// Package testcert creates certificate authorities and certificates for tests of
// TLS connections. Only tests import it.
package testcert

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
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lovageslip/settings"
)

const validity = time.Hour

// Authority is a certificate authority for one test.
type Authority struct {
	// File is the path of the authority's certificate in PEM.
	File string

	dir         string
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// NewAuthority creates an authority with a new key. Its files and those of the
// certificates that it issues are deleted after the test.
func NewAuthority(t testing.TB, name string) *Authority {
	t.Helper()
	template := newTemplate(name)
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	key := newKey(t)
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	assert.NilError(t, err)
	certificate, err := x509.ParseCertificate(der)
	assert.NilError(t, err)
	a := &Authority{dir: t.TempDir(), certificate: certificate, key: key}
	a.File = a.write(t, name+"-ca.crt", "CERTIFICATE", der)
	return a
}

// Issue creates a certificate for 127.0.0.1, valid for client and server
// authentication, and returns the paths of its files.
func (a *Authority) Issue(t testing.TB, name string) settings.TLS {
	t.Helper()
	template := newTemplate(name)
	template.IPAddresses = []net.IP{net.IPv4(127, 0, 0, 1)}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	key := newKey(t)
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, key.Public(), a.key)
	assert.NilError(t, err)
	private, err := x509.MarshalPKCS8PrivateKey(key)
	assert.NilError(t, err)
	return settings.TLS{
		Certificate: a.write(t, name+".crt", "CERTIFICATE", der),
		Key:         a.write(t, name+".key", "PRIVATE KEY", private),
		Authority:   a.File,
	}
}

func newKey(t testing.TB) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	return key
}

func newTemplate(name string) *x509.Certificate {
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: big.NewInt(now.UnixNano()),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-validity),
		NotAfter:     now.Add(validity),
	}
}

func (a *Authority) write(t testing.TB, name, kind string, der []byte) string {
	t.Helper()
	path := filepath.Join(a.dir, name)
	content := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	assert.NilError(t, os.WriteFile(path, content, 0o600))
	return path
}
