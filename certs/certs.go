package certs

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"log/slog"
	"os"
	"sync"
	"time"

	"magnoliaferry/clock"
	"magnoliaferry/event"
)

var (
	eventReloaded = event.New(1010, "certificate-reloaded", slog.LevelInfo,
		"reloaded the certificate, key and CA files after a change")
	eventReloadFailed = event.New(1011, "certificate-reload-failed", slog.LevelError,
		"cannot load the changed certificate, key or CA files; the previous certificate and CAs stay in use")
)

// checkInterval is the minimum time between two checks of the files' modification times; without it each TLS handshake
// would check them.
const checkInterval = clock.Second

// Source reads a certificate, its key and the certificates of the certificate authorities (CAs) that sign the
// certificates of the other sides of the connections. Load must have succeeded before Server or Client is called.
type Source struct {
	CertificateFile string // PEM
	KeyFile         string // PEM
	AuthoritiesFile string // PEM, the CAs' certificates; empty if the other sides present no certificate; Client then trusts no server
	Clock           *clock.Clock
	Logger          *slog.Logger // may be nil

	mu        sync.Mutex
	checkedAt clock.Millis
	modTimes  [3]time.Time
	current   *tls.Certificate
	caPool    *x509.CertPool
}

// Load reads the files for the first time and returns an error when they cannot be used.
func (s *Source) Load() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.checkedAt = s.Clock.Now()
	s.modTimes = s.readModTimes()
	return s.readFiles()
}

// Server returns a configuration for a server; with requireClientCert set, each client must present a certificate
// signed by one of the CAs.
func (s *Source) Server(requireClientCert bool) *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS12, GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
		certificate, authorities := s.refresh()
		c := &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{*certificate}}
		if requireClientCert {
			c.ClientAuth = tls.RequireAndVerifyClientCert
			c.ClientCAs = authorities
		}
		return c, nil
	}}
}

// Client returns a configuration for a client that presents its certificate when the server asks for one. It uses the
// CAs of the time of the call; after a change of the CAs a new configuration is needed.
func (s *Source) Client() *tls.Config {
	_, authorities := s.refresh()
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		RootCAs:    authorities,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			certificate, _ := s.refresh()
			return certificate, nil
		},
	}
}

// refresh reads the files again if they have changed, and returns the certificate and the CAs. When the new files cannot
// be used, the previous certificate and CAs stay in use.
func (s *Source) refresh() (*tls.Certificate, *x509.CertPool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	if now < s.checkedAt+checkInterval {
		return s.current, s.caPool
	}
	s.checkedAt = now
	modTimes := s.readModTimes()
	if modTimes == s.modTimes {
		return s.current, s.caPool
	}
	s.modTimes = modTimes
	if err := s.readFiles(); err != nil {
		eventReloadFailed.Log(context.Background(), s.Logger, slog.String("file", s.CertificateFile),
			slog.String("error", err.Error()))
	} else {
		eventReloaded.Log(context.Background(), s.Logger, slog.String("file", s.CertificateFile))
	}
	return s.current, s.caPool
}

func (s *Source) readFiles() error {
	certificate, err := tls.LoadX509KeyPair(s.CertificateFile, s.KeyFile)
	if err != nil {
		return err
	}
	authorities := x509.NewCertPool()
	if s.AuthoritiesFile != "" {
		pem, err := os.ReadFile(s.AuthoritiesFile)
		if err != nil {
			return err
		}
		if !authorities.AppendCertsFromPEM(pem) {
			return fmt.Errorf("CA file %q contains no usable PEM certificate", s.AuthoritiesFile)
		}
	}
	s.current, s.caPool = &certificate, authorities
	return nil
}

func (s *Source) readModTimes() (times [3]time.Time) {
	for i, name := range []string{s.CertificateFile, s.KeyFile, s.AuthoritiesFile} {
		if info, err := os.Stat(name); err == nil {
			times[i] = info.ModTime()
		}
	}
	return times
}
