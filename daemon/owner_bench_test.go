package daemon

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/exec"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"magnoliaferry/batch"
	"magnoliaferry/clock"
	"magnoliaferry/event"
	"magnoliaferry/platform"
	"magnoliaferry/standin"
	"magnoliaferry/store"
)

// The pool of the benchmark: as large as the largest of the users' pools, with jobs of the size of their quick jobs.
const (
	benchPool       = "p"
	benchWorkers    = 130
	benchWorkerCPU  = 16000
	benchTaskCPU    = 2300
	benchTaskTime   = 800 * clock.Millis(1)
	benchStepTasks  = 8
	benchObjective  = 600 * clock.Millis(1)
	benchJobsEnv    = "MAGNOLIAFERRY_BENCH_JOBS" // jobs a second; set in the process of the stand-ins
	benchTasksAJob  = 2 * benchStepTasks
	benchWarmUp     = 3 * time.Second
	benchMeasured   = 6 * time.Second
	benchStartLimit = 30 * time.Second
)

// benchFigures are what the stand-ins have seen so far.
type benchFigures struct {
	Started    int   `json:"started"`
	StoreBytes int64 `json:"store-bytes"` // bodies of transactions
	StoreCalls int64 `json:"store-calls"`
	OrderBytes int64 `json:"order-bytes"` // bodies of orders and holds, and of their answers
	Orders     int64 `json:"orders"`
}

// countingHandler counts the calls to a handler and the bytes of their bodies in both directions.
type countingHandler struct {
	http.Handler
	calls, bytes *atomic.Int64
}

type countingWriter struct {
	http.ResponseWriter
	bytes *atomic.Int64
}

func (w countingWriter) Write(p []byte) (int, error) {
	w.bytes.Add(int64(len(p)))
	return w.ResponseWriter.Write(p)
}

// ServeHTTP implements http.Handler.
func (h countingHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.calls.Add(1)
	h.bytes.Add(max(r.ContentLength, 0))
	h.Handler.ServeHTTP(countingWriter{w, h.bytes}, r)
}

// TestOwnerBenchStandIns is the process of the stand-ins for BenchmarkOwner: the store, the workers, and callers whose jobs another
// instance has accepted. It writes the address of the store, and then the figures for each line that it reads.
func TestOwnerBenchStandIns(t *testing.T) {
	var jobs int
	if _, err := fmt.Sscan(os.Getenv(benchJobsEnv), &jobs); err != nil {
		return // not started by the benchmark
	}
	table := standin.NewTable()
	table.FeedRows = 500
	table.Configure(1, []string{benchPool}, "spare", []batch.Queue{{Name: "q", Host: "h", Prefix: "/q/", Pool: benchPool, MaxAttempts: 3,
		Stretch: 1.6, Objective: benchObjective}})
	fleet := standin.NewFleet(table, clock.System(), func() int64 { return time.Now().UnixMilli() })
	var storeCalls, storeBytes, orders, orderBytes atomic.Int64
	serve := func(handler http.Handler) string {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() { _ = http.Serve(listener, handler) }()
		return listener.Addr().String()
	}
	for i := range benchWorkers {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		handler := fleet.Add(fmt.Sprintf("m%03d", i), benchPool, fmt.Sprintf("z%d", i%5), fmt.Sprintf("r%d", i/8), listener.Addr().String(),
			batch.Resources{CPU: benchWorkerCPU, MemoryMB: 64 << 10}, 1000)
		go func() { _ = http.Serve(listener, countingHandler{handler, &orders, &orderBytes}) }()
	}
	address := serve(countingHandler{&standin.Rows{Table: table}, &storeCalls, &storeBytes})
	go func() {
		for range time.Tick(standin.FleetTick.Duration()) {
			fleet.Advance()
		}
	}()
	go func() {
		work := standin.Work{Length: benchTaskTime, CPU: benchTaskCPU}
		step := batch.Step{Count: benchStepTasks, Need: batch.Resources{CPU: benchTaskCPU, MemoryMB: 6500}, Estimate: benchTaskTime}
		second := step
		second.After = []int{0}
		number := 0
		started := time.Now()
		for range time.Tick(10 * time.Millisecond) {
			for ; float64(number) < float64(jobs)*time.Since(started).Seconds(); number++ {
				job := &batch.Job{ID: fmt.Sprintf("%016x", number*7919), Queue: "q", Pool: benchPool, Spec: work.Spec(),
					Steps: []batch.Step{step, second}, Accepted: clock.Millis(time.Now().UnixMilli())}
				value, err := job.Encode()
				if err != nil {
					panic(err)
				}
				part := store.Layout{}.IntakePart(job.ID)
				_, _ = table.Commit(context.Background(), store.Transaction{Puts: []store.Row{store.EncodeState(part, job.ID, "q", benchPool, batch.Pending),
					{Table: store.JobsTable(benchPool), Part: part, Key: store.Key(store.KindJob, job.ID), Value: value}}})
			}
		}
	}()
	fmt.Println(address)
	lines := bufio.NewScanner(os.Stdin)
	for lines.Scan() {
		encoded, err := json.Marshal(benchFigures{fleet.Started(), storeBytes.Load(), storeCalls.Load(), orderBytes.Load(), orders.Load()})
		if err != nil {
			t.Fatal(err)
		}
		fmt.Println(string(encoded))
	}
}

// BenchmarkOwner measures what one start costs the owner of a pool: processor time, allocated bytes, and calls and bytes on the wire. The
// store, the workers and the callers run in another process. The second load is twice what the pool can run.
func BenchmarkOwner(b *testing.B) {
	for _, jobs := range []int{60, 140} {
		b.Run(fmt.Sprintf("jobs-%d", jobs), func(b *testing.B) { benchOwner(b, jobs) })
	}
}

func benchOwner(b *testing.B, jobs int) {
	peer := exec.Command(os.Args[0], "-test.run=^TestOwnerBenchStandIns$")
	peer.Env = append(os.Environ(), fmt.Sprintf("%s=%d", benchJobsEnv, jobs))
	in, err := peer.StdinPipe()
	if err != nil {
		b.Fatal(err)
	}
	out, err := peer.StdoutPipe()
	if err != nil {
		b.Fatal(err)
	}
	if err := peer.Start(); err != nil {
		b.Fatal(err)
	}
	defer func() {
		_ = in.Close() // ends the process
		_, _ = io.Copy(io.Discard, out)
		_ = peer.Wait()
	}()
	lines := bufio.NewScanner(out)
	if !lines.Scan() {
		b.Fatal("the stand-ins did not start")
	}
	figures := func() (f benchFigures) {
		fmt.Fprintln(in)
		if !lines.Scan() {
			b.Fatal("the stand-ins have ended")
		}
		if err := json.Unmarshal(lines.Bytes(), &f); err != nil {
			b.Fatal(err)
		}
		return f
	}
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1)) // as on an instance
	sink := event.NewSink(io.Discard)
	defer sink.Close()
	d := &Daemon{Table: platform.NewTable(lines.Text()), Workers: platform.NewWorkers(), Logger: slog.New(slog.NewJSONHandler(sink, nil))}
	d.Settings.Node, d.Settings.Zone = "entry-1", "z0"
	d.Settings.LeaseLimit, d.Settings.StopGrace, d.Settings.StateRetention = 6000, 4, 120
	d.Settings.Listen.Callers, d.Settings.Listen.Ready = "127.0.0.1:0", "127.0.0.1:0"
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- d.Run(ctx) }()
	defer func() {
		cancel()
		<-ended
	}()
	for started := time.Now(); figures().Started == 0; time.Sleep(50 * time.Millisecond) {
		if time.Since(started) > benchStartLimit {
			b.Fatal("no task has started")
		}
	}
	time.Sleep(benchWarmUp)
	b.ResetTimer()
	before, beforeCPU, beforeMemory := figures(), processorTime(b), allocated()
	for range b.N {
		time.Sleep(benchMeasured)
	}
	after, cpu, memory := figures(), processorTime(b)-beforeCPU, allocated()-beforeMemory
	b.StopTimer()
	starts := float64(max(after.Started-before.Started, 1))
	b.ReportMetric(starts/(float64(b.N)*benchMeasured.Seconds()), "starts/s")
	b.ReportMetric(float64(cpu.Microseconds())/starts, "cpu-us/start")
	b.ReportMetric(100*cpu.Seconds()/(float64(b.N)*benchMeasured.Seconds()), "core-%")
	b.ReportMetric(float64(memory)/starts, "alloc-B/start")
	b.ReportMetric(float64(after.StoreBytes-before.StoreBytes)/starts, "store-B/start")
	b.ReportMetric(float64(after.StoreCalls-before.StoreCalls)/starts, "store-calls/start")
	b.ReportMetric(float64(after.OrderBytes-before.OrderBytes)/starts, "order-B/start")
	b.ReportMetric(float64(after.Orders-before.Orders)/starts, "orders/start")
}

// processorTime returns the processor time that this process has used.
func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func allocated() uint64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.TotalAlloc
}
