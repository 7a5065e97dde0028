package peer

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"magnoliaferry/clock"
	"magnoliaferry/peer/peerpb"
)

// serve runs the peer port for a node and returns its address.
func serve(t *testing.T, node peerpb.Peer, settings *tls.Config) string {
	t.Helper()
	s := &Server{Address: "127.0.0.1:0", TLS: settings, Node: node, Clock: clock.System()}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Errorf("Run got %v, want nil", err)
		}
	})
	bound, err := s.Bound(ctx)
	check(t, err)
	return bound
}

func gossip(from *simNode) *peerpb.Gossip { return &peerpb.Gossip{From: from.members.self.wire()} }

// sendProbe sends one probe and waits for the result.
func sendProbe(h *HTTP, address string, fresh bool, g *peerpb.Gossip) error {
	done := make(chan error, 1)
	h.Call(address, fresh, 2*seconds, func(ctx context.Context, p peerpb.Peer) error {
		_, err := p.Probe(ctx, g)
		return err
	}, func(err error) { done <- err })
	return <-done
}

// Guards against malformed calls that change the state of a node or make it allocate memory.
func TestBadCalls(t *testing.T) {
	w := convergedCluster(t, 20, 3)
	node := w.order[0]
	url := "http://" + serve(t, node, nil) + peerpb.PeerPathPrefix
	good := gossip(w.order[1])
	with := func(change func(*peerpb.Gossip)) []byte {
		g := proto.Clone(good).(*peerpb.Gossip)
		change(g)
		encoded, err := proto.Marshal(g)
		check(t, err)
		return encoded
	}
	tests := []struct {
		name, path, kind string
		body             []byte
		want             int
	}{
		{"well-formed", "Probe", "application/protobuf", with(func(*peerpb.Gossip) {}), 200},
		{"json", "Probe", "application/json", []byte("{}"), 415},
		{"noise", "Probe", "application/protobuf", bytes.Repeat([]byte{0xff}, 1000), 400},
		{"too long", "Probe", "application/protobuf", make([]byte, maxRequestBytes+1), 413},
		{"unknown method", "Reboot", "application/protobuf", nil, 404},
		{"no sender", "Probe", "application/protobuf", nil, 400},
		{"host name", "Probe", "application/protobuf",
			with(func(g *peerpb.Gossip) { g.From.Address = "host:1" }), 400},
		{"no incarnation", "Probe", "application/protobuf",
			with(func(g *peerpb.Gossip) { g.From.Incarnation = 0 }), 400},
		{"long id", "Probe", "application/protobuf",
			with(func(g *peerpb.Gossip) { g.From.Id = string(make([]byte, maxNameBytes+1)) }), 400},
		{"many reports", "Probe", "application/protobuf",
			with(func(g *peerpb.Gossip) { g.Reports = make([]*peerpb.Report, maxReports+1) }), 400},
		{"empty push", "Push", "application/protobuf", nil, 400},
		{"empty relay", "Relay", "application/protobuf", nil, 400},
		{"empty vouch", "Vouch", "application/protobuf", nil, 400},
		{"empty confirm", "Confirm", "application/protobuf", nil, 400},
		{"empty loan", "Borrow", "application/protobuf", nil, 400},
		{"empty question", "Runs", "application/protobuf", nil, 400},
		{"empty return", "GiveBack", "application/protobuf", nil, 400},
		{"empty fetch", "Fetch", "application/protobuf", nil, 200},
	}
	for _, test := range tests {
		response, err := http.Post(url+test.path, test.kind, bytes.NewReader(test.body))
		if err != nil {
			t.Errorf("%s: request failed: %v", test.name, err)
			continue
		}
		_ = response.Body.Close()
		if got := response.StatusCode; got != test.want {
			t.Errorf("%s: status got %d, want %d", test.name, got, test.want)
		}
	}
	if got, want := len(node.Peers()), 2; got != want {
		t.Errorf("members after the calls got %d, want %d", got, want)
	}
}

// Guards against member lists and records of removed members that grow without bound.
func TestBoundedMembers(t *testing.T) {
	s := newCluster(t, 21, 1).add(0, 1)
	for i := range 3 * maxRemoved {
		m := &peerpb.Member{Id: address(i), Address: address(i), Zone: "z", Incarnation: 1}
		s.members.merge(m, 0, false)
		m.State = peerpb.State_FAILED
		m.Id += "x"
		s.members.merge(m, 0, false)
	}
	for name, size := range map[string]int{"members": len(s.members.all), "queued updates": len(s.members.queuedUpdates)} {
		if size > maxMembers {
			t.Errorf("%s got %d, want at most %d", name, size, maxMembers)
		}
	}
	if got := len(s.members.removed); got > maxRemoved || len(s.members.removalOrder) != got {
		t.Errorf("records of removed members got %d, with %d in removalOrder, want the same and at most %d", got, len(s.members.removalOrder), maxRemoved)
	}
}

// Guards against a port that serves any number of calls at once.
func TestConcurrentCallLimit(t *testing.T) {
	held := make(chan struct{})
	var open atomic.Int64
	handler := (&Server{Node: slowPeer{open: &open, held: held}}).Handler()
	body, _ := proto.Marshal(&peerpb.FetchRequest{})
	results := make(chan int, 2*maxConcurrentCalls)
	send := func() {
		r := httptest.NewRequest(http.MethodPost, peerpb.PeerPathPrefix+"Fetch", bytes.NewReader(body))
		r.Header.Set("Content-Type", "application/protobuf")
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, r)
		results <- w.Code
	}
	for range maxConcurrentCalls {
		go send()
	}
	for open.Load() < maxConcurrentCalls {
		runtime.Gosched()
	}
	send()
	if got, want := <-results, http.StatusServiceUnavailable; got != want {
		t.Errorf("status of a call beyond the limit got %d, want %d", got, want)
	}
	close(held)
}

type slowPeer struct {
	peerpb.Peer
	open *atomic.Int64
	held chan struct{}
}

func (p slowPeer) Fetch(context.Context, *peerpb.FetchRequest) (*peerpb.FetchAnswer, error) {
	p.open.Add(1)
	<-p.held
	return &peerpb.FetchAnswer{}, nil
}

// Guards against a peer port that serves clients without a certificate of the fleet's authority.
func TestClientCertificates(t *testing.T) {
	w := convergedCluster(t, 22, 3)
	fleet, other := newAuthority(t), newAuthority(t)
	server := fleet.settings(t)
	server.ClientAuth, server.ClientCAs = tls.RequireAndVerifyClientCert, fleet.pool
	address := serve(t, w.order[0], server)
	without := fleet.settings(t)
	without.Certificates = nil
	foreign := other.settings(t)
	foreign.RootCAs = fleet.pool
	for _, test := range []struct {
		name     string
		settings *tls.Config
		want     bool
	}{{"fleet", fleet.settings(t), true}, {"none", without, false}, {"foreign", foreign, false}, {"plain", nil, false}} {
		h := &HTTP{TLS: test.settings, Clock: clock.System()}
		if err := sendProbe(h, address, false, gossip(w.order[1])); (err == nil) != test.want {
			t.Errorf("client with TLS settings %q: call got %v, want success %v", test.name, err, test.want)
		}
		h.Forget(address)
	}
	lax := &Server{Address: "127.0.0.1:0", TLS: fleet.settings(t), Node: w.order[0]}
	if err := lax.Run(context.Background()); err == nil {
		t.Errorf("Run accepted TLS settings that do not require a client certificate")
	}
}

// Guards against a fresh call that uses the open connection, and against values of OverheadRequest and OverheadAnswer
// that are smaller than the HTTP overhead of real calls.
func TestConnections(t *testing.T) {
	w := convergedCluster(t, 23, 3)
	var conns, header atomic.Int64
	handler := (&Server{Node: w.order[0]}).Handler()
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		dump, _ := httputil.DumpRequest(r, false)
		header.Store(int64(len(dump)))
		handler.ServeHTTP(rw, r)
	}))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			conns.Add(1)
		}
	}
	server.Start()
	defer server.Close()
	address := server.Listener.Addr().String()
	h := &HTTP{Clock: clock.System()}
	for _, test := range []struct {
		fresh bool
		want  int64
	}{{false, 1}, {false, 1}, {true, 2}, {false, 2}} {
		if err := sendProbe(h, address, test.fresh, gossip(w.order[1])); err != nil {
			t.Fatalf("probe got %v, want nil", err)
		}
		if got := conns.Load(); got != test.want {
			t.Errorf("connections got %d, want %d", got, test.want)
		}
	}
	if got := header.Load(); got > OverheadRequest {
		t.Errorf("HTTP overhead of a request got %d bytes, want at most %d", got, OverheadRequest)
	}
	response, err := http.Post(server.URL+peerpb.PeerPathPrefix+"Fetch", "application/protobuf", http.NoBody)
	check(t, err)
	defer func() { _ = response.Body.Close() }()
	if dump, _ := httputil.DumpResponse(response, false); len(dump) > OverheadAnswer {
		t.Errorf("HTTP overhead of an answer got %d bytes, want at most %d", len(dump), OverheadAnswer)
	}
	h.Forget(address)
}

// Guards against answers that exhaust the memory of the caller.
func TestHugeAnswer(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "application/protobuf")
		_, _ = w.Write(make([]byte, maxAnswerBytes+1))
	}))
	defer server.Close()
	h := &HTTP{Clock: clock.System()}
	w := convergedCluster(t, 24, 3)
	if err := sendProbe(h, server.Listener.Addr().String(), false, gossip(w.order[0])); err == nil ||
		!strings.Contains(err.Error(), "longer than") {
		t.Errorf("an answer beyond the limit got error %v, want one about its length", err)
	}
}

// Guards, on the system clock and over TLS, against nodes that do not find each other, do not pass on a version, answer
// before they run, or do not stop.
func TestRun(t *testing.T) {
	w := newCluster(t, 25, 1)
	fleet := newAuthority(t)
	settings := fleet.settings(t)
	settings.ClientAuth, settings.ClientCAs = tls.RequireAndVerifyClientCert, fleet.pool
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 2)
	var nodes []*Node
	for _, id := range []string{"a", "b"} {
		n := &Node{ID: id, Zone: "z00", Incarnation: 1, Clock: clock.System(), Codec: w.codec,
			Transport: &HTTP{Clock: clock.System(), TLS: fleet.settings(t)}, Table: w.store.View("z00").Table(),
			Objects: w.store.View("z00").Objects(), Rosters: fakeRosters{}, Ledger: &simNode{}}
		n.Address = serve(t, n, settings)
		n.AddSeeds(n.Address)
		if _, err := n.Probe(ctx, gossip(w.add(1, 1))); err == nil || n.Peers() != nil || n.Usable() {
			t.Errorf("a node that is not running answers a probe, returns peers or is usable")
		}
		if len(nodes) > 0 {
			n.AddSeeds(nodes[0].Address)
		}
		nodes = append(nodes, n)
		go func() { done <- n.Run(ctx) }()
	}
	for !nodes[0].Usable() || !nodes[1].Usable() || len(nodes[0].Peers()) == 0 {
		runtime.Gosched()
	}
	body := w.codec.body(1)
	nodes[0].Accepted(1, w.codec.Digest(body), w.codec.delta(1), body)
	for nodes[1].InForce().Number() != 1 {
		runtime.Gosched()
	}
	cancel()
	for range nodes {
		if err := <-done; err != nil {
			t.Errorf("Run got %v, want nil", err)
		}
	}
	if got := w.roster("z00"); len(got) != 0 {
		t.Errorf("roster after the nodes stopped got %v, want none", got)
	}
	if err := (&Node{}).Run(ctx); err == nil {
		t.Errorf("Run accepted a node without the required fields")
	}
}

type authority struct {
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
	pool *x509.CertPool
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	check(t, err)
	return key
}

func newAuthority(t *testing.T) authority {
	key := newKey(t)
	template := &x509.Certificate{SerialNumber: big.NewInt(1), IsCA: true, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageCertSign, NotAfter: time.Now().Add(time.Hour)}
	encoded, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	check(t, err)
	cert, err := x509.ParseCertificate(encoded)
	check(t, err)
	pool := x509.NewCertPool()
	pool.AddCert(cert)
	return authority{key, cert, pool}
}

// settings returns the TLS settings of a client or server with a certificate of the authority.
func (a authority) settings(t *testing.T) *tls.Config {
	key := newKey(t)
	template := &x509.Certificate{SerialNumber: big.NewInt(2), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}}
	encoded, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	check(t, err)
	return &tls.Config{Certificates: []tls.Certificate{{Certificate: [][]byte{encoded}, PrivateKey: key}},
		RootCAs: a.pool, MinVersion: tls.VersionTLS13}
}
