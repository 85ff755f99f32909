// Package keystest issues certificates for tests.
package keystest

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/cardamomyoke/cardamomyoke/internal/base/keys"
)

// Authority is a certificate authority. It fails its test on errors.
type Authority struct {
	t    testing.TB
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
}

// New returns an authority with a new key and a self-signed certificate.
func New(t testing.TB) *Authority {
	a := &Authority{t: t, key: newKey(t)}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test authority"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	a.cert = a.sign(template, template, a.key)
	return a
}

func newKey(t testing.TB) *ecdsa.PrivateKey {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

func (a *Authority) sign(template, parent *x509.Certificate, key *ecdsa.PrivateKey) *x509.Certificate {
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		a.t.Fatal(err)
	}
	return cert
}

// Load loads the keys as a process does, and fails the test on errors.
func Load(t testing.TB, s keys.Settings) *keys.Source {
	t.Helper()
	source, err := keys.Load(s, log.NewNopLogger())
	if err != nil {
		t.Fatal(err)
	}
	return source
}

// Issue issues a certificate with the given common name and roles, valid for an hour from now, and writes it with its key
// and the authority's certificate to a new directory.
func (a *Authority) Issue(name string, roles ...keys.Role) keys.Settings {
	dir := a.t.TempDir()
	s := keys.Settings{CA: filepath.Join(dir, "ca"), Certificate: filepath.Join(dir, "certificate"), Key: filepath.Join(dir, "key")}
	a.IssueTo(s, name, time.Hour, roles...)
	return s
}

// IssueTo is like Issue but overwrites the files of s. The certificate expires after valid; if valid is negative, it has
// already expired.
func (a *Authority) IssueTo(s keys.Settings, name string, valid time.Duration, roles ...keys.Role) {
	key := newKey(a.t)
	var units []string
	for _, r := range roles {
		units = append(units, string(r))
	}
	cert := a.sign(&x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: name, OrganizationalUnit: units},
		NotBefore: time.Now().Add(-2 * time.Hour), NotAfter: time.Now().Add(valid),
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}, a.cert, key)
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		a.t.Fatal(err)
	}
	a.write(s.CA, "CERTIFICATE", a.cert.Raw)
	a.write(s.Certificate, "CERTIFICATE", cert.Raw)
	a.write(s.Key, "PRIVATE KEY", der)
}

func (a *Authority) write(file, kind string, der []byte) {
	if err := os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		a.t.Fatal(err)
	}
}
