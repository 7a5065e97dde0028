package entry

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"magnoliaferry/caller"
	"magnoliaferry/clock"
	"magnoliaferry/fault"
	"magnoliaferry/memory"
	"magnoliaferry/operator"
	"magnoliaferry/provider"
	"magnoliaferry/settings"
	"magnoliaferry/standin"
)

// testFleet is a fleet with one pool: workers and entry instances in one process, connected over loopback, on one platform.
// Each entry instance accesses the platform under its own name, so that a partition in faults can separate a single one.
type testFleet struct {
	testing.TB
	clock       *clock.Clock
	faults      *fault.Injector
	store       *memory.Store
	workerClock *clock.Clock // clock of the workers; after delayRequests, requests wait for it to advance
	workers     []*standin.Worker
	instances   []*runningInstance
	client      *http.Client
}

// runningInstance is one entry instance.
type runningInstance struct {
	*Instance
	fleet     *testFleet
	cancel    context.CancelFunc
	addresses map[string]string // by port
	done      chan struct{}
	err       error
}

// newFleet starts the workers, alternately in zones a and b.
func newFleet(t testing.TB, workers int) *testFleet {
	f := &testFleet{TB: t, clock: clock.System(), faults: &fault.Injector{}, workerClock: clock.NewFake(0), client: &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: 16}}}
	f.store = memory.New(f.clock, f.faults)
	f.store.RebootTime = 200
	f.store.InFlight = func(id string) int {
		for _, w := range f.workers {
			if w.ID == id {
				return w.InFlight(context.Background())
			}
		}
		return 0
	}
	for n := range workers {
		w := &standin.Worker{ID: fmt.Sprint("w", n), Address: "127.0.0.1:0", Clock: f.workerClock, Slots: 8}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- w.Run(ctx) }()
		t.Cleanup(func() { cancel(); f.check(<-done) })
		address, err := w.Bound(ctx)
		f.check(err)
		f.workers = append(f.workers, w)
		f.store.SetInstance(provider.NewInstance(provider.InstanceFields{ID: w.ID, Address: address, Zone: "ab"[n%2 : n%2+1],
			Rack: fmt.Sprint("r", n), Role: provider.RoleWorker, State: provider.Live, Cores: 4, MemoryMB: 8192, Slots: 8,
			Connections: 64}))
	}
	t.Cleanup(f.client.CloseIdleConnections)
	return f
}

func (f *testFleet) check(err error) {
	f.Helper()
	if err != nil {
		f.Fatal(err)
	}
}

// start runs an entry instance with those that are already running as its seeds.
func (f *testFleet) start(name, zone string, change func(*Instance)) *runningInstance {
	f.Helper()
	port := settings.Listener{Listen: "127.0.0.1:0"}
	i := &Instance{Clock: f.clock, Platform: f.store.View(name), ControlPeriod: 100, Settings: settings.Settings{Name: name,
		Zone: zone, Contact: "on-call", Callers: port, Peers: port, Operators: settings.Listener{Listen: port.Listen,
			TrustLoopback: true}, ClaimInterval: 5, Stop: 30 * clock.Second}}
	for _, r := range f.instances {
		select {
		case <-r.done:
		default:
			i.Settings.Peers.Seeds = append(i.Settings.Peers.Seeds, r.address("peers"))
		}
	}
	if change != nil {
		change(i)
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &runningInstance{Instance: i, fleet: f, cancel: cancel, addresses: map[string]string{},
		done: make(chan struct{})}
	go func() { r.err = i.Run(ctx); cancel(); close(r.done) }()
	f.Cleanup(r.stop)
	for _, port := range []string{"callers", "operators", "peers"} {
		address, err := i.Address(ctx, port)
		f.check(err)
		r.addresses[port] = address
	}
	f.instances = append(f.instances, r)
	return r
}

// address returns the address of a port of the instance, also after its end.
func (r *runningInstance) address(port string) string { return r.addresses[port] }

// stop stops an instance gracefully and waits for its end.
func (r *runningInstance) stop() {
	r.cancel()
	<-r.done
	if r.err != nil {
		r.fleet.Errorf("%s: Run got %v, want nil", r.Settings.Name, r.err)
	}
}

// kill partitions an instance from the platform and stops it, which cuts its requests. The instance must have been started
// with shortStop.
func (r *runningInstance) kill() {
	r.fleet.faults.Partition(r.Settings.Name)
	r.stop()
}

// shortStop makes an instance cut its requests one millisecond after it is stopped.
func shortStop(i *Instance) { i.Settings.Stop = 1 }

// waitUntil polls until a condition holds; the time-out of the test bounds it.
func (f *testFleet) waitUntil(holds func() bool) {
	for !holds() {
		f.check(f.clock.Sleep(context.Background(), 5))
	}
}

// operator returns the client of an operator on loopback.
func (r *runningInstance) operator() *operator.Client {
	return &operator.Client{Address: "http://" + r.address("operators"), HTTP: r.fleet.client}
}

func (f *testFleet) configuration(contact string) []byte {
	return fmt.Appendf(nil, `{"name": "test", "zones": [{"name": "a", "region": "n"}, {"name": "b", "region": "n"}],
		"pools": [{"name": "web", "contact": %q, "instances": %d, "capacity": 1, "max-unavailable": 1, "cores": 4,
		"memory": "8GB"}], "services": [{"name": "web", "pool": "web"}]}`, contact, len(f.workers))
}

// submit stores the next configuration version through an instance; seen is the version that it replaces.
func (r *runningInstance) submit(seen int64, contact string) {
	r.fleet.Helper()
	_, err := r.operator().Submit(context.Background(), "test", r.fleet.configuration(contact), seen, "")
	r.fleet.check(err)
}

// configureAndServe submits a configuration and waits until every instance serves.
func (f *testFleet) configureAndServe() {
	f.Helper()
	f.instances[0].submit(0, "ops")
	for _, r := range f.instances {
		f.waitUntil(r.serves)
	}
}

func (r *runningInstance) serves() bool { return r.send(http.MethodGet, "").status == http.StatusOK }

// answer is the answer that a caller receives; outcome is "" if the connection failed.
type answer struct {
	status                       int
	result, outcome, retry, text string
}

func (a answer) String() string {
	return fmt.Sprint(a.status, " ", a.result, " ", a.outcome, " ", a.text)
}

// send sends one request, with a request key unless key is "".
func (r *runningInstance) send(method, key string) answer {
	request, err := http.NewRequest(method, "http://"+r.address("callers")+"/web/x", strings.NewReader(key))
	r.fleet.check(err)
	request.GetBody = nil // prevents net/http from retrying the request
	request.Header.Set(caller.HeaderCaller, "c")
	if key != "" {
		request.Header.Set(caller.HeaderRequestKey, key)
	}
	response, err := r.fleet.client.Do(request)
	if err != nil {
		return answer{text: err.Error()}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{text: err.Error()}
	}
	return answer{response.StatusCode, response.Header.Get(caller.HeaderResult), response.Header.Get(caller.HeaderOutcome),
		response.Header.Get("Retry-After"), string(text)}
}

// health returns the body of the health check for the balancer, or "" if there is no answer.
func (r *runningInstance) health() string {
	response, err := r.fleet.client.Get("http://" + r.address("callers") + caller.HealthPath)
	if err != nil {
		return ""
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	r.fleet.check(err)
	return string(text)
}

// runs returns how many times the workers ran a key.
func (f *testFleet) runs(key string) int {
	runs := 0
	for _, w := range f.workers {
		runs += w.Runs("c", key)
	}
	return runs
}

// inFlight returns the number of requests that the workers run.
func (f *testFleet) inFlight() int {
	count := 0
	for _, w := range f.workers {
		count += w.InFlight(context.Background())
	}
	return count
}

// delayRequests makes requests that arrive at the workers after it wait for finishRequests.
func (f *testFleet) delayRequests() { f.setServiceTime(1000) }

// finishRequests ends the requests that wait at the workers, and the delay of later ones.
func (f *testFleet) finishRequests() {
	f.setServiceTime(0)
	f.waitUntil(func() bool { return f.workerClock.PendingTimers() >= f.inFlight() })
	f.workerClock.Advance(1000)
}

// setServiceTime sets how long the workers run each request on workerClock, in milliseconds.
func (f *testFleet) setServiceTime(t clock.Millis) {
	for _, w := range f.workers {
		w.Handler().ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/stand-in/mode",
			bytes.NewReader(fmt.Appendf(nil, `{"service-time-ms": %d}`, t))))
	}
}

// sendLoad sends requests with keys from n callers until stop is closed. Each key is sent to one instance after another until it
// has an answer or its outcome is unknown. The returned function waits for the callers and returns the answers by key.
func (f *testFleet) sendLoad(n int, choose func(int) *runningInstance, stop <-chan struct{}) func() map[string]answer {
	var mu sync.Mutex
	var callers sync.WaitGroup
	answers := map[string]answer{}
	for c := range n {
		callers.Add(1)
		go func() {
			defer callers.Done()
			for k := 0; ; k++ {
				select {
				case <-stop:
					return
				default:
				}
				key := fmt.Sprintf("k-%d-%d", c, k)
				for try := 0; ; try++ {
					a := choose(c+k+try).send(http.MethodPost, key)
					if a.outcome == "ran" || a.result == "2203" {
						mu.Lock()
						answers[key] = a
						mu.Unlock()
						break
					}
					if f.clock.Sleep(context.Background(), 10) != nil {
						return
					}
				}
			}
		}()
	}
	return func() map[string]answer { callers.Wait(); return answers }
}
