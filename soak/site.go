package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"magnoliaferry/batch"
	"magnoliaferry/clock"
	"magnoliaferry/daemon"
	"magnoliaferry/standin"
	"magnoliaferry/store"
)

// Names, sizes and settings of the simulated site. Two pools and a standby pool are the minimum for moves between pools.
const (
	hostName       = "jobs.example"
	standbyPool    = "spare"
	machineCPU     = 4000             // thousandths of a core
	machineMemory  = 8000             // megabytes
	racks          = 4                // machines fail together by rack
	machineLease   = 3 * clock.Second // setting of the instances
	stopGrace      = 6                // seconds
	stateRetention = 120              // seconds
	idleConns      = 64               // idle connections of the callers to one instance
	feedRows       = 500              // largest number of rows in an answer of the store's feed, as on the platform
)

var pools = []string{"north", "south"}

// site is a simulated platform and the instances that run on it.
type site struct {
	options        Options
	table          *standin.Table
	operator       *operator
	customerByJob  sync.Map // name of the customer by id of the job
	fleet          *standin.Fleet
	begun          func(job string) int // number of tasks of a job that have started, which is Begun of fleet
	fault          atomic.Int64         // standin.TableFault for transactions
	down           atomic.Bool          // whether the store rejects reads
	machines       []string
	instances      []*instance
	workers        map[string]*standin.Proxy          // by machine
	platform       string                             // address of the interface to the machines
	reachableSince atomic.Int64                       // time since which the store answers reads, in milliseconds; unreachable during an outage
	late           atomic.Int64                       // one in this many orders to workers is late; 0: none
	slow           atomic.Int64                       // delay of a transaction of the store, in milliseconds
	writeHook      atomic.Pointer[func(in *instance)] // called once, after the next conditional write
	client         *http.Client                       // of the callers

	mu        sync.Mutex
	random    *rand.Rand // for drawLateDelay
	abandoned []string   // jobs that do not exist, according to the answer to their cancelling
}

// instance is one process of the product and its proxies to the platform.
type instance struct {
	name            string
	callers         string // address that callers connect to
	settings        string // path of the settings file
	store, machines *standin.Proxy
	reachableSince  atomic.Int64 // time since which the store's proxy is open; see site.reachableSince

	mu      sync.Mutex
	process *exec.Cmd
	ending  bool // a signal to end was sent
	ended   chan struct{}
}

func newSite(ctx context.Context, o Options) (*site, error) {
	table := standin.NewTable()
	table.FeedRows = feedRows
	s := &site{options: o, table: table, workers: map[string]*standin.Proxy{},
		fleet: standin.NewFleet(table, clock.System(), func() int64 { return time.Now().UnixMilli() })}
	s.begun = s.fleet.Begun
	s.random = rand.New(rand.NewPCG(o.Seed, 4))
	s.fleet.Late, s.fleet.LateForNextIncarnation = s.drawLateDelay, o.LateForNextIncarnation
	// Callers keep their connections open while the instance runs.
	s.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idleConns}}
	table.Fault = func(store.Transaction) standin.TableFault { return standin.TableFault(s.fault.Load()) }
	table.Down = s.down.Load
	queue := batch.Queue{Host: hostName, Priority: 1, MaxAttempts: 20, Stretch: 1.6, Objective: 600}
	var queues []batch.Queue
	for _, pool := range pools {
		queue.Name, queue.Prefix, queue.Pool = "q-"+pool, "/"+pool+"/", pool
		queues = append(queues, queue)
	}
	queue.Name, queue.Prefix, queue.Public = "q-open", publicPrefix, true
	s.operator = newOperator(o, table, append(queues, queue))
	s.fleet.OnStart = func(job string, cpu int, running map[string]int) string {
		return checkCap(s.customerOf, job, cpu, running)
	}
	s.fleet.SetStandby(standbyPool)
	if err := s.addMachines(ctx); err != nil {
		return nil, err
	}
	var err error
	if s.platform, err = listen(ctx, s.fleet); err != nil {
		return nil, err
	}
	addresses, err := freeAddresses(ctx, 2*o.Instances)
	if err != nil {
		return nil, err
	}
	for i := range o.Instances {
		if err := s.addInstance(ctx, i, addresses[2*i], addresses[2*i+1]); err != nil {
			return s, err
		}
	}
	return s, nil
}

// listen serves on a free port until the context ends.
func listen(ctx context.Context, handler http.Handler) (string, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: (10 * clock.Second).Duration()}
	context.AfterFunc(ctx, func() { _ = server.Close() }) // at the end of the soak
	go func() { _ = server.Serve(listener) }()            // returns when the server is closed
	return listener.Addr().String(), nil
}

func (s *site) addMachines(ctx context.Context) error {
	random := rand.New(rand.NewPCG(s.options.Seed, 1))
	for i := range s.options.Machines {
		id := fmt.Sprintf("m%02d", i)
		pool := append([]string{standbyPool}, pools...)[i%3]
		proxy := &standin.Proxy{}
		address, err := proxy.Listen(ctx)
		if err != nil {
			return err
		}
		clockRate := 970 + random.IntN(60)
		handler := s.fleet.Add(id, pool, fmt.Sprintf("z%d", i%2), fmt.Sprintf("r%d", i%racks), address,
			batch.Resources{CPU: machineCPU, MemoryMB: machineMemory}, clockRate)
		if proxy.Target, err = listen(ctx, handler); err != nil {
			return err
		}
		s.machines = append(s.machines, id)
		s.workers[id] = proxy
	}
	return nil
}

// instanceHost returns a loopback address that only the instances of this soak process use, so that no other socket takes the port
// of an instance that is down. It is in 127.64.0.0/10 and contains the process id.
func instanceHost() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64|pid>>16&63, pid>>8&255, pid&255)
}

// freeAddresses returns n free addresses; an instance keeps its addresses over restarts.
func freeAddresses(ctx context.Context, n int) ([]string, error) {
	var addresses []string
	for range n {
		listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", net.JoinHostPort(instanceHost(), "0"))
		if err != nil {
			return nil, err
		}
		defer listener.Close() // at the end, so that all ports are different
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}

func (s *site) addInstance(ctx context.Context, number int, callers, ready string) error {
	in := &instance{name: fmt.Sprintf("entry-%d", number), callers: callers, store: &standin.Proxy{}, machines: &standin.Proxy{Target: s.platform}}
	var err error
	rows := &standin.Rows{Table: s.table, Slow: func() clock.Millis { return clock.Millis(s.slow.Load()) },
		Applied: func(tx store.Transaction) { s.afterWrite(in, tx) }}
	if in.store.Target, err = listen(ctx, rows); err != nil {
		return err
	}
	storeAddress, err := in.store.Listen(ctx)
	if err != nil {
		return err
	}
	machines, err := in.machines.Listen(ctx)
	if err != nil {
		return err
	}
	var settings daemon.Settings
	settings.Node, settings.Zone = in.name, fmt.Sprintf("z%d", number%2)
	settings.Listen.Callers, settings.Listen.Ready = in.callers, ready
	settings.Store, settings.Machines = storeAddress, machines
	settings.CPUShare, settings.CPUSpeed = 0.4, 1
	settings.RevocationLimit, settings.CapOverage = revocationLimit, capOverage
	settings.LeaseLimit, settings.MachineLease = standin.MaxLease, machineLease
	settings.StopGrace, settings.StateRetention = stopGrace, stateRetention
	encoded, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	in.settings = filepath.Join(s.options.Directory, in.name+".json")
	if err := os.WriteFile(in.settings, encoded, 0o600); err != nil {
		return err
	}
	if err := in.start(s.options); err != nil {
		return err
	}
	s.instances = append(s.instances, in)
	return nil
}

// customerOf returns the customer of a job, or noCustomer.
func (s *site) customerOf(job string) string {
	if customer, ok := s.customerByJob.Load(job); ok {
		return customer.(string)
	}
	return noCustomer
}

// unreachable is a time far in the future, for a store that cannot be reached now.
const unreachable = int64(clock.Day) << 20

// canReadSince returns the time since which an instance can read the store, or unreachable.
func (s *site) canReadSince(in *instance) clock.Millis {
	return clock.Millis(max(s.reachableSince.Load(), in.reachableSince.Load()))
}

// start starts the process of the instance; its output is appended to the instance's log file.
func (in *instance) start(o Options) error {
	in.mu.Lock()
	defer in.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(o.Directory, in.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	process := exec.Command(o.Binary, "run", "--settings", in.settings)
	process.Stdout, process.Stderr = log, log
	if err := process.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	in.process, in.ending, in.ended = process, false, ended
	go func() {
		outcome := process.Wait()
		log.Close()
		in.mu.Lock()
		if !in.ending {
			o.recordViolation("%s exited without a signal from the soak: %v", in.name, outcome)
		}
		in.mu.Unlock()
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process; it does nothing if the process has ended.
func (in *instance) signal(sig syscall.Signal) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.ending = in.ending || sig == syscall.SIGKILL || sig == syscall.SIGTERM
	_ = in.process.Process.Signal(sig) // fails only if it has ended
}

// stop sends a signal that ends the process, and waits for its end.
func (in *instance) stop(sig syscall.Signal) {
	in.signal(sig)
	in.wait()
}

// wait waits for the end of the process. After stopGrace it kills the process and returns false.
func (in *instance) wait() (inTime bool) {
	in.mu.Lock()
	ended := in.ended
	in.mu.Unlock()
	select {
	case <-ended:
		return true
	case <-time.After(stopGrace * time.Second):
		in.signal(syscall.SIGKILL)
		<-ended
		return false
	}
}
