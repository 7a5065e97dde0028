package entry

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"magnoliaferry/operator"
	"magnoliaferry/provider"
	"magnoliaferry/settings"
)

// Guards against a request key that runs a second time when it is repeated in another zone, while the first attempt runs or
// after its entry instance was killed, and against a repeat whose result does not distinguish these cases.
func TestKeyThroughTwoZones(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 2)
	a, b := f.start("ea", "a", shortStop), f.start("eb", "b", nil)
	f.configureAndServe()
	f.waitUntil(func() bool { return len(b.node.Peers()) == 1 && b.node.Peers()[0].Alive() })

	first := a.send(http.MethodPost, "k1")
	if first.result != "2000" {
		t.Fatalf("the first request got %v, want result 2000", first)
	}
	var repeat answer
	f.waitUntil(func() bool { repeat = b.send(http.MethodPost, "k1"); return repeat.result != "2202" }) // the answer is being stored
	if repeat.result != "2001" || repeat.text != first.text || f.runs("k1") != 1 {
		t.Errorf("the repeat got %v after %d runs, want result 2001 with %q after 1", repeat, f.runs("k1"), first.text)
	}

	f.delayRequests()
	cut := make(chan answer, 1)
	go func() { cut <- a.send(http.MethodPost, "k2") }()
	f.waitUntil(func() bool { return f.runs("k2") == 1 })
	if got := b.send(http.MethodPost, "k2"); got.result != "2202" || got.retry != "1" {
		t.Errorf("a repeat while it runs got %v, retry after %q, want result 2202 and 1", got, got.retry)
	}
	a.kill()
	if got := <-cut; got.result != "2022" && got.outcome != "" {
		t.Errorf("the request whose entry instance was killed got %v, want result 2022 or a cut connection", got)
	}
	f.finishRequests()
	f.faults.Heal("ea")
	again := f.start("ea", "a", nil)
	f.waitUntil(again.serves)
	for _, r := range []*runningInstance{b, again, b} {
		if got := r.send(http.MethodPost, "k2"); got.result != "2203" || f.runs("k2") != 1 {
			t.Errorf("a repeat after the entry instance was killed got %v after %d runs, want result 2203 after 1", got, f.runs("k2"))
		}
	}
}

// Guards against an entry instance that serves requests without a configuration, or with an old one after a restart, and
// against a status that does not show this.
func TestRestartWithoutTable(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 2)
	a := f.start("ea", "a", nil)
	if got := a.health(); got != "no-configuration\n" {
		t.Errorf("health without a configuration got %q, want no-configuration", got)
	}
	if got := a.send(http.MethodGet, ""); got.result != "2010" || got.outcome != "not-run" {
		t.Errorf("a request without a configuration got %v, want result 2010, not-run", got)
	}
	status, err := a.operator().Status(context.Background())
	if err != nil || status.Unavailable == "" || len(status.Entries) != 1 {
		t.Errorf("the status without a configuration got %+v, %v, want one entry instance and why the rest is unavailable", status, err)
	}
	f.configureAndServe()
	a.submit(1, "other")

	f.faults.Partition("eb")
	b := f.start("eb", "b", nil)
	f.waitUntil(func() bool { return b.Version() > 0 })
	if got := b.Version(); got != 2 {
		t.Errorf("the first version after a start without a table got %d, want 2", got)
	}
	if got := b.send(http.MethodGet, ""); got.outcome != "not-run" {
		t.Errorf("a request before the entry instance is in the roster got %v, want not-run", got)
	}
	if status, err := b.operator().Status(context.Background()); err != nil || status.Unavailable == "" ||
		status.Version != 2 || len(status.Entries) != 2 {
		t.Errorf("the status without a table got %+v, %v, want version 2, two entry instances and why the rest is unavailable", status, err)
	}
	f.faults.Heal("eb")
	f.waitUntil(b.serves)
	status, err = a.operator().Status(context.Background())
	f.check(err)
	if e := status.Entries[1]; e.ID != "eb" || e.Zone != "b" || e.Version != 2 || e.Lag != 0 || !e.Alive || e.ReportAge < 0 {
		t.Errorf("the status of the other entry instance got %+v, want eb in zone b, alive, with version 2 and no lag", e)
	}
}

// Guards against a zone that, while it cannot reach the platform, refuses idempotent requests or runs requests with a key.
func TestZoneWithoutPlatform(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 2)
	a, b := f.start("ea", "a", nil), f.start("eb", "b", nil)
	f.configureAndServe()
	f.faults.Partition("ea")
	for range 20 {
		if got := a.send(http.MethodGet, ""); got.result != "2000" {
			t.Fatalf("an idempotent request got %v, want result 2000", got)
		}
		if got := a.send(http.MethodPost, "k"); got.result != "2200" || got.outcome != "not-run" {
			t.Fatalf("a keyed request got %v, want result 2200, not-run", got)
		}
	}
	if got := f.runs("k"); got != 0 {
		t.Errorf("a request whose key was refused ran %d times, want 0", got)
	}
	if got := b.send(http.MethodPost, "k"); got.result != "2000" {
		t.Errorf("the key in the other zone got %v, want result 2000", got)
	}
	f.faults.Heal("ea")
	var last answer
	f.waitUntil(func() bool {
		last = a.send(http.MethodPost, "k")
		return last.result != "2200" && last.result != "2202"
	})
	if last.result != "2001" || f.runs("k") != 1 {
		t.Errorf("the key after the partition got %v after %d runs, want result 2001 after 1", last, f.runs("k"))
	}
	f.waitUntil(func() bool { return a.send(http.MethodPost, "k2").result == "2000" })
}

// Guards against a planned stop that cuts a request in flight, or accepts a new one and does not answer it.
func TestGracefulStop(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 2)
	a := f.start("ea", "a", nil)
	f.configureAndServe()
	f.delayRequests()
	inFlight, got := 2, make(chan answer, 16)
	go func() { got <- a.send(http.MethodPost, "k") }()
	go func() { got <- a.send(http.MethodGet, "") }()
	f.waitUntil(func() bool { return f.inFlight() == inFlight })
	a.cancel()
	// Requests that arrive before the stop are in flight like the first two; the first one after it is refused.
	for refused := false; !refused; {
		late := fmt.Sprint("late-", inFlight)
		done := make(chan answer, 1)
		go func() { done <- a.send(http.MethodPost, late) }()
		f.waitUntil(func() bool { return len(done) > 0 || f.runs(late) > 0 })
		if f.runs(late) > 0 {
			inFlight++
			go func() { got <- <-done }()
			continue
		}
		answer := <-done
		if refused = true; answer.result != "2015" {
			t.Errorf("a request after the stop got %v, want result 2015", answer)
		}
	}
	f.finishRequests()
	for range inFlight {
		if answer := <-got; answer.result != "2000" {
			t.Errorf("a request in flight at the stop got %v, want result 2000", answer)
		}
	}
	a.stop()
}

// Guards against lost answers, and against keys that run twice, when half of the entry instances are replaced at once.
func TestHalfReplaced(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 4)
	var mu sync.Mutex
	current := []*runningInstance{f.start("e0", "a", nil), f.start("e1", "b", nil), f.start("e2", "a", nil), f.start("e3", "b", nil)}
	f.configureAndServe()
	stop := make(chan struct{})
	sent := f.sendLoad(8, func(n int) *runningInstance { mu.Lock(); defer mu.Unlock(); return current[n%len(current)] }, stop)
	f.waitUntil(func() bool { return f.workers[0].Total() > 20 })
	var stopping sync.WaitGroup
	for _, r := range current[:2] {
		stopping.Add(1)
		go func() { defer stopping.Done(); r.stop() }()
	}
	fresh := []*runningInstance{f.start("e4", "a", nil), f.start("e5", "b", nil)}
	mu.Lock()
	copy(current, fresh)
	mu.Unlock()
	stopping.Wait()
	for _, r := range fresh {
		f.waitUntil(r.serves)
	}
	total := f.workers[0].Total()
	f.waitUntil(func() bool { return f.workers[0].Total() > total+20 })
	close(stop)
	answers := sent()
	for key, answer := range answers {
		if answer.outcome != "ran" || f.runs(key) != 1 {
			t.Errorf("key %s got %v after %d runs, want an answer after 1", key, answer, f.runs(key))
		}
		if repeat := fresh[0].send(http.MethodPost, key); repeat.result != "2001" || repeat.text != answer.text {
			t.Errorf("key %s got the answer %q, and its repeat got %v, want result 2001 with the same answer", key, answer.text, repeat)
		}
	}
}

// Guards against a drain that reboots a worker on which requests still run, and against requests that fail because of it.
func TestDrainUnderLoad(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3)
	rebooted := make(chan int, 1)
	a := f.start("ea", "a", func(i *Instance) {
		i.Platform = rebootObserver{i.Platform, func() {
			select {
			case rebooted <- f.workers[0].InFlight(context.Background()):
			default: // a repeated order
			}
		}}
	})
	f.configureAndServe()
	stop := make(chan struct{})
	sent := f.sendLoad(6, func(int) *runningInstance { return a }, stop)
	f.waitUntil(func() bool { return f.workers[0].Total() > 10 })
	_, err := a.operator().Drain(context.Background(), "w0", false)
	f.check(err)
	if got := <-rebooted; got != 0 {
		t.Errorf("requests on the worker at its reboot got %d, want 0", got)
	}
	total := f.workers[0].Total()
	f.waitUntil(func() bool { return f.workers[0].Total() > total })
	close(stop)
	for key, answer := range sent() {
		if answer.result != "2000" || f.runs(key) != 1 {
			t.Errorf("key %s got %v after %d runs, want result 2000 after 1", key, answer, f.runs(key))
		}
	}
}

// rebootObserver is a platform that calls reboot before each order to reboot a worker.
type rebootObserver struct {
	provider.Platform
	reboot func()
}

func (w rebootObserver) Maintenance() provider.Maintenance {
	return observedMaintenance{w.Platform.Maintenance(), w.reboot}
}

type observedMaintenance struct {
	provider.Maintenance
	reboot func()
}

func (w observedMaintenance) Reboot(ctx context.Context, instance string) error {
	w.reboot()
	return w.Maintenance.Reboot(ctx, instance)
}

// authority is a certificate authority that writes its certificates to files of a directory.
type authority struct {
	t    *testing.T
	dir  string
	name string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T, dir, name string) *authority {
	a := &authority{t: t, dir: dir, name: name}
	a.cert, a.key = a.issue(name, name)
	return a
}

func (a *authority) file(name string) string { return filepath.Join(a.dir, name) }

// issue creates a certificate and writes <file>.cert and <file>.key. The first certificate is that of the authority itself.
func (a *authority) issue(file, commonName string) (*x509.Certificate, *ecdsa.PrivateKey) {
	must := func(err error) {
		a.t.Helper()
		if err != nil {
			a.t.Fatal(err)
		}
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must(err)
	template := &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: commonName},
		IsCA: a.cert == nil, BasicConstraintsValid: true, NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}}
	parent, signer := a.cert, a.key
	if parent == nil {
		parent, signer = template, key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	must(err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	must(err)
	for name, block := range map[string]*pem.Block{file + ".cert": {Type: "CERTIFICATE", Bytes: der},
		file + ".key": {Type: "EC PRIVATE KEY", Bytes: keyDER}} {
		must(os.WriteFile(a.file(name), pem.EncodeToMemory(block), 0o600))
	}
	issued, err := x509.ParseCertificate(der)
	must(err)
	return issued, key
}

// Guards against operators and peers that are accepted without a certificate of the configured authority.
func TestCertificates(t *testing.T) {
	t.Parallel()
	f, dir := newFleet(t, 2), t.TempDir()
	ours, theirs := newAuthority(t, dir, "ours"), newAuthority(t, dir, "theirs")
	ours.issue("server", "server")
	ours.issue("alice", "alice")
	ours.issue("nameless", "")
	theirs.issue("mallory", "alice")
	secure := func(i *Instance) {
		files := &settings.TLS{Certificate: ours.file("server.cert"), Key: ours.file("server.key"),
			Authorities: ours.file("ours.cert")}
		i.Settings.Operators = settings.Listener{Listen: "127.0.0.1:0", TLS: files}
		i.Settings.Peers.TLS = files
	}
	a, b := f.start("ea", "a", secure), f.start("eb", "b", secure)
	as := func(name string) *operator.Client {
		h, err := operator.NewHTTPClient(ours.file(name+".cert"), ours.file(name+".key"), ours.file("ours.cert"))
		f.check(err)
		t.Cleanup(h.CloseIdleConnections)
		return &operator.Client{Address: "https://" + a.address("operators"), HTTP: h}
	}
	roots := x509.NewCertPool()
	roots.AddCert(ours.cert)
	bare := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: roots}}}
	t.Cleanup(bare.CloseIdleConnections)
	ctx := context.Background()
	for name, client := range map[string]*operator.Client{"another authority": as("mallory"), "no name": as("nameless"),
		"no certificate": {Address: "https://" + a.address("operators"), HTTP: bare},
		"no TLS":         {Address: "http://" + a.address("operators"), HTTP: f.client}} {
		if _, err := client.Submit(ctx, "test", f.configuration("x"), 0, ""); err == nil {
			t.Errorf("a submission with %s got nil, want an error", name)
		}
		if _, err := client.Drain(ctx, "w0", true); err == nil {
			t.Errorf("a drain with %s got nil, want an error", name)
		}
	}
	if rows, err := f.store.View("").Table().Read(ctx, "config/current"); err != nil || rows[0].Version() != 0 {
		t.Errorf("the configuration after refused submissions got %v, %v, want none", rows, err)
	}
	version, err := as("alice").Submit(ctx, "test", f.configuration("x"), 0, "")
	if err != nil || version.Operator() != "alice" {
		t.Fatalf("a submission with a certificate got operator %q, %v, want alice", version.Operator(), err)
	}
	f.waitUntil(func() bool { return b.Version() == 1 && len(a.node.Peers()) == 1 }) // peers accept each other

	for name, client := range map[string]*http.Client{"no certificate": bare, "another authority": as("mallory").HTTP} {
		response, err := client.Post("https://"+a.address("peers")+"/twirp/magnoliaferry.peer.Peer/Fetch",
			"application/protobuf", http.NoBody)
		if err == nil {
			response.Body.Close()
			t.Errorf("a call to the peer port with %s got status %d, want a refused connection", name, response.StatusCode)
		}
	}
}
