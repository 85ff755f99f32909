// Package keys authenticates processes and operators by certificates and authorizes them by role. It provides mutual TLS
// for the control port, reloads the certificates while the process runs, and checks the roles of operators.
//
// The certificate holds the identity: its common name is the name of the node or operator, and its organisational units
// are the roles. Addresses are not checked, because hosts are replaced at any time and their addresses are reused, so
// certificates that name addresses would be out of date. Instead, a peer must have the node role.
package keys

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/cardamomyoke/cardamomyoke/internal/base/settings"
)

// reloadInterval is how often the files are compared with the keys in use.
const reloadInterval = 5 * time.Second

// Settings names the PEM files of a process. If none is set, the control port is not encrypted.
type Settings struct {
	// CA is the file with the certificates of the authorities that must have issued the peers' certificates.
	CA string `yaml:"ca"`
	// Certificate is the file with this process's certificate and the intermediate certificates.
	Certificate string `yaml:"certificate"`
	// Key is the file with the certificate's private key.
	Key string `yaml:"key"`
}

// Enabled reports whether any file is set.
func (s Settings) Enabled() bool { return s != Settings{} }

// Check returns *settings.KeyError if some files are set but not all, because mutual authentication needs all three.
func (s Settings) Check() error {
	if !s.Enabled() {
		return nil
	}
	for _, f := range []struct{ path, value string }{{"$.tls.ca", s.CA}, {"$.tls.certificate", s.Certificate}, {"$.tls.key", s.Key}} {
		if f.value == "" {
			return &settings.KeyError{Path: f.path, Want: "a PEM file, because another file of tls is set"}
		}
	}
	return nil
}

// FileError reports that a file cannot be read or holds no usable certificate or key.
type FileError struct {
	File  string
	Cause error
}

// Error implements error.
func (e *FileError) Error() string { return fmt.Sprintf("keys: %s: %v", e.File, e.Cause) }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Cause }

// NoCertificateError reports that a file contains no certificate, or that the peer of a connection presented none.
type NoCertificateError struct{}

// Error implements error.
func (*NoCertificateError) Error() string { return "there is no certificate" }

// keyMaterial holds the contents of the files as they were read together, and what was parsed from them.
type keyMaterial struct {
	ca, certificate, key []byte
	roots                *x509.CertPool
	own                  tls.Certificate
}

// Source holds the most recent valid keys. It is safe for concurrent use.
type Source struct {
	settings Settings
	logger   log.Logger
	current  atomic.Pointer[keyMaterial]
}

// Load reads the files and returns a source for them, or nil if the settings name no files. Errors: *FileError.
func Load(s Settings, logger log.Logger) (*Source, error) {
	if !s.Enabled() {
		return nil, nil
	}
	m, err := readFiles(s)
	if err != nil {
		return nil, err
	}
	out := &Source{settings: s, logger: logger}
	out.current.Store(m)
	return out, nil
}

func readFiles(s Settings) (*keyMaterial, error) {
	m := &keyMaterial{}
	for _, f := range []struct {
		name string
		text *[]byte
	}{{s.CA, &m.ca}, {s.Certificate, &m.certificate}, {s.Key, &m.key}} {
		text, err := os.ReadFile(f.name)
		if err != nil {
			return nil, &FileError{f.name, err}
		}
		*f.text = text
	}
	m.roots = x509.NewCertPool()
	if !m.roots.AppendCertsFromPEM(m.ca) {
		return nil, &FileError{s.CA, &NoCertificateError{}}
	}
	var err error
	if m.own, err = tls.X509KeyPair(m.certificate, m.key); err != nil {
		return nil, &FileError{s.Certificate, err}
	}
	return m, nil
}

// Run reloads the files whenever they change, until ctx is done.
func (s *Source) Run(ctx context.Context) {
	tick := time.NewTicker(reloadInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			s.Reload()
		}
	}
}

// Reload reads the files and replaces the keys in use if they have changed. Certificate and key are separate files that are
// not replaced atomically: while they do not match, the old keys stay in use until a later reload succeeds.
func (s *Source) Reload() {
	old := s.current.Load()
	m, err := readFiles(s.settings)
	if err != nil {
		_ = level.Error(s.logger).Log("msg", "keys not reloaded; the old ones stay in use", "err", err)
		return
	}
	if bytes.Equal(m.ca, old.ca) && bytes.Equal(m.certificate, old.certificate) && bytes.Equal(m.key, old.key) {
		return
	}
	s.current.Store(m)
	_ = level.Info(s.logger).Log("msg", "keys reloaded", "valid_until", m.own.Leaf.NotAfter)
}

// Name returns the common name of the process's own certificate.
func (s *Source) Name() string { return s.current.Load().own.Leaf.Subject.CommonName }

// Server returns the TLS configuration of a listener. Each handshake uses the newest keys and requires a client
// certificate.
func (s *Source) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{"h2", "http/1.1"},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			m := s.current.Load()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				NextProtos:   []string{"h2", "http/1.1"},
				Certificates: []tls.Certificate{m.own},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    m.roots,
				// With a ticket, a client could resume a session without a check of its certificate against the newest authorities.
				SessionTicketsDisabled: true,
			}, nil
		},
	}
}

// Client returns the TLS configuration for connections to nodes.
func (s *Source) Client() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &s.current.Load().own, nil
		},
		// The library would verify the address, and with a fixed set of authorities. verifyNode replaces that check on every
		// handshake; without it, any process could impersonate a node.
		InsecureSkipVerify: true,
		VerifyConnection:   s.verifyNode,
	}
}

// verifyNode checks that the peer has a valid certificate with the node role.
func (s *Source) verifyNode(c tls.ConnectionState) error {
	if len(c.PeerCertificates) == 0 {
		return &NoCertificateError{}
	}
	intermediates := x509.NewCertPool()
	for _, cert := range c.PeerCertificates[1:] {
		intermediates.AddCert(cert)
	}
	leaf := c.PeerCertificates[0]
	_, err := leaf.Verify(x509.VerifyOptions{
		Roots: s.current.Load().roots, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	if err != nil {
		return fmt.Errorf("keys: verify the peer's certificate: %w", err)
	}
	if peer := identityOf(leaf); !peer.has(RoleNode) {
		return fmt.Errorf("keys: %w", &RoleError{peer.Name, RoleNode})
	}
	return nil
}

// HTTPClient returns an HTTP/2 client for connections to nodes.
func (s *Source) HTTPClient() *http.Client {
	t := &http.Transport{TLSClientConfig: s.Client(), Protocols: new(http.Protocols)}
	t.Protocols.SetHTTP2(true)
	return &http.Client{Transport: t}
}
