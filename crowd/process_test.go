package crowd

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
	"strconv"
	"strings"
	"sync"
	"testing"

	"magnoliaferry/batch"
	"magnoliaferry/clock"
	"magnoliaferry/daemon"
	"magnoliaferry/standin"
	"magnoliaferry/store"
)

// The machine of the instance. Bounds of the tests are its memory, and its descriptors less those that are kept for files.
const (
	memoryMB   = 96
	maxFiles   = 500
	filesShare = 200
)

// Names of the site.
const (
	hostName = "jobs.example"
	prefix   = "/north/"
	pool     = "north"
)

const (
	answerDeadline = 30 * clock.Second // for an ordinary request, with its repeats
	callTimeout    = 5 * clock.Second  // of one attempt
	retryInterval  = 100 * clock.Millis(1)
	samplePeriod   = 20 * clock.Millis(1) // of memory and descriptors
)

var binary string

func TestMain(m *testing.M) {
	directory, err := os.MkdirTemp("", "crowd")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(directory, "magnoliaferry")
	build := exec.Command("go", "build", "-o", binary, "../cmd/magnoliaferry")
	build.Stderr = os.Stderr
	code := 1
	if err := build.Run(); err == nil {
		code = m.Run()
	}
	_ = os.RemoveAll(directory)
	os.Exit(code)
}

// process is an instance on a stand-in of the store.
type process struct {
	t       *testing.T
	table   *standin.Table
	command *exec.Cmd
	ended   chan struct{}
	sampled chan struct{} // closed after the last sample
	targets [3]string     // addresses for callers, readiness and metrics
	client  *http.Client  // of ordinary callers; each request has a connection of its own
	stop    func()        // ends the sampling
	mu      sync.Mutex    // guards the fields below
	memory  int64         // highest sum of resident memory and received bytes that were not read, in bytes
	files   int           // highest number of open descriptors
	jobs    []string      // ids of accepted jobs
}

func start(t *testing.T) *process {
	t.Helper()
	p := &process{t: t, table: standin.NewTable(), ended: make(chan struct{}), sampled: make(chan struct{}),
		client: &http.Client{Timeout: callTimeout.Duration(), Transport: &http.Transport{DisableKeepAlives: true}}}
	p.table.Configure(1, []string{pool}, "", []batch.Queue{{Name: "q", Host: hostName, Prefix: prefix, Pool: pool, MaxAttempts: 3}})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	rows := &http.Server{Handler: &standin.Rows{Table: p.table}}
	go func() { _ = rows.Serve(listener) }() // returns when the server is closed
	t.Cleanup(func() { _ = rows.Close() })
	for i := range p.targets {
		free, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		p.targets[i] = free.Addr().String()
		defer free.Close() // at the end, so that all ports are different
	}
	settings := daemon.Settings{Node: "entry-0", Zone: "z0", Store: listener.Addr().String(), Metrics: p.targets[2], MemoryMB: memoryMB,
		MaxFiles: maxFiles, CPUShare: 0.4, CPUSpeed: 1, LeaseLimit: standin.MaxLease, StopGrace: 6, StateRetention: 120}
	settings.Listen.Callers, settings.Listen.Ready = p.targets[0], p.targets[1]
	encoded, err := json.Marshal(settings)
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(file, encoded, 0o600); err != nil {
		t.Fatal(err)
	}
	p.command = exec.Command(binary, "run", "--settings", file)
	p.command.Env = append(os.Environ(), "GOMAXPROCS=1") // the processors that an instance sees on its machine
	return p
}

// run starts the process, once the ports that start reserved are free, and waits until it is ready.
func (p *process) run() {
	if err := p.command.Start(); err != nil {
		p.t.Fatal(err)
	}
	go func() {
		_ = p.command.Wait() // checkAlive reports an end
		close(p.ended)
	}()
	p.t.Cleanup(func() {
		p.stop()
		<-p.sampled
		_ = p.command.Process.Kill() // fails only if it has ended
		<-p.ended
	})
	ctx, cancel := context.WithCancel(context.Background())
	p.stop = cancel
	go p.sample(ctx)
	p.checkReady()
}

// sample records the highest use of memory and descriptors until the context ends.
func (p *process) sample(ctx context.Context) {
	defer close(p.sampled)
	for clock.System().Sleep(ctx, samplePeriod) == nil {
		memory, files := p.resident("VmRSS:")+p.unread(), 0
		if entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.command.Process.Pid)); err == nil {
			files = len(entries)
		}
		p.mu.Lock()
		p.memory, p.files = max(p.memory, memory), max(p.files, files)
		p.mu.Unlock()
	}
}

// resident returns an amount of the process's memory from /proc in bytes; 0 if the process has ended.
func (p *process) resident(field string) int64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(status), field)
	var kilobytes int64
	_, _ = fmt.Sscan(rest, &kilobytes) // stays 0 if the process has ended
	return kilobytes << 10
}

// unread returns the bytes that the process's connections have received and the process has not read.
func (p *process) unread() int64 {
	const listening = "0A"
	content, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	var sum int64
	for line := range strings.Lines(string(content)) {
		fields := strings.Fields(line)
		if len(fields) < 5 || fields[3] == listening {
			continue
		}
		for _, target := range p.targets {
			_, port, _ := net.SplitHostPort(target)
			number, _ := strconv.Atoi(port)
			if strings.HasSuffix(fields[1], fmt.Sprintf(":%04X", number)) {
				_, queued, _ := strings.Cut(fields[4], ":")
				n, _ := strconv.ParseInt(queued, 16, 64) // the header line has no number
				sum += n
			}
		}
	}
	return sum
}

// repeat makes attempts until one is answered with status 200.
func (p *process) repeat(name string, attempt func() (int, error)) {
	p.t.Helper()
	c := clock.System()
	for until := c.Now() + answerDeadline; ; {
		status, err := attempt()
		if status == http.StatusOK {
			return
		}
		p.checkAlive()
		if c.Now() > until {
			p.t.Fatalf("%s got status %d, error %v, want 200", name, status, err)
		}
		_ = c.Sleep(context.Background(), retryInterval) // a background context is never cancelled
	}
}

func (p *process) checkAlive() {
	p.t.Helper()
	select {
	case <-p.ended:
		p.t.Fatalf("the process has ended: %v", p.command.ProcessState)
	default:
	}
}

func (p *process) checkReady() {
	p.t.Helper()
	p.repeat("the ready path", func() (int, error) {
		response, err := p.client.Get("http://" + p.targets[1] + "/readiness")
		if err != nil {
			return 0, err
		}
		return response.StatusCode, response.Body.Close()
	})
}

// submit submits an ordinary job until it is accepted.
func (p *process) submit() {
	p.t.Helper()
	id := fmt.Sprintf("%016x", len(p.jobs)+1)
	body := standin.JobBody(standin.Work{Length: 100, CPU: 500}, batch.Step{Count: 1, Need: batch.Resources{MemoryMB: 100}})
	p.repeat("an ordinary job", func() (int, error) {
		request, err := http.NewRequest(http.MethodPost, "http://"+p.targets[0]+prefix+id, bytes.NewReader(body))
		if err != nil {
			return 0, err
		}
		request.Host = hostName
		response, err := p.client.Do(request)
		if err != nil {
			return 0, err
		}
		_, _ = io.Copy(io.Discard, response.Body) // the status is enough
		return response.StatusCode, response.Body.Close()
	})
	p.jobs = append(p.jobs, id)
}

// check checks the bounds, and that each accepted job is in the store.
func (p *process) check() {
	p.t.Helper()
	p.checkAlive()
	peak := p.resident("VmHWM:")
	p.stop()
	<-p.sampled
	peak = max(peak, p.memory)
	if got, want := peak>>20, int64(memoryMB); got >= want {
		p.t.Errorf("memory got %d MB, want under %d", got, want)
	}
	if got, want := p.files, maxFiles-filesShare; got >= want {
		p.t.Errorf("open descriptors got %d, want under %d", got, want)
	}
	p.t.Logf("%d MB of memory, %d descriptors", peak>>20, p.files)
	stored := map[string]bool{}
	for _, row := range p.table.Rows(store.JobsTable(pool)) {
		if kind, id := store.SplitKey(row.Key); kind == store.KindJob {
			stored[id] = true
		}
	}
	for _, id := range p.jobs {
		if !stored[id] {
			p.t.Errorf("job %s was accepted and is not in the store", id)
		}
	}
}
