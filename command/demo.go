package command

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"text/tabwriter"

	"github.com/alecthomas/kingpin/v2"
	"github.com/google/uuid"

	"magnoliaferry/caller"
	"magnoliaferry/clock"
	"magnoliaferry/config"
	"magnoliaferry/entry"
	"magnoliaferry/examples"
	"magnoliaferry/kernel"
	"magnoliaferry/memory"
	"magnoliaferry/operator"
	"magnoliaferry/provider"
	"magnoliaferry/result"
	"magnoliaferry/settings"
	"magnoliaferry/standin"
)

// DemoOptions are the options of demo, which runs a whole example fleet in one process.
type DemoOptions struct {
	Fleet    string       // "kervan-etki" or "lone-star"
	Burst    clock.Millis // for how long callers send requests
	Callers  int          // number of callers that send at the same time
	LogLevel string
}

func init() {
	Register("demo", func(app *kingpin.Application) (*kingpin.CmdClause, RunFunc) {
		var o DemoOptions
		c := app.Command("demo", "Run an example fleet in this process: a burst of requests, a change, a drain.")
		c.Flag("fleet", "Example.").Default("kervan-etki").EnumVar(&o.Fleet, "kervan-etki", "lone-star")
		c.Flag("burst-ms", "For how long callers send requests, in milliseconds.").Default("6000").Int64Var((*int64)(&o.Burst))
		c.Flag("callers", "Number of callers that send at the same time.").Default("100").IntVar(&o.Callers)
		c.Flag("log-level", "Lowest level of messages that are logged.").Default("error").StringVar(&o.LogLevel)
		return c, func(ctx context.Context, env *Environment) error { return o.Run(ctx, env) }
	})
}

const (
	demoEntries      = 3  // number of entry instances
	demoServiceTime  = 20 // milliseconds that a worker takes for a request
	demoRebootTime   = 2 * clock.Second
	demoPollInterval = 50           // milliseconds between two checks of a condition
	demoTimeout      = clock.Minute // for all steps together
)

// demo is a running fleet in one process.
type demo struct {
	clock    *clock.Clock
	logger   *slog.Logger
	fleet    *config.Configuration
	store    *memory.Store
	workers  map[string]*standin.Worker
	entries  []*entry.Instance
	client   *http.Client
	operator *operator.Client
	callers  []string // addresses of the entry instances' listeners for callers

	mu        sync.Mutex
	outcomes  map[string]int
	durations []clock.Millis
	keys      map[string]bool // request keys that were answered
}

// Run runs the demo and prints a summary. It fails when a request was cut, that is, its connection failed before the
// answer was complete, or when an answered request with a key did not run exactly once.
func (o DemoOptions) Run(ctx context.Context, env *Environment) error {
	var level slog.Level
	if err := level.UnmarshalText([]byte(o.LogLevel)); err != nil {
		return usageError{err}
	}
	body := map[string][]byte{"kervan-etki": examples.KervanEtki, "lone-star": examples.LoneStar}[o.Fleet]
	fleet, faults := config.Decode(o.Fleet, body)
	if err := faults.Err(); err != nil {
		return err
	}
	d := &demo{clock: clock.System(), fleet: fleet, workers: map[string]*standin.Worker{},
		logger:   slog.New(slog.NewJSONHandler(env.Err, &slog.HandlerOptions{Level: level})),
		outcomes: map[string]int{}, keys: map[string]bool{},
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: o.Callers}}}
	ctx, cancel := context.WithCancel(ctx)
	stopped := make(chan error, 1)
	modules := d.build()
	go func() { stopped <- (&kernel.Kernel{Modules: modules}).Run(ctx) }()
	report, err := d.runSteps(ctx, o, body)
	cancel()
	if stopErr := <-stopped; err == nil {
		err = stopErr
	}
	if err != nil {
		return err
	}
	if err := env.Print(report, report.text()); err != nil {
		return err
	}
	return report.failure()
}

// build creates the platform, the workers and the entry instances. The kernel stops modules in reverse order, so that the
// entry instances stop before the workers that they send requests to.
func (d *demo) build() []kernel.Module {
	d.store = memory.New(d.clock, nil)
	d.store.RebootTime = demoRebootTime
	d.store.InFlight = func(id string) int {
		if w := d.workers[id]; w != nil {
			return w.InFlight(context.Background())
		}
		return 0
	}
	var modules []kernel.Module
	zones := d.fleet.Zones()
	count := 0
	for _, p := range d.fleet.Pools() {
		for range p.Instances() {
			id := workerName(count)
			w := &standin.Worker{ID: id, Address: "127.0.0.1:0", Clock: d.clock, Slots: p.Slots(),
				ServiceTime: demoServiceTime, Logger: d.logger}
			d.workers[id] = w
			zone := zones[count%len(zones)].Name
			rack := fmt.Sprintf("%s-r%d", zone, count/len(zones)/max(1, p.Fields().RackSize))
			count++
			modules = append(modules, w, registration{d, w, p, zone, rack})
		}
	}
	for n := range demoEntries {
		zone := zones[n%len(zones)].Name
		name := fmt.Sprintf("entry-%d", n)
		s := settings.Settings{Name: name, Zone: zone, Contact: "the demo", LogLevel: "error",
			Callers: settings.Listener{Listen: "127.0.0.1:0"}, Peers: settings.Listener{Listen: "127.0.0.1:0"},
			Operators:     settings.Listener{Listen: "127.0.0.1:0", TrustLoopback: true},
			ClaimInterval: settings.DefaultClaimInterval, Leave: clock.Second, Stop: settings.DefaultStop}
		e := &entry.Instance{Settings: s, Clock: d.clock, Logger: d.logger, Platform: d.store.View(zone)}
		d.entries = append(d.entries, e)
		modules = append(modules, entryModule{e, d.store})
	}
	return modules
}

// workerName returns the id of a worker. It does not contain a pool, because the control loops assign workers to pools.
func workerName(n int) string { return fmt.Sprintf("worker-%02d", n) }

type entryModule struct {
	*entry.Instance
	store *memory.Store
}

// Name implements kernel.Module.
func (e entryModule) Name() string { return e.Settings.Name }

// Run runs the instance and adds it to the platform's list of instances, by which the other instances find it.
func (e entryModule) Run(ctx context.Context) error {
	go func() {
		if address, err := e.Address(ctx, "peers"); err == nil {
			e.store.SetInstance(provider.NewInstance(provider.InstanceFields{ID: e.Settings.Name, Address: address,
				Zone: e.Settings.Zone, Role: provider.RoleEntry, State: provider.Live}))
		}
	}()
	return e.Instance.Run(ctx)
}

// registration adds a worker to the platform's list of instances once it listens.
type registration struct {
	demo   *demo
	worker *standin.Worker
	pool   config.Pool
	zone   string
	rack   string
}

// Name implements kernel.Module.
func (r registration) Name() string { return "registration of " + r.worker.ID }

// Run registers the worker and waits until the context is done.
func (r registration) Run(ctx context.Context) error {
	address, err := r.worker.Bound(ctx)
	if err != nil {
		return err
	}
	f := r.pool.Fields()
	r.demo.store.SetInstance(provider.NewInstance(provider.InstanceFields{ID: r.worker.ID, Address: address,
		Zone: r.zone, Rack: r.rack, Role: provider.RoleWorker, State: provider.Live, Cores: f.Cores, MemoryMB: f.MemoryMB,
		Slots: f.Slots, Connections: f.Connections}))
	<-ctx.Done()
	return nil
}

// demoReport is the summary of a demo.
type demoReport struct {
	Fleet       string         `json:"fleet"`
	Workers     int            `json:"workers"`
	Ready       clock.Millis   `json:"ready-ms"` // from the submission to the first time that every pool serves
	Requests    int            `json:"requests"`
	Outcomes    map[string]int `json:"outcomes"`
	Median      clock.Millis   `json:"median-ms"`
	P99         clock.Millis   `json:"p99-ms"`
	Change      clock.Millis   `json:"change-in-force-ms"` // from the second submission until it is in force on each entry instance
	Drained     string         `json:"drained"`
	DrainTime   clock.Millis   `json:"drain-ms"`       // from the order until every worker serves again
	NotRunOnce  int            `json:"keys-run-twice"` // keys of answered requests that did not run exactly once
	CutRequests int            `json:"requests-cut"`
}

// runSteps carries out the steps of the demo and returns its summary.
func (d *demo) runSteps(ctx context.Context, o DemoOptions, body []byte) (*demoReport, error) {
	ctx, cancel := d.clock.WithTimeout(ctx, demoTimeout)
	defer cancel()
	if err := d.connect(ctx); err != nil {
		return nil, err
	}
	r := &demoReport{Fleet: o.Fleet, Workers: len(d.workers), Outcomes: d.outcomes}
	started := d.clock.Now()
	if _, err := d.operator.Submit(ctx, o.Fleet, body, 0, uuid.NewString()); err != nil {
		return nil, err
	}
	if err := d.waitUntil(ctx, "every pool serves", d.allServe); err != nil {
		return nil, err
	}
	r.Ready = d.clock.Now() - started

	var sending sync.WaitGroup
	var stop atomic.Bool
	for n := range o.Callers {
		sending.Add(1)
		go func() { defer sending.Done(); d.send(ctx, n, &stop) }()
	}
	err := d.change(ctx, r, body)
	if err == nil {
		err = d.drain(ctx, r)
	}
	if err == nil {
		err = d.clock.Sleep(ctx, max(0, started+r.Ready+o.Burst-d.clock.Now()))
	}
	stop.Store(true)
	sending.Wait()
	if err != nil {
		return nil, err
	}
	d.summarise(r)
	return r, nil
}

func (d *demo) connect(ctx context.Context) error {
	for _, e := range d.entries {
		address, err := e.Address(ctx, "callers")
		if err != nil {
			return err
		}
		d.callers = append(d.callers, address)
	}
	address, err := d.entries[0].Address(ctx, "operators")
	d.operator = &operator.Client{Address: "http://" + address, HTTP: d.client}
	return err
}

// waitUntil polls until the condition holds; condition describes it in the error.
func (d *demo) waitUntil(ctx context.Context, condition string, holds func(context.Context) bool) error {
	for !holds(ctx) {
		if err := d.clock.Sleep(ctx, demoPollInterval); err != nil {
			return fmt.Errorf("demo stopped while waiting until %s: %w", condition, err)
		}
	}
	return nil
}

// allServe reports whether each service answers through each entry instance and every declared worker serves.
func (d *demo) allServe(ctx context.Context) bool {
	status, err := d.operator.Status(ctx)
	if err != nil {
		return false
	}
	for _, p := range status.Pools {
		if p.Serving < p.Instances {
			return false
		}
	}
	for _, address := range d.callers {
		for _, s := range d.fleet.Services() {
			if status, _, _ := d.request(ctx, address, s.Name(), http.MethodGet, ""); status != http.StatusOK {
				return false
			}
		}
	}
	return true
}

// send sends requests of one caller until stop; every second one is non-idempotent and has a key.
func (d *demo) send(ctx context.Context, caller int, stop *atomic.Bool) {
	random := rand.New(rand.NewPCG(1, uint64(caller)))
	services := d.fleet.Services()
	for n := 0; !stop.Load() && ctx.Err() == nil; n++ {
		method, key := http.MethodGet, ""
		if n%2 == 1 {
			method, key = http.MethodPost, fmt.Sprintf("key-%d-%d", caller, n)
		}
		started := d.clock.Now()
		_, outcome, err := d.request(ctx, d.callers[random.IntN(len(d.callers))], services[random.IntN(len(services))].Name(),
			method, key)
		d.record(outcome, key, d.clock.Now()-started, err)
	}
}

func (d *demo) record(outcome, key string, took clock.Millis, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil {
		outcome = "connection cut"
	}
	d.outcomes[outcome]++
	if outcome == string(result.Ran) {
		d.durations = append(d.durations, took)
		if key != "" {
			d.keys[key] = true
		}
	}
}

func (d *demo) request(ctx context.Context, address, service, method, key string) (status int, outcome string, err error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+"/"+service+"/demo", strings.NewReader(key))
	if err != nil {
		return 0, "", err
	}
	request.Header.Set(caller.HeaderCaller, "demo")
	if key != "" {
		request.Header.Set(caller.HeaderRequestKey, key)
	}
	response, err := d.client.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	outcome = response.Header.Get(caller.HeaderOutcome)
	if outcome != string(result.Ran) {
		outcome += ", result " + response.Header.Get(caller.HeaderResult)
	}
	return response.StatusCode, outcome, err
}

// change submits another configuration and waits until it is in force on each entry instance.
func (d *demo) change(ctx context.Context, r *demoReport, body []byte) error {
	fields := d.fleet.Fields()
	changed := bytes.Replace(body, []byte(fields.Pools[0].Contact), []byte("new-"+fields.Pools[0].Contact), 1)
	started := d.clock.Now()
	if _, err := d.operator.Submit(ctx, r.Fleet, changed, 1, uuid.NewString()); err != nil {
		return err
	}
	err := d.waitUntil(ctx, "version 2 is in force", func(context.Context) bool {
		for _, e := range d.entries {
			if e.Version() < 2 {
				return false
			}
		}
		return true
	})
	r.Change = d.clock.Now() - started
	return err
}

// drain drains one worker while callers send, and waits until it serves again.
func (d *demo) drain(ctx context.Context, r *demoReport) error {
	r.Drained = workerName(0)
	started := d.clock.Now()
	if _, err := d.operator.Drain(ctx, r.Drained, false); err != nil {
		return err
	}
	// allServing returns a condition: whether every worker serves, or with false, whether some worker does not.
	allServing := func(expected bool) func(context.Context) bool {
		return func(ctx context.Context) bool {
			status, err := d.operator.Status(ctx)
			if err != nil {
				return false
			}
			notServing := 0
			for _, p := range status.Pools {
				notServing += p.Instances - p.Serving
			}
			return (notServing == 0) == expected
		}
	}
	if err := d.waitUntil(ctx, "the worker is drained", allServing(false)); err != nil {
		return err
	}
	err := d.waitUntil(ctx, "the worker serves again", allServing(true))
	r.DrainTime = d.clock.Now() - started
	return err
}

func (d *demo) summarise(r *demoReport) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, n := range d.outcomes {
		r.Requests += n
	}
	r.CutRequests = d.outcomes["connection cut"]
	sort.Slice(d.durations, func(i, j int) bool { return d.durations[i] < d.durations[j] })
	if n := len(d.durations); n > 0 {
		r.Median, r.P99 = d.durations[n/2], d.durations[n*99/100]
	}
	for key := range d.keys {
		runs := 0
		for _, w := range d.workers {
			runs += w.Runs("demo", key)
		}
		if runs != 1 {
			r.NotRunOnce++
		}
	}
}

// text formats the report for people.
func (r *demoReport) text() string {
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	row := func(name, format string, values ...any) { fmt.Fprintf(w, name+"\t"+format+"\n", values...) }
	row("fleet", "%s, %d workers, %d entry instances", r.Fleet, r.Workers, demoEntries)
	row("every pool serves after", "%d ms", r.Ready)
	row("requests", "%d", r.Requests)
	names := make([]string, 0, len(r.Outcomes))
	for name := range r.Outcomes {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		row("  "+name, "%d", r.Outcomes[name])
	}
	row("time of an answer", "median %d ms, p99 %d ms", r.Median, r.P99)
	row("configuration change in force everywhere after", "%d ms", r.Change)
	row("drain, reboot and return of "+r.Drained, "%d ms", r.DrainTime)
	row("non-idempotent requests that did not run exactly once", "%d", r.NotRunOnce)
	row("requests cut", "%d", r.CutRequests)
	w.Flush()
	return b.String()
}

// failure returns an error if a request was cut or did not run exactly once.
func (r *demoReport) failure() error {
	switch {
	case r.NotRunOnce > 0:
		return errors.New("a non-idempotent request that was answered did not run exactly once")
	case r.CutRequests > 0:
		return errors.New("the connection of a request failed before its answer was complete")
	}
	return nil
}
