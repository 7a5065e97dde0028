package operator

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// authority is a certificate authority of one test.
type authority struct {
	t           *testing.T
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	a := &authority{t: t}
	a.certificate, a.key = a.sign("authority", nil)
	return a
}

func (a *authority) sign(name string, parent *authority) (*x509.Certificate, *ecdsa.PrivateKey) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		a.t.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), IsCA: parent == nil,
		BasicConstraintsValid: true, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		KeyUsage:    x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}}
	signer, signerKey := template, key
	if parent != nil {
		signer, signerKey = parent.certificate, parent.key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, signer, &key.PublicKey, signerKey)
	if err != nil {
		a.t.Fatal(err)
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		a.t.Fatal(err)
	}
	return certificate, key
}

// files writes a certificate for name and returns the names of its files.
func (a *authority) files(name string) (certificate, key, authority string) {
	dir := a.t.TempDir()
	write := func(file, kind string, der []byte) string {
		path := filepath.Join(dir, file)
		if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
			a.t.Fatal(err)
		}
		return path
	}
	c, k := a.sign(name, a)
	der, err := x509.MarshalECPrivateKey(k)
	if err != nil {
		a.t.Fatal(err)
	}
	return write("cert.pem", "CERTIFICATE", c.Raw), write("key.pem", "EC PRIVATE KEY", der),
		write("ca.pem", "CERTIFICATE", a.certificate.Raw)
}

// Guards against a call that is accepted without a certificate signed by the operators' authority.
func TestCertificateIdentity(t *testing.T) {
	b := newTestBed(t)
	b.server.Identity = Certificate{}
	mine, foreign := newAuthority(t), newAuthority(t)
	certificate, key, _ := mine.files("server")
	pair, err := tls.LoadX509KeyPair(certificate, key)
	if err != nil {
		t.Fatal(err)
	}
	roots := x509.NewCertPool()
	roots.AddCert(mine.certificate)
	serve := func(auth tls.ClientAuthType) string {
		web := httptest.NewUnstartedServer(b.server.Handler())
		web.TLS = &tls.Config{Certificates: []tls.Certificate{pair}, ClientCAs: roots, ClientAuth: auth}
		web.StartTLS()
		t.Cleanup(web.Close)
		return web.URL
	}
	submit := func(url, certificate, key, authority string) (Version, error) {
		h, err := NewHTTPClient(certificate, key, authority)
		if err != nil {
			t.Fatal(err)
		}
		c := &Client{Address: url, HTTP: h}
		return c.Submit(context.Background(), "f", body(t, nil), 0, "")
	}
	// RequestClientCert lets unverified certificates through to the server, which must reject them.
	lenient, strict := serve(tls.RequestClientCert), serve(tls.VerifyClientCertIfGiven)
	_, _, trusted := mine.files("ada")
	foreignCertificate, foreignKey, _ := foreign.files("ada")
	if _, err := submit(lenient, foreignCertificate, foreignKey, trusted); problemOf(err).Code() != CodeNoIdentity.Number() {
		t.Errorf("foreign certificate got %v, want no-identity", err)
	}
	nameless, namelessKey, _ := mine.files("")
	if _, err := submit(strict, nameless, namelessKey, trusted); problemOf(err).Code() != CodeNoIdentity.Number() {
		t.Errorf("certificate without a name got %v, want no-identity", err)
	}
	if _, transactions := b.memory.Counts(); transactions != 0 {
		t.Errorf("transactions got %d, want 0", transactions)
	}
	adaCertificate, adaKey, _ := mine.files("ada")
	v, err := submit(strict, adaCertificate, adaKey, trusted)
	if err != nil || v.Operator() != "ada" {
		t.Errorf("Submit got operator %q, %v, want ada", v.Operator(), err)
	}
}
