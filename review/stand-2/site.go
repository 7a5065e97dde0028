package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"magnoliaferry/standin"
)

// Sizes of the site: one service and the instances of one user.
const (
	service       = "depot-desk"
	host          = "jobs.example"
	prefix        = "/refunds/"
	instanceCount = 3
	workerCount   = 8
	workerCPU     = 32000 // thousandths of a core
	workerMemory  = 65536 // megabytes
	racks         = 2
	maxAttempts   = 2 // of a task or a gang
	callTimeout   = 3 * time.Second
	readyTimeout  = 15 * time.Second
	graceTime     = 6 * time.Second
)

// site is the simulated platform with the instances of the product that run on it.
type site struct {
	rec       *record
	trouble   bool
	table     *standin.Table
	store     *rowStore
	workers   *workers
	directory string
	instances []*instance
	client    *http.Client
}

// instance is one process of the product.
type instance struct {
	name, callers, ready string
	process              *exec.Cmd
	ended                chan struct{}
}

func serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: callTimeout}
	go func() { _ = server.Serve(listener) }() // serves until the process ends
	return listener.Addr().String(), nil
}

func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// newSite starts the platform and the instances, and waits until these are ready.
func newSite(rec *record, trouble bool) (*site, error) {
	table := standin.NewTable()
	table.FeedRows = feedRows
	s := &site{rec: rec, trouble: trouble, table: table, store: newRowStore(table, rec), client: &http.Client{},
		workers: &workers{table: table, rec: rec, gangs: map[string]int{}, failed: map[int]int{}, saving: map[string]bool{}, changed: make(chan struct{})}}
	configuration, err := json.Marshal(map[string]any{"version": 1, "limits": map[string]any{}, "services": []map[string]any{{"name": service, "enforcesCapacity": false}},
		"routes": []map[string]any{{"name": "r-8pjbvk9", "host": host, "prefix": prefix, "kind": "unsafe", "timeoutMs": 3000, "targetCompletionMs": 600,
			"priority": 0, "service": service, "maxAttempts": maxAttempts, "stretch": 1.6}}})
	if err != nil {
		return nil, err
	}
	table.Put("op", "config", configuration)
	for i := range workerCount {
		w := &worker{id: fmt.Sprintf("i-%017x", 0x7f3a91c2<<8+i), machine: fmt.Sprintf("m-%017x", 0x3f10a<<8+i), service: service,
			rack: fmt.Sprintf("r1-%d", i*racks/workerCount), cpu: workerCPU, memory: workerMemory}
		if w.address, err = serve(w); err != nil {
			return nil, err
		}
		s.workers.add(w)
	}
	go s.workers.run()
	return s, s.startInstances()
}

func (s *site) startInstances() error {
	storeAddress, err := serve(s.store)
	if err != nil {
		return err
	}
	machines, err := serve(http.HandlerFunc(s.serveMachines))
	if err != nil {
		return err
	}
	if s.directory, err = os.MkdirTemp("", "stand-2-"); err != nil {
		return err
	}
	for i := range instanceCount {
		in := &instance{name: fmt.Sprintf("front-austin-a-%d", i+1), ended: make(chan struct{})}
		if in.callers, err = freeAddress(); err != nil {
			return err
		}
		if in.ready, err = freeAddress(); err != nil {
			return err
		}
		if err := in.start(s.directory, storeAddress, machines); err != nil {
			return err
		}
		s.instances = append(s.instances, in)
	}
	for _, in := range s.instances {
		if err := s.awaitReady(in); err != nil {
			return err
		}
	}
	s.rec.add("%d instances are ready", len(s.instances))
	return nil
}

// start starts the process with the command of deploy/system.toml and settings like those of deploy/settings.json.
func (in *instance) start(directory, storeAddress, machines string) error {
	settings := map[string]any{"node": in.name, "zone": "austin-a", "listen": map[string]string{"callers": in.callers, "ready": in.ready},
		"store": storeAddress, "machines": machines, "advisor": "", "metrics": "", "memory-mb": 284, "cpu-share": 0.4, "cpu-speed": 1,
		"lease-limit": maxLease.Milliseconds(), "machine-lease": 3000, "machine-orders-per-s": 64.0, "stop-grace-s": graceTime.Seconds(),
		"state-retention-s": 120}
	encoded, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	path := filepath.Join(directory, in.name+".json")
	if err := os.WriteFile(path, encoded, 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(directory, in.name+".log"))
	if err != nil {
		return err
	}
	in.process = exec.Command("target/magnoliaferry", "run")
	in.process.Env = append(os.Environ(), "MAGNOLIAFERRY_SETTINGS="+path)
	in.process.Stdout, in.process.Stderr = log, log
	if err := in.process.Start(); err != nil {
		return err
	}
	go func() {
		_ = in.process.Wait() // the processes are stopped by a signal
		log.Close()
		close(in.ended)
	}()
	return nil
}

// owner returns the instance that owns the service's part of the store, or nil.
func (s *site) owner() *instance {
	page, err := s.table.Range(context.Background(), "board", service, "owner")
	if err != nil || len(page.Rows) == 0 {
		return nil
	}
	var owner struct {
		Node string `json:"node"`
	}
	if json.Unmarshal(page.Rows[0].Value, &owner) != nil {
		return nil
	}
	for _, in := range s.instances {
		if in.name == owner.Node {
			return in
		}
	}
	return nil
}

// remove ends an instance for good.
func (s *site) remove(in *instance) {
	s.rec.add("%s is removed for good, without SIGTERM", in.name)
	_ = in.process.Process.Kill() // fails only if it has ended
	<-in.ended
	s.instances = slices.DeleteFunc(s.instances, func(other *instance) bool { return other == in })
}

func (s *site) awaitReady(in *instance) error {
	for until := time.Now().Add(readyTimeout); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		response, err := s.client.Get("http://" + in.ready + "/readiness")
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %v", in.name, readyTimeout)
}

// stop ends the processes that the site has started.
func (s *site) stop() {
	for _, in := range s.instances {
		_ = in.process.Process.Signal(syscall.SIGTERM) // fails only if it has ended
	}
	for _, in := range s.instances {
		select {
		case <-in.ended:
		case <-time.After(graceTime):
			_ = in.process.Process.Kill() // as above
			<-in.ended
		}
	}
	if os.Getenv("KEEP") == "" && s.directory != "" {
		_ = os.RemoveAll(s.directory) // a temporary folder
	}
}

// serveMachines serves the list of machines. The site has one pool, so that there is nowhere to move a machine to.
func (s *site) serveMachines(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet {
		w.WriteHeader(http.StatusConflict)
		_, _ = io.WriteString(w, `{"reason":"busy"}`) // fails only if the client has disconnected
		return
	}
	s.workers.mu.Lock()
	list := []map[string]any{}
	for _, m := range s.workers.all {
		if m.gone {
			continue
		}
		list = append(list, map[string]any{"machine": m.machine, "pool": m.service, "state": "up", "zone": "austin-a", "labels": []string{"a", m.rack},
			"capacity": map[string]int{"cpu": m.cpu, "memMb": m.memory}, "id": m.id})
	}
	s.workers.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"machines": list, "nextPageToken": nil}) // as above
}

// taskStep is a step of a job as callers hand it in.
type taskStep struct {
	Count         int  `json:"count"`
	CPU           int  `json:"cpu"`
	Memory        int  `json:"memMb"`
	Estimate      int  `json:"estimatedMs"`
	Checkpointing bool `json:"checkpointing,omitempty"`
	Gang          bool `json:"gang,omitempty"`
	LongRunning   bool `json:"longRunning,omitempty"`
	MayMiss       int  `json:"mayMiss,omitempty"`
}

// submit hands in a job of one step, and returns the status of the answer. The spec says for how long its tasks work, see workOfTask.
func (s *site) submit(in *instance, id, spec string, st taskStep) int {
	return s.submitTimes(in, id, spec, []taskStep{st}, 0, 0)
}

// submitTimes hands in a job whose steps run the given number of times, from now on; 0 stands for a job without times.
func (s *site) submitTimes(in *instance, id, spec string, steps []taskStep, times int, interval time.Duration) int {
	s.workers.mu.Lock()
	for i, st := range steps {
		for k := range max(times, 1) {
			name := fmt.Sprintf("%s.%d.%d", id, k, i)
			if st.Gang {
				s.workers.gangs[name] = st.Count
			}
			s.workers.saving[name] = st.Checkpointing
		}
	}
	s.workers.mu.Unlock()
	job := map[string]any{"spec": spec, "steps": steps}
	if times > 0 {
		job["maxRuns"], job["startAtMs"], job["intervalMs"] = times, time.Now().UnixMilli(), interval.Milliseconds()
	}
	status, _ := s.send(in, http.MethodPost, id, job)
	return status
}

// send sends a request of a caller; status 0 means that there was no answer.
func (s *site) send(in *instance, method, id string, body any) (status int, content string) {
	var reader io.Reader
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return 0, ""
		}
		reader = bytes.NewReader(encoded)
	}
	request, err := http.NewRequest(method, "http://"+in.callers+prefix+id, reader)
	if err != nil {
		return 0, ""
	}
	request.Host = host
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Magnoliaferry-Request-Deadline", fmt.Sprint(callTimeout.Milliseconds()))
	sent := time.Now()
	response, err := (&http.Client{Transport: s.client.Transport, Timeout: callTimeout}).Do(request)
	if err != nil {
		s.rec.add("%s %s%s at %s: no answer (%v)", method, prefix, id, in.name, err)
		return 0, ""
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		s.rec.add("%s %s%s at %s: broken answer (%v)", method, prefix, id, in.name, err)
		return 0, ""
	}
	content = strings.TrimSpace(string(answer))
	s.rec.add("%s %s%s at %s: %d %s after %d ms", method, prefix, id, in.name, response.StatusCode, content, time.Since(sent).Milliseconds())
	return response.StatusCode, content
}

// state returns the state of a job, or "" if there was none in the answer.
func (s *site) state(in *instance, id string) string {
	_, content := s.send(in, http.MethodGet, id, nil)
	var answer struct {
		State string `json:"state"`
	}
	if json.Unmarshal([]byte(content), &answer) != nil {
		return ""
	}
	return answer.State
}
