package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Sizes of the deployment and names.
const (
	instanceCount  = 3
	workerCPU      = 32000 // thousandths of a core
	workerMemory   = 65536 // megabytes
	hostName       = "jobs.example"
	serviceName    = "depot-desk"
	callerWait     = 3 * time.Second
	callerTries    = 5
	stopGrace      = 6 * time.Second
	readyTimeout   = 20 * time.Second
	settingsPerm   = 0o600
	binary         = "target/magnoliaferry"
	headerDeadline = "Magnoliaferry-Request-Deadline"
)

// processes are those that this process has started.
var processes struct {
	mu   sync.Mutex
	list []*exec.Cmd
}

// killAll ends all processes that this process has started.
func killAll() {
	processes.mu.Lock()
	defer processes.mu.Unlock()
	for _, p := range processes.list {
		_ = p.Process.Kill() // fails only if it has ended
	}
}

// start is a start that a worker has begun.
type start struct {
	task   string
	run    int
	worker string
	at     time.Time
}

// site is a small deployment.
type site struct {
	record    *record
	store     *platformStore
	platform  machinePlatform
	advisor   *advisor
	workers   []*worker
	instances []*instance
	directory string
	client    *http.Client

	checkpointing map[string]bool // jobs whose tasks save checkpoints; set before they are submitted
	needsTicket   map[string]bool // jobs of queues with an advisor; set before they are submitted

	mu       sync.Mutex
	starts   []start
	refusals map[string]int        // by task and reason
	done     map[string]int        // ends done, by job
	failedAt map[string][]taskNote // ends failed that were taken note of, by task
}

type taskNote struct {
	run int
	at  time.Time
}

// instance is a process of the system.
type instance struct {
	name    string
	callers string
	ready   string
	process *exec.Cmd
	ended   chan struct{}
}

// host returns a loopback address that only this process uses, so that cases that run at the same time do not take each other's ports.
func host() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64|pid>>16&63, pid>>8&255, max(pid&255, 1))
}

func listen(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", host()+":0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = server.Serve(listener) }() // until the process ends
	return listener.Addr().String(), nil
}

// newSite starts the stand-ins with the given number of workers, four in a rack.
func newSite(r *record, workers int, routes ...map[string]any) (*site, error) {
	s := &site{record: r, store: newStore(r), advisor: newAdvisor(r), client: &http.Client{Timeout: callerWait}, checkpointing: map[string]bool{},
		needsTicket: map[string]bool{}, refusals: map[string]int{}, done: map[string]int{}, failedAt: map[string][]taskNote{}}
	s.platform.site = s
	var err error
	if s.directory, err = os.MkdirTemp("", "review-"); err != nil {
		return nil, err
	}
	s.configure(1, routes...)
	ids := map[string]bool{}
	for len(ids) < workers {
		ids[newWorkerID()] = true
	}
	sorted := make([]string, 0, workers)
	for id := range ids {
		sorted = append(sorted, id)
	}
	sort.Strings(sorted)
	for i, id := range sorted {
		w, err := newWorker(s, id, "m-"+strings.TrimPrefix(id, "i-")[:5], serviceName, "austin-a", fmt.Sprintf("r1-%d", i/4))
		if err != nil {
			return nil, err
		}
		s.workers = append(s.workers, w)
	}
	return s, nil
}

// configure writes a version of the operators' configuration.
func (s *site) configure(version int, routes ...map[string]any) {
	names := []string{}
	for _, r := range routes {
		names = append(names, fmt.Sprint(r["name"]))
	}
	s.record.add("operator: configuration %d with the routes %s", version, strings.Join(names, ", "))
	s.store.put(tableOperator, "config", map[string]any{"version": version, "routes": routes, "limits": map[string]any{},
		"services": []map[string]any{{"name": serviceName, "enforcesCapacity": false}}})
}

// route returns a route of the service.
func route(name string, attempts int, advised bool) map[string]any {
	r := map[string]any{"name": name, "host": hostName, "prefix": "/" + name + "/", "service": serviceName, "priority": 0, "maxAttempts": attempts,
		"stretch": 1.6, "targetCompletionMs": 600, "timeoutMs": 3000}
	if advised {
		r["advisor"] = map[string]any{"decideMs": adviceTime.Milliseconds(), "perWorkerMs": adviceWorkerTime.Milliseconds(),
			"validityMs": adviceValidity.Milliseconds()}
	}
	return r
}

// startInstances starts the processes of the system and waits until they are ready.
func (s *site) startInstances() error {
	storeAddress, err := listen(s.store)
	if err != nil {
		return err
	}
	advisorAddress, err := listen(s.advisor)
	if err != nil {
		return err
	}
	machinesAddress, err := listen(&s.platform)
	if err != nil {
		return err
	}
	for i := range instanceCount {
		in := &instance{name: fmt.Sprintf("front-austin-a-%d", i+1), ended: make(chan struct{})}
		addresses, err := freeAddresses(3)
		if err != nil {
			return err
		}
		in.callers, in.ready = addresses[0], addresses[1]
		settings, err := json.Marshal(map[string]any{"node": in.name, "zone": "austin-a",
			"listen": map[string]string{"callers": in.callers, "ready": in.ready}, "store": storeAddress, "machines": machinesAddress,
			"advisor": advisorAddress, "metrics": addresses[2], "memory-mb": 284, "cpu-share": 0.4, "cpu-speed": 1,
			"lease-limit": maxHold.Milliseconds(), "machine-lease": 3000, "machine-orders-per-s": 64, "stop-grace-s": 6, "state-retention-s": 120})
		if err != nil {
			return err
		}
		path := filepath.Join(s.directory, in.name+".json")
		if err := os.WriteFile(path, settings, settingsPerm); err != nil {
			return err
		}
		log, err := os.Create(filepath.Join(s.directory, in.name+".log"))
		if err != nil {
			return err
		}
		in.process = exec.Command(binary, "run")
		in.process.Env = append(os.Environ(), "MAGNOLIAFERRY_SETTINGS="+path)
		in.process.Stdout, in.process.Stderr = log, log
		if err := in.process.Start(); err != nil {
			return err
		}
		processes.mu.Lock()
		processes.list = append(processes.list, in.process)
		processes.mu.Unlock()
		go func() {
			_ = in.process.Wait() // the record tells how it ended
			_ = log.Close()
			s.record.add("%s has ended: %v", in.name, in.process.ProcessState)
			close(in.ended)
		}()
		s.instances = append(s.instances, in)
	}
	for until := time.Now().Add(readyTimeout); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		if !slices.ContainsFunc(s.instances, func(in *instance) bool { return !s.ready(in) }) {
			s.record.add("%d instances are ready", len(s.instances))
			return nil
		}
	}
	return fmt.Errorf("the instances were not ready within %v", readyTimeout)
}

func (s *site) ready(in *instance) bool {
	response, err := s.client.Get("http://" + in.ready + "/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close() // the body is not needed
	return response.StatusCode == http.StatusOK
}

// close ends the processes that the site started.
func (s *site) close() {
	for _, in := range s.instances {
		_ = in.process.Process.Signal(syscall.SIGTERM) // fails only if it has ended
	}
	timeout := time.After(stopGrace)
	for _, in := range s.instances {
		select {
		case <-in.ended:
		case <-timeout:
			_ = in.process.Process.Kill() // as above
			<-in.ended
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.directory) // left over files do no harm
	}
}

func freeAddresses(n int) ([]string, error) {
	var addresses []string
	for range n {
		listener, err := net.Listen("tcp", host()+":0")
		if err != nil {
			return nil, err
		}
		defer listener.Close() // at the end, so that all ports differ
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}

// call sends a request of a caller; the status is 0 if there was no answer.
func (s *site) call(in *instance, method, path string, body any) (int, []byte) {
	var content []byte
	if body != nil {
		content, _ = json.Marshal(body) // maps of plain values can be encoded
	}
	request, err := http.NewRequest(method, "http://"+in.callers+path, bytes.NewReader(content))
	if err != nil {
		return 0, nil
	}
	request.Host = hostName
	request.Header.Set(headerDeadline, fmt.Sprint(callerWait.Milliseconds()))
	request.Header.Set("Content-Type", "application/json")
	response, err := s.client.Do(request)
	if err != nil {
		s.record.add("caller: %s %s at %s: %v", method, path, in.name, err)
		return 0, nil
	}
	defer response.Body.Close()
	reply, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	shown := reply
	if len(shown) > 120 {
		shown = shown[:120]
	}
	s.record.add("caller: %s %s at %s: %d %s", method, path, in.name, response.StatusCode, shown)
	return response.StatusCode, reply
}

// submit hands a job in until an instance accepts it.
func (s *site) submit(queue, id, spec string, steps ...map[string]any) error {
	for try := range callerTries {
		status, _ := s.call(s.instances[try%len(s.instances)], http.MethodPost, "/"+queue+"/"+id, map[string]any{"spec": spec, "steps": steps})
		if status == http.StatusOK {
			return nil
		}
		time.Sleep(time.Second)
	}
	return fmt.Errorf("no instance accepted job %s", id)
}

// state returns the state of a job as the first instance that answers with success tells it, or "".
func (s *site) state(queue, id string) string {
	for _, in := range s.instances {
		status, content := s.call(in, http.MethodGet, "/"+queue+"/"+id, nil)
		var body struct {
			State string `json:"state"`
		}
		if status == http.StatusOK && json.Unmarshal(content, &body) == nil {
			return body.State
		}
	}
	return ""
}

func newWorkerID() string { return fmt.Sprintf("i-%010x", rand.Uint64()>>24) }

// addWorker adds a worker that has started on a machine after another one.
func (s *site) addWorker(w *worker) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.workers = append(s.workers, w)
}

// allWorkers returns all workers, also those that have crashed.
func (s *site) allWorkers() []*worker {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.workers)
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// begun records a start. The worker's lock is held.
func (s *site) begun(w *worker, order *workerOrder) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.starts = append(s.starts, start{order.Task, order.Run, w.id, time.Now()})
	if len(s.starts) <= 200 {
		s.record.add("worker %s starts task %s, run %d, checkpoint %q", w.id, order.Task, order.Run, order.Checkpoint)
	}
}

// refused records a refused start. The worker's lock is held.
func (s *site) refused(w *worker, order *workerOrder, reason string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := order.Task + " " + reason
	s.refusals[key]++
	if s.refusals[key] <= 3 {
		s.record.add("worker %s refuses to start task %s, run %d, ticket %q: %s", w.id, order.Task, order.Run, order.Ticket, reason)
	}
}

// ended records an end. The worker's lock is held.
func (s *site) ended(w *worker, e taskEnd) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e.how == "done" {
		s.done[jobOf(e.task)]++
	}
	if len(s.starts) <= 200 {
		s.record.add("worker %s: task %s, run %d ends %s", w.id, e.task, e.run, e.how)
	}
}

// noted records an end of which the system has taken note. The worker's lock is held.
func (s *site) noted(w *worker, e taskEnd) {
	if e.how != "failed" || e.lapsed {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failedAt[e.task] = append(s.failedAt[e.task], taskNote{e.run, time.Now()})
	s.record.add("worker %s: the end failed of task %s, run %d is taken note of", w.id, e.task, e.run)
}

// checkTicket returns the reason of a refusal, or "". The worker's lock is held.
func (s *site) checkTicket(w *worker, order *workerOrder) string {
	if !s.needsTicket[jobOf(order.Task)] {
		return ""
	}
	if step := order.Task[:strings.LastIndexByte(order.Task, '.')]; !s.advisor.valid(step, w.id, order.Ticket) {
		return "ticket"
	}
	return ""
}

// startsOf returns the starts whose task begins with the prefix, in order.
func (s *site) startsOf(prefix string) []start {
	s.mu.Lock()
	defer s.mu.Unlock()
	var of []start
	for _, st := range s.starts {
		if strings.HasPrefix(st.task, prefix) {
			of = append(of, st)
		}
	}
	return of
}

// refusalsOf returns how often starts of a job were refused, by reason.
func (s *site) refusalsOf(job string) map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	of := map[string]int{}
	for key, n := range s.refusals {
		if strings.HasPrefix(key, job) {
			_, reason, _ := strings.Cut(key, " ")
			of[reason] += n
		}
	}
	return of
}

// doneOf returns the number of ends done of a job.
func (s *site) doneOf(job string) int { s.mu.Lock(); defer s.mu.Unlock(); return s.done[job] }

// await waits until the condition holds, and reports whether it did within the time.
func await(within time.Duration, condition func() bool) bool {
	for until := time.Now().Add(within); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}
