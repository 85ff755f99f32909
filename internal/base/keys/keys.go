// Package keys lets processes and operators know each other by certificates: TLS with mutual authentication on the
// control port, reloaded while the process runs, and roles for operators.
//
// Who somebody is stands in the certificate: the common name is the name of the node or operator, the organisational
// units are its roles. Addresses are not checked: hosts are replaced at any time and their addresses used again, so a
// certificate that named them would be out of date; a peer must have the role of a node instead.
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

// reloadPeriod is how often files are compared with what is in use.
const reloadPeriod = 5 * time.Second

// Settings name the files of a process; all are PEM. None: the control port is plain.
type Settings struct {
	// CA is the file with the certificates of the authorities that peers' certificates must come from.
	CA string `yaml:"ca"`
	// Certificate is the file with this process's certificate, and those between it and the authority.
	Certificate string `yaml:"certificate"`
	// Key is the file with the certificate's private key.
	Key string `yaml:"key"`
}

// Enabled reports whether any file is named.
func (s Settings) Enabled() bool { return s != Settings{} }

// Check refuses settings that name some files and not all: half of mutual authentication would be none.
func (s Settings) Check() error {
	if !s.Enabled() {
		return nil
	}
	for _, f := range []struct{ path, value string }{{"$.tls.ca", s.CA}, {"$.tls.certificate", s.Certificate}, {"$.tls.key", s.Key}} {
		if f.value == "" {
			return &settings.KeyError{Path: f.path, Want: "a PEM file, as the other files of tls are named"}
		}
	}
	return nil
}

// FileError says that a file cannot be used.
type FileError struct {
	File  string
	Cause error
}

// Error implements error.
func (e *FileError) Error() string { return fmt.Sprintf("keys: %s: %v", e.File, e.Cause) }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Cause }

// NoCertificateError says that a file or a connection holds no certificate.
type NoCertificateError struct{}

// Error implements error.
func (*NoCertificateError) Error() string { return "there is no certificate" }

// material is what the files held at one time.
type material struct {
	ca, certificate, key []byte
	roots                *x509.CertPool
	own                  tls.Certificate
}

// Source holds the newest usable keys. It is safe for concurrent use.
type Source struct {
	settings Settings
	logger   log.Logger
	current  atomic.Pointer[material]
}

// Load reads the files. It returns nil if the settings name none. Errors: *FileError.
func Load(s Settings, logger log.Logger) (*Source, error) {
	if !s.Enabled() {
		return nil, nil
	}
	m, err := read(s)
	if err != nil {
		return nil, err
	}
	out := &Source{settings: s, logger: logger}
	out.current.Store(m)
	return out, nil
}

func read(s Settings) (*material, error) {
	m := &material{}
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

// Run reloads the files when they change, until ctx ends.
func (s *Source) Run(ctx context.Context) {
	tick := time.NewTicker(reloadPeriod)
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

// Reload takes over changed files. Certificate and key are two files, which are not replaced at one moment: a pair that
// does not fit is left for the next time, and the old keys stay in use.
func (s *Source) Reload() {
	old := s.current.Load()
	m, err := read(s.settings)
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

// Name is the common name of the own certificate.
func (s *Source) Name() string { return s.current.Load().own.Leaf.Subject.CommonName }

// Server returns the configuration of a listener: each handshake goes by the newest keys, and needs a certificate.
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
				// A ticket would let a client resume without its certificate being checked against the newest authorities.
				SessionTicketsDisabled: true,
			}, nil
		},
	}
}

// Client returns the configuration of a client of nodes.
func (s *Source) Client() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &s.current.Load().own, nil
		},
		// The library's check goes by the address and by fixed authorities. verifyNode takes its place on every
		// handshake; without it, anybody could pose as a node.
		InsecureSkipVerify: true,
		VerifyConnection:   s.verifyNode,
	}
}

// verifyNode checks that the peer has a valid certificate of a node.
func (s *Source) verifyNode(c tls.ConnectionState) error {
	if len(c.PeerCertificates) == 0 {
		return &NoCertificateError{}
	}
	between := x509.NewCertPool()
	for _, cert := range c.PeerCertificates[1:] {
		between.AddCert(cert)
	}
	leaf := c.PeerCertificates[0]
	_, err := leaf.Verify(x509.VerifyOptions{
		Roots: s.current.Load().roots, Intermediates: between, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	if err != nil {
		return fmt.Errorf("keys: the peer's certificate: %w", err)
	}
	if who := identityOf(leaf); !who.has(RoleNode) {
		return fmt.Errorf("keys: %w", &RoleError{who.Name, RoleNode})
	}
	return nil
}

// HTTPClient returns a client of nodes that speaks HTTP/2.
func (s *Source) HTTPClient() *http.Client {
	t := &http.Transport{TLSClientConfig: s.Client(), Protocols: new(http.Protocols)}
	t.Protocols.SetHTTP2(true)
	return &http.Client{Transport: t}
}
