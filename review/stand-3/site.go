package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"magnoliaferry/standin"
)

// Bounds of a small deployment in milliseconds.
const (
	cancelMillis  = 3000
	visibleMillis = 3000
	earlyMillis   = 250
)

// step is a step of a job as a requester submits it.
type step struct {
	Count           int    `json:"count"`
	CPU             int    `json:"cpu"`
	Memory          int    `json:"memMb"`
	Estimated       int64  `json:"estimatedMs"`
	After           []int  `json:"after,omitempty"`
	Checkpointing   bool   `json:"checkpointing,omitempty"`
	Gang            bool   `json:"gang,omitempty"`
	Label           string `json:"requiredLabel,omitempty"`
	MaxPerServer    int    `json:"maxPerServer,omitempty"`
	AllowDuplicates bool   `json:"allowDuplicates,omitempty"`
	LongRunning     bool   `json:"longRunning,omitempty"`
	MayMiss         int    `json:"mayMiss,omitempty"`
}

// job is a job with what the requester and the workers saw of it.
type job struct {
	ID       string `json:"-"`
	Spec     string `json:"spec"`
	Steps    []step `json:"steps"`
	MaxRuns  int    `json:"maxRuns,omitempty"`
	StartAt  int64  `json:"startAtMs,omitempty"`
	Interval int64  `json:"intervalMs,omitempty"`

	queue       *queue
	acceptedAt  int64 // 0: not accepted
	cancelledAt int64 // when the cancelling was acknowledged; 0: not
	begun       bool
	done        map[string]bool // tasks that have ended done
}

func (j *job) runs() int { return max(j.MaxRuns, 1) }

// queue is a route of the configuration.
type queue struct {
	Name, Prefix, Service string
	Priority, MaxAttempts int
	Advised               bool
}

// instance is one process of the system.
type instance struct {
	name, callers, ready, settings string
	store                          *standin.Proxy
	open                           *path // from the instance to store
	process                        *exec.Cmd
	ended                          chan struct{}
}

// site is the platform with its stand-ins, and the instances.
type site struct {
	record *record
	folder string // temporary
	binary string
	table  *standin.Table

	mu        sync.Mutex
	workers   []*worker
	jobs      map[string]*job
	queues    []*queue
	failures  map[string]int   // runs of a task that have failed
	noted     map[string]int   // failed ends of a task that were taken note of
	doneAt    map[string]int64 // tasks with an end done that was taken note of: when it ended
	lastStart map[string]int64 // by task
	members   map[string]string
	tickets   map[string]ticket
	instances []*instance
	advisor   string
	toAdvisor path
	cloud     string
	version   int
	spare     bool // there is a pool of machines that are off
	waveCaps  map[int64]int
	lives     int     // of workers that came after a move or an upkeep
	lateShare float64 // part of the orders that are left unanswered and carried out late
}

type ticket struct {
	step, worker string
	born, until  int64
}

func newSite(r *record, folder, binary string) *site {
	table := standin.NewTable()
	table.FeedRows = 500
	return &site{record: r, folder: folder, binary: binary, table: table, jobs: map[string]*job{}, failures: map[string]int{}, noted: map[string]int{},
		doneAt: map[string]int64{}, lastStart: map[string]int64{}, members: map[string]string{}, tickets: map[string]ticket{}, waveCaps: map[int64]int{}}
}

// late draws whether an order is carried out late, and after how many milliseconds. The site's lock is held.
func (s *site) late(path string) (after int64, late bool) {
	if s.lateShare == 0 || path == "/pace" || rand.Float64() >= s.lateShare {
		return 0, false
	}
	return 2000 + rand.Int64N(10000), true
}

// serve serves on a free loopback port until the context ends.
func serve(ctx context.Context, handler http.Handler) (string, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	go func() { _ = server.Serve(listener) }() // returns when the server is closed
	return listener.Addr().String(), nil
}

// addWorkers adds workers to a pool, four on a rack; kinds names the label of each.
func (s *site) addWorkers(ctx context.Context, pool string, cpu int, kinds ...string) error {
	for _, kind := range kinds {
		n := len(s.workers)
		w := &worker{site: s, id: fmt.Sprintf("i-%05x", 0x7f000+n*37), machine: fmt.Sprintf("m-%05x", 0x1a000+n*41), rack: fmt.Sprintf("r1-%d", n/4), pool: pool, cpu: cpu}
		var err error
		if w.path.target, err = serve(ctx, w); err != nil {
			return err
		}
		if w.address, err = w.path.listen(ctx); err != nil {
			return err
		}
		s.mu.Lock()
		s.workers = append(s.workers, w)
		if w.kind = kind; pool != standbyPool {
			w.boot(kind)
		}
		s.mu.Unlock()
	}
	return nil
}

// run starts the stand-ins and ticks the workers until the context ends.
func (s *site) run(ctx context.Context) error {
	var err error
	if s.cloud, err = serve(ctx, http.HandlerFunc(s.serveMachines)); err != nil {
		return err
	}
	if s.toAdvisor.target, err = serve(ctx, &advisor{site: s}); err != nil {
		return err
	}
	if s.advisor, err = s.toAdvisor.listen(ctx); err != nil {
		return err
	}
	go func() {
		ticker := time.NewTicker(tickMillis * time.Millisecond)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			s.mu.Lock()
			for _, w := range s.workers {
				w.tick()
			}
			s.mu.Unlock()
		}
	}()
	return nil
}

// configure writes the next configuration.
func (s *site) configure(queues ...*queue) {
	s.queues = queues
	s.version += 3
	services, routes := map[string]bool{}, []map[string]any{}
	for _, q := range queues {
		services[q.Service] = true
		if s.spare {
			services[standbyPool] = true
		}
		route := map[string]any{"name": q.Name, "host": "jobs.example", "prefix": q.Prefix, "kind": "unsafe", "timeoutMs": 3000, "targetCompletionMs": 600,
			"priority": q.Priority, "service": q.Service, "maxAttempts": q.MaxAttempts, "stretch": 1.6}
		if q.Advised {
			route["advisor"] = map[string]any{"decideMs": adviceMillis, "perWorkerMs": advicePerWorkerMillis, "validityMs": ticketMillis}
		}
		routes = append(routes, route)
	}
	list := []map[string]any{}
	for _, name := range sortedKeys(services) {
		list = append(list, map[string]any{"name": name, "healthCheckPath": "/health", "maxConnections": 64, "protocol": "h1", "tls": false, "enforcesCapacity": false, "standby": name == standbyPool})
	}
	encoded, _ := json.Marshal(map[string]any{"version": s.version, "routes": routes, "services": list,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}) // of plain values
	s.table.Put("op", "config", encoded)
	s.record.line("operator: configuration %d is acknowledged", s.version)
}

// standbyPool is the pool whose machines are off.
const standbyPool = "zuno11s"

// Times of the platform in milliseconds.
const (
	moveMillis   = 1500
	upkeepMillis = 2000
	leaseMillis  = 3000
)

// serveMachines serves the platform's interface for machines.
func (s *site) serveMachines(out http.ResponseWriter, in *http.Request) {
	out.Header().Set("Content-Type", "application/json")
	s.mu.Lock()
	defer s.mu.Unlock()
	if in.URL.Path == "/machines" {
		list := []map[string]any{}
		for _, w := range s.workers {
			state, id := "up", w.id
			switch {
			case w.wave != 0:
				state, id = "upkeep", ""
			case w.returns != 0:
				state, id = "moving", ""
			case w.pool == standbyPool:
				id = ""
			case !w.up:
				state, id = "down", ""
			}
			list = append(list, map[string]any{"machine": w.machine, "pool": w.pool, "state": state, "zone": "z0", "labels": []string{w.kind, w.rack},
				"capacity": map[string]int{"cpu": w.cpu, "memMb": 32768, "gpus": 0}, "id": id})
		}
		_ = json.NewEncoder(out).Encode(map[string]any{"machines": list, "nextPageToken": nil})
		return
	}
	var o struct {
		Machine string `json:"machine"`
		Pool    string `json:"pool"`
		Wave    int64  `json:"wave"`
	}
	if err := json.NewDecoder(in.Body).Decode(&o); err != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	holder := in.Header.Get("Magnoliaferry-Lease-Holder")
	token, _ := strconv.ParseInt(in.Header.Get("Magnoliaferry-Fencing-Token"), 10, 64) // 0 without one
	status, reason := s.withdraw(holder, token, o.Machine, o.Pool, o.Wave)
	s.record.line("machines: %s token %d orders %s pool %q wave %d: %d %s", holder, token, o.Machine, o.Pool, o.Wave, status, reason)
	out.WriteHeader(status)
	_ = json.NewEncoder(out).Encode(map[string]string{"reason": reason})
}

// withdraw carries out an order for a machine: an upkeep if no pool is named. The site's lock is held.
func (s *site) withdraw(holder string, token int64, machine, pool string, wave int64) (status int, reason string) {
	var w *worker
	for _, other := range s.workers {
		if other.machine == machine {
			w = other
		}
	}
	if w == nil {
		return http.StatusBadRequest, ""
	}
	if token == w.fence && w.holder != "" && holder != w.holder {
		s.record.breach("ONE", "%s and %s order %s with token %d", w.holder, holder, machine, token)
	}
	switch {
	case token < w.fence:
		return http.StatusConflict, "fence"
	case pool != "" && w.pool == pool, pool == "" && w.kept[wave]:
		w.fence, w.holder = token, holder
		return http.StatusOK, ""
	case w.returns != 0, !w.up && w.pool != standbyPool, w.draining:
		return http.StatusConflict, "busy"
	}
	w.fence, w.holder = token, holder
	if w.up {
		if len(w.runs) > 0 {
			s.record.line("machine %s is withdrawn with %d runs", machine, len(w.runs))
		}
		w.crash()
		s.table.Delete("servers", w.id)
	}
	if pool != "" {
		w.pool, w.returns = pool, s.record.now()+moveMillis
		return http.StatusOK, ""
	}
	down := 1
	for _, other := range s.workers {
		if other.wave == wave {
			down++
		}
	}
	if down > s.waveCaps[wave] {
		s.record.breach("LIMIT", "the upkeep of %s begins while %d machines of wave %d are down for theirs, at most %d may be", machine, down-1, wave, s.waveCaps[wave])
	}
	w.wave, w.returns = wave, s.record.now()+upkeepMillis
	if w.kept == nil {
		w.kept = map[int64]bool{}
	}
	w.kept[wave] = true
	return http.StatusOK, ""
}

// silenceAll makes all open connections of the instances to the store, the workers and the advisor go silent.
func (s *site) silenceAll() {
	for _, in := range s.instances {
		s.record.line("%d open connections of %s to the store go silent", in.open.silence(), in.name)
	}
	for _, w := range s.workers {
		s.record.line("%d open connections to worker %s go silent", w.path.silence(), w.id)
	}
	s.record.line("%d open connections to the advisor go silent", s.toAdvisor.silence())
}

// startWave asks for the upkeep of machines.
func (s *site) startWave(wave int64, limit int, machines ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waveCaps[wave] = limit
	encoded, _ := json.Marshal(map[string]any{"wave": wave, "machines": machines, "durationS": 20, "cap": limit}) // of plain values
	s.table.Put("op", fmt.Sprintf("wave/%d", wave), encoded)
	s.record.line("operator: wave %d of %d machines, %d at once", wave, len(machines), limit)
}

// addInstances starts instances, each behind its own path to the store.
func (s *site) addInstances(ctx context.Context, count int) error {
	for n := range count {
		in := &instance{name: fmt.Sprintf("front-z0-%d", n+1), store: &standin.Proxy{}}
		var err error
		if in.store.Target, err = serve(ctx, storeOf(s.table)); err != nil {
			return err
		}
		in.open = &path{}
		if in.open.target, err = in.store.Listen(ctx); err != nil {
			return err
		}
		store, err := in.open.listen(ctx)
		if err != nil {
			return err
		}
		ports, err := freePorts(ctx, 2)
		if err != nil {
			return err
		}
		in.callers, in.ready = ports[0], ports[1]
		settings := map[string]any{"node": in.name, "zone": "z0", "listen": map[string]string{"callers": in.callers, "ready": in.ready},
			"store": store, "machines": s.cloud, "advisor": s.advisor, "metrics": "", "memory-mb": 284, "cpu-share": 0.4, "cpu-speed": 1,
			"lease-limit": holdMaxMillis, "machine-lease": 3000, "machine-orders-per-s": 64, "remote-factor": 2, "max-files": 4100,
			"stop-grace-s": 6, "state-retention-s": 120}
		encoded, _ := json.Marshal(settings) // of plain values
		in.settings = filepath.Join(s.folder, in.name+".json")
		if err := os.WriteFile(in.settings, encoded, 0o600); err != nil {
			return err
		}
		s.instances = append(s.instances, in)
		if err := s.start(in); err != nil {
			return err
		}
	}
	return nil
}

// instanceHost returns a loopback address that only the instances of this play use, so that no other socket takes the port of an instance
// that is down.
func instanceHost() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64|pid>>16&63, pid>>8&255, pid&255)
}

// storeOf serves the table as the platform's store: 4 ms an answer, and 8 ms a transaction.
func storeOf(table *standin.Table) http.Handler {
	rows := &standin.Rows{Table: table}
	return http.HandlerFunc(func(out http.ResponseWriter, in *http.Request) {
		took := 4 * time.Millisecond
		if in.Method == http.MethodPost {
			took *= 2
		}
		time.Sleep(took)
		rows.ServeHTTP(out, in)
	})
}

// freePorts returns free loopback addresses.
func freePorts(ctx context.Context, count int) ([]string, error) {
	var addresses []string
	for range count {
		listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", net.JoinHostPort(instanceHost(), "0"))
		if err != nil {
			return nil, err
		}
		defer listener.Close() // at the end, so that the ports differ
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}

// start starts the process of an instance with the command of the deploy file.
func (s *site) start(in *instance) error {
	log, err := os.OpenFile(filepath.Join(s.folder, in.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	in.process = exec.Command(s.binary, "run")
	in.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + s.folder, "MAGNOLIAFERRY_SETTINGS=" + in.settings}
	in.process.Stdout, in.process.Stderr = log, log
	if err := in.process.Start(); err != nil {
		return err
	}
	s.record.line("instance %s starts", in.name)
	ended := make(chan struct{})
	in.ended = ended
	go func(process *exec.Cmd) {
		err := process.Wait()
		s.record.line("instance %s has ended: %v", in.name, err)
		_ = log.Close()
		close(ended)
	}(in.process)
	return nil
}

// signal sends a signal to the process of an instance.
func (s *site) signal(in *instance, sig syscall.Signal) {
	s.record.line("instance %s gets signal %s", in.name, sig)
	_ = in.process.Process.Signal(sig) // fails if it has ended
}

// stopAll ends all instances.
func (s *site) stopAll() {
	for _, in := range s.instances {
		_ = in.process.Process.Signal(syscall.SIGKILL) // fails if it has ended
		<-in.ended
	}
}

// owner returns the instance that the store names as the owner of a part, or nil.
func (s *site) owner(part string) *instance {
	for _, row := range s.table.Rows("board") {
		if row.Part != part || row.Key != "owner" {
			continue
		}
		for _, in := range s.instances {
			if bytes.Contains(row.Value, []byte(`"node":"`+in.name+`"`)) && !bytes.Contains(row.Value, []byte(`"released":true`)) {
				return in
			}
		}
	}
	return nil
}

// awaitReady waits until all instances are ready and the pool has an owner.
func (s *site) awaitReady(part string, limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := s.owner(part) != nil
		for _, in := range s.instances {
			answer, err := http.Get("http://" + in.ready + "/readiness")
			if err != nil {
				ready = false
				break
			}
			_ = answer.Body.Close()
			ready = ready && answer.StatusCode == http.StatusOK
		}
		if ready {
			return nil
		}
	}
	return fmt.Errorf("the instances were not ready in %s", limit)
}

// call sends a request of a requester and returns the status and the body; 0 stands for no answer.
func (s *site) call(in *instance, method, path string, body []byte) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+in.callers+path, bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	request.Host = "jobs.example"
	request.Header.Set("Magnoliaferry-Request-Deadline", "3000")
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		s.record.line("requester: %s %s at %s: no answer (%v)", method, path, in.name, err)
		return 0, ""
	}
	defer answer.Body.Close()
	content, err := io.ReadAll(answer.Body)
	if err != nil {
		return 0, ""
	}
	s.record.line("requester: %s %s at %s: %d %s", method, path, in.name, answer.StatusCode, strings.TrimSpace(string(content)))
	return answer.StatusCode, string(content)
}

// submit hands a job in, and repeats it at other instances until it is accepted or refused for good.
func (s *site) submit(j *job, first int) bool {
	body, _ := json.Marshal(j) // of plain values
	s.mu.Lock()
	j.done = map[string]bool{}
	s.jobs[j.ID] = j
	s.mu.Unlock()
	for attempt := range 6 {
		status, _ := s.call(s.instances[(first+attempt)%len(s.instances)], http.MethodPost, j.queue.Prefix+j.ID, body)
		if status/100 == 2 {
			s.mu.Lock()
			j.acceptedAt = s.record.now()
			s.mu.Unlock()
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// cancel cancels a job at any instance until that is acknowledged.
func (s *site) cancel(j *job, first int) bool {
	for attempt := range 6 {
		status, _ := s.call(s.instances[(first+attempt)%len(s.instances)], http.MethodDelete, j.queue.Prefix+j.ID, nil)
		if status/100 == 2 || status == http.StatusGone {
			s.mu.Lock()
			j.cancelledAt = s.record.now()
			s.mu.Unlock()
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// state asks for the state of a job; it is empty without an answer 200.
func (s *site) state(j *job, at int) (int, string) {
	status, body := s.call(s.instances[at%len(s.instances)], http.MethodGet, j.queue.Prefix+j.ID, nil)
	var answer struct {
		State string `json:"state"`
	}
	if status != http.StatusOK || json.Unmarshal([]byte(body), &answer) != nil {
		return status, ""
	}
	return status, answer.State
}
