package certs

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"magnoliaferry/clock"
)

// writeCertificate writes a self-signed CA certificate and its key to the files cert and key, with the given modification
// time.
func writeCertificate(t *testing.T, dir, name string, modified time.Time) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, IsCA: true,
		BasicConstraintsValid: true, NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	for file, block := range map[string]*pem.Block{"cert": {Type: "CERTIFICATE", Bytes: der},
		"key": {Type: "EC PRIVATE KEY", Bytes: keyDER}} {
		path := filepath.Join(dir, file)
		if err := os.WriteFile(path, pem.EncodeToMemory(block), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Chtimes(path, modified, modified); err != nil {
			t.Fatal(err)
		}
	}
}

// newSource returns a loaded Source of a new self-signed certificate with the common name name, which is also its CA. It also
// returns the directory of the files and the clock of the Source.
func newSource(t *testing.T, name string) (*Source, string, *clock.Clock) {
	dir, c := t.TempDir(), clock.NewFake(0)
	writeCertificate(t, dir, name, time.Unix(1, 0))
	s := &Source{CertificateFile: filepath.Join(dir, "cert"), KeyFile: filepath.Join(dir, "key"),
		AuthoritiesFile: filepath.Join(dir, "cert"), Clock: c}
	if err := s.Load(); err != nil {
		t.Fatalf("Load got %v, want nil", err)
	}
	return s, dir, c
}

// handshake returns the common name of the certificate that the server presents, and the error of the server or client.
func handshake(t *testing.T, server, client *tls.Config) (string, error) {
	t.Helper()
	a, b := net.Pipe()
	defer a.Close()
	defer b.Close()
	done := make(chan error, 1)
	go func() { done <- tls.Server(a, server).Handshake(); a.Close() }()
	client.ServerName = "127.0.0.1"
	connection := tls.Client(b, client)
	if err := connection.Handshake(); err != nil {
		b.Close()
		<-done
		return "", err
	}
	go func() { _, _ = connection.Read(make([]byte, 1)) }()
	return connection.ConnectionState().PeerCertificates[0].Subject.CommonName, <-done
}

// Guards against a renewed certificate that is used only after a restart, and against an unreadable new certificate that
// replaces the working one.
func TestRenewalWithoutRestart(t *testing.T) {
	s, dir, c := newSource(t, "first")
	steps := []struct {
		change func()
		want   string
	}{
		{func() {}, "first"},
		{func() { writeCertificate(t, dir, "second", time.Unix(2, 0)) }, "second"},
		{func() { os.WriteFile(filepath.Join(dir, "cert"), []byte("broken"), 0o600) }, "second"},
	}
	for _, step := range steps {
		step.change()
		c.Advance(checkInterval)
		got, err := handshake(t, s.Server(true), s.Client())
		if err != nil || got != step.want {
			t.Errorf("server certificate got %q (%v), want %q", got, err, step.want)
		}
	}
}

// Guards against a server that accepts operators and peers without a certificate signed by its CA.
func TestClientWithoutCertificateIsRefused(t *testing.T) {
	s, _, _ := newSource(t, "server")
	other, _, _ := newSource(t, "stranger")
	none := s.Client()
	none.GetClientCertificate = nil
	foreign := s.Client()
	foreign.GetClientCertificate = other.Client().GetClientCertificate
	for name, client := range map[string]*tls.Config{"no certificate": none, "foreign certificate": foreign} {
		if _, err := handshake(t, s.Server(true), client); err == nil {
			t.Errorf("%s: handshake got nil, want an error", name)
		}
	}
}
