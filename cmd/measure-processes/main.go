// Command measure-processes runs entry instances as separate processes on loopback, with the stand-in platform in this
// process, and measures what their control work costs at several fleet sizes: processor time, memory, network bytes and
// accesses to the table.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/alecthomas/kingpin/v2"
	"github.com/google/uuid"

	"magnoliaferry/clock"
	"magnoliaferry/config"
	"magnoliaferry/memory"
	"magnoliaferry/operator"
	"magnoliaferry/provider"
	"magnoliaferry/standin"
)

// The size of the configuration that every run uses, and the rate at which it changes.
const (
	targetPools   = 31
	targetTeams   = 290
	changesPerDay = 27_000
)

// options are the sizes and durations of one run.
type options struct {
	binary    string
	directory string
	entries   int
	zones     int
	workers   int
	settle    clock.Millis
	window    clock.Millis
}

// figures are the results of one run. The fields with the ending Max are the largest values over all processes; the
// others beside them are means over all processes but the first.
type figures struct {
	cpu, cpuMax       float64      // percent of a core
	memory, memoryMax float64      // MB
	bytes, bytesMax   float64      // received and sent, per second
	reads, writes     float64      // rows read and transactions of the table, per second, all processes together
	inForce           clock.Millis // from the submission of the last change until every process applies it
	changes           int          // of the configuration during the window
}

func main() {
	app := kingpin.New("measure-processes", "Measures the control work of real entry instances.")
	entries := app.Flag("entries", "Numbers of entry instances.").Default("3", "9", "27").Ints()
	workers := app.Flag("workers", "Numbers of workers; the largest number of entry instances is used for all but the first.").
		Default("62", "496", "1612").Ints()
	settle := app.Flag("settle-s", "Seconds before measuring.").Default("25").Int64()
	window := app.Flag("window-s", "Seconds of measuring.").Default("30").Int64()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	if err := run(*entries, *workers, clock.Millis(*settle)*clock.Second, clock.Millis(*window)*clock.Second); err != nil {
		fmt.Fprintln(os.Stderr, "measure-processes:", err)
		os.Exit(1)
	}
}

func run(entries, workers []int, settle, window clock.Millis) error {
	directory, err := os.MkdirTemp("", "measure-processes")
	if err != nil {
		return err
	}
	defer os.RemoveAll(directory)
	binary := filepath.Join(directory, "magnoliaferry")
	if output, err := exec.Command("go", "build", "-o", binary, "./cmd/magnoliaferry").CombinedOutput(); err != nil {
		return fmt.Errorf("build of magnoliaferry: %w: %s", err, output)
	}
	fmt.Printf("# Control work of real processes\n\nCommand: `go run ./cmd/measure-processes %s`\n\n", strings.Join(os.Args[1:], " "))
	fmt.Printf("A configuration of %d pools and %d teams that changes %d times a day, no requests of callers.\n\n", targetPools,
		targetTeams, changesPerDay)
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 1, ' ', 0)
	fmt.Fprint(table, "| entry instances\t| zones\t| workers\t| core %\t| largest\t| MB\t| largest\t| B/s\t| largest\t| rows read/s\t"+
		"| transactions/s\t| changes\t| slowest in force ms\t|\n")
	fmt.Fprintf(table, "|%s\n", strings.Repeat("---:\t|", 13))
	measureOne := func(n, w int) error {
		f, err := measure(options{binary: binary, directory: directory, entries: n, zones: max(1, n/3), workers: w,
			settle: settle, window: window})
		if err != nil {
			return err
		}
		fmt.Fprintf(table, "| %d\t| %d\t| %d\t| %.2f\t| %.2f\t| %.1f\t| %.1f\t| %.0f\t| %.0f\t| %.1f\t| %.2f\t| %d\t| %d\t|\n", n,
			max(1, n/3), w, f.cpu, f.cpuMax, f.memory, f.memoryMax, f.bytes, f.bytesMax, f.reads, f.writes, f.changes, f.inForce)
		return nil
	}
	for _, n := range entries {
		if err := measureOne(n, workers[0]); err != nil {
			return err
		}
	}
	for _, w := range workers[1:] {
		if err := measureOne(entries[len(entries)-1], w); err != nil {
			return err
		}
	}
	return table.Flush()
}

// process is a running entry instance and the address of its operator interface.
type process struct {
	command         *exec.Cmd
	operatorAddress string
}

// measure starts the processes, waits until they have settled, and measures them while the configuration changes.
func measure(o options) (figures, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c := clock.System()
	store := memory.New(c, nil)
	p := &standin.Platform{Address: "127.0.0.1:0", Store: store}
	stopped := make(chan error, 1)
	go func() { stopped <- p.Run(ctx) }()
	address, err := p.Bound(ctx)
	if err != nil {
		return figures{}, err
	}
	for i := range o.workers {
		zone := fmt.Sprintf("z%d", i%o.zones)
		store.SetInstance(provider.NewInstance(provider.InstanceFields{ID: fmt.Sprintf("w%05d", i),
			Address: fmt.Sprintf("127.1.%d.%d:9", i/250, 1+i%250), Zone: zone, Rack: fmt.Sprintf("%s-r%d", zone, i/o.zones/4),
			Role: provider.RoleWorker, State: provider.Live, Cores: 16, MemoryMB: 32768, Slots: 8, Connections: 64}))
	}
	var processes []*process
	defer func() {
		for _, e := range processes {
			_ = e.command.Process.Kill()
			_ = e.command.Wait() // the error states that the process was killed, which is expected
		}
		cancel()
		<-stopped
	}()
	for i := range o.entries {
		e, err := start(o, i, address, store)
		if err != nil {
			return figures{}, err
		}
		processes = append(processes, e)
	}
	client := &operator.Client{Address: "http://" + processes[0].operatorAddress, HTTP: &http.Client{Timeout: clientTimeout}}
	version, err := submitFirst(ctx, c, client, o)
	if err != nil {
		return figures{}, err
	}
	if err := c.Sleep(ctx, o.settle); err != nil {
		return figures{}, err
	}
	return observe(ctx, c, client, o, processes, store, version)
}

const clientTimeout = 10_000_000_000 // 10 s in nanoseconds

// start writes the settings of one entry instance and starts its process. The ports are fixed, because the address for
// peers is listed on the platform before the process starts.
func start(o options, i int, platformAddress string, store *memory.Store) (*process, error) {
	const firstPort = 23000
	port := func(kind int) string { return fmt.Sprintf("127.0.0.1:%d", firstPort+10*i+kind) }
	name, zone := fmt.Sprintf("entry-%03d", i), fmt.Sprintf("z%d", i%o.zones)
	settings, err := json.Marshal(map[string]any{
		"name": name, "zone": zone, "contact": "measurement",
		"callers":   map[string]any{"listen": port(0)},
		"operators": map[string]any{"listen": port(1), "trust-loopback": true},
		"peers":     map[string]any{"listen": port(2)},
		"platform":  map[string]any{"plugin": "http", "address": platformAddress},
		"log-level": "error",
	})
	if err != nil {
		return nil, err
	}
	file := filepath.Join(o.directory, name+".json")
	if err := os.WriteFile(file, settings, 0o600); err != nil {
		return nil, err
	}
	store.SetInstance(provider.NewInstance(provider.InstanceFields{ID: name, Address: port(2), Zone: zone,
		Role: provider.RoleEntry, State: provider.Live}))
	e := &process{command: exec.Command(o.binary, "serve", "--settings", file), operatorAddress: port(1)}
	e.command.Stderr = os.Stderr
	return e, e.command.Start()
}

// fleet returns an encoded configuration of the target size whose pools share the workers. The number change selects the
// team whose limit differs, so that each change gives another configuration.
func fleet(o options, change int) []byte {
	f := operator.Fleet{Name: "target", Contact: "ops@example.org", Region: "r",
		Worker: operator.Worker{Cores: 16, MemoryMB: 32 * operator.GB}}
	for z := range o.zones {
		f.Zones = append(f.Zones, fmt.Sprintf("z%d", z))
	}
	for i := range targetPools {
		share := o.workers / targetPools
		if i < o.workers%targetPools {
			share++
		}
		f.Pools = append(f.Pools, operator.Pool{Name: fmt.Sprintf("pool-%02d", i), Instances: share, Capacity: max(1, share/2),
			MaxUnavailable: share - max(1, share/2), Services: []operator.Service{{Name: fmt.Sprintf("service-%02d", i)}}})
	}
	for i := range targetTeams {
		t := operator.Team{Name: fmt.Sprintf("team-%03d", i), Callers: []string{fmt.Sprintf("caller-%03d", i)},
			MaxInFlight: 100, Cores: 64, MemoryMB: 64 * operator.GB}
		if i == change%targetTeams {
			t.MaxInFlight += 1 + change
		}
		f.Teams = append(f.Teams, t)
	}
	var b strings.Builder
	if err := f.Print(&b); err != nil {
		panic(err) // the configuration is valid for every size that the flags allow
	}
	return []byte(b.String())
}

// submitFirst submits the first version of the configuration, with up to 100 tries 100 ms apart until the first process
// answers.
func submitFirst(ctx context.Context, c *clock.Clock, client *operator.Client, o options) (int64, error) {
	body := fleet(o, 0)
	if _, faults := config.Decode("fleet", body); faults.Len() > 0 {
		return 0, faults
	}
	var err error
	for range 100 {
		var v operator.Version
		if v, err = client.Submit(ctx, "fleet", body, 0, uuid.NewString()); err == nil {
			return v.Number(), nil
		}
		if sleepErr := c.Sleep(ctx, 100); sleepErr != nil {
			return 0, sleepErr
		}
	}
	return 0, err
}

// observe submits changes of the configuration at the target rate during the window. It reads the kernel's counters of
// the processes at the beginning and the end.
func observe(ctx context.Context, c *clock.Clock, client *operator.Client, o options, processes []*process,
	store *memory.Store, version int64) (figures, error) {
	var f figures
	before, err := sampleAll(processes)
	if err != nil {
		return f, err
	}
	reads, writes := store.Counts()
	begin := c.Now()
	for c.Now()-begin < o.window {
		f.changes++
		v, err := client.Submit(ctx, "fleet", fleet(o, f.changes), version, uuid.NewString())
		if err != nil {
			return f, err
		}
		version = v.Number()
		if err := c.Sleep(ctx, clock.Day/changesPerDay); err != nil {
			return f, err
		}
	}
	seconds := float64(c.Now()-begin) / 1000
	after, err := sampleAll(processes)
	if err != nil {
		return f, err
	}
	readsAfter, writesAfter := store.Counts()
	f.reads, f.writes = float64(readsAfter-reads)/seconds, float64(writesAfter-writes)/seconds
	n := float64(len(processes))
	// The first process receives the submissions, so that its values enter the largest values but not the means.
	for i := range processes {
		cpu := 100 * (after[i].cpuSeconds - before[i].cpuSeconds) / seconds
		bytes := (after[i].bytes - before[i].bytes) / seconds
		f.cpuMax, f.bytesMax, f.memoryMax = max(f.cpuMax, cpu), max(f.bytesMax, bytes), max(f.memoryMax, after[i].memory)
		if i > 0 {
			f.cpu, f.bytes, f.memory = f.cpu+cpu/(n-1), f.bytes+bytes/(n-1), f.memory+after[i].memory/(n-1)
		}
	}
	f.inForce, err = measureLastChange(ctx, c, client, o, processes, version, f.changes+1)
	return f, err
}

// measureLastChange submits one more version and returns the time until every process applies it, that is, reports it as
// the version in force. The new version replaces baseVersion.
func measureLastChange(ctx context.Context, c *clock.Clock, client *operator.Client, o options, processes []*process, baseVersion int64,
	change int) (clock.Millis, error) {
	begin := c.Now()
	v, err := client.Submit(ctx, "fleet", fleet(o, change), baseVersion, uuid.NewString())
	if err != nil {
		return 0, err
	}
	for _, e := range processes {
		each := &operator.Client{Address: "http://" + e.operatorAddress, HTTP: client.HTTP}
		for {
			status, err := each.Status(ctx)
			if err == nil && status.Version >= v.Number() {
				break
			}
			if c.Now()-begin > clock.Minute {
				return 0, fmt.Errorf("configuration version %d is not in force at %s within a minute: %v", v.Number(), e.operatorAddress, err)
			}
			if err := c.Sleep(ctx, 5); err != nil {
				return 0, err
			}
		}
	}
	return c.Now() - begin, nil
}

// sample holds the kernel's counters of a process since its start.
type sample struct {
	cpuSeconds float64
	memory     float64 // resident, MB
	bytes      float64 // of read and write calls; after the start these are on sockets only
}

func sampleAll(processes []*process) ([]sample, error) {
	all := make([]sample, len(processes))
	for i, e := range processes {
		s, err := takeSample(e.command.Process.Pid)
		if err != nil {
			return nil, err
		}
		all[i] = s
	}
	return all, nil
}

// ticksPerSecond is the unit of processor times in /proc/<pid>/stat on Linux: clock ticks in a second.
const ticksPerSecond = 100

func takeSample(pid int) (s sample, err error) {
	proc := "/proc/" + strconv.Itoa(pid) + "/"
	stat, err := os.ReadFile(proc + "stat")
	if err != nil {
		return s, err
	}
	// The name in parentheses may hold spaces; the fields after it begin with the state, which is field 3.
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	s.cpuSeconds = (user + system) / ticksPerSecond
	status, err := keyValues(proc + "status")
	if err != nil {
		return s, err
	}
	s.memory = status["VmRSS"] / 1024
	io, err := keyValues(proc + "io")
	s.bytes = io["rchar"] + io["wchar"]
	return s, err
}

// keyValues returns the numbers in a file of lines such as "VmRSS: 1234 kB", by key.
func keyValues(name string) (map[string]float64, error) {
	content, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	values := map[string]float64{}
	for _, line := range strings.Split(string(content), "\n") {
		key, rest, found := strings.Cut(line, ":")
		if parts := strings.Fields(rest); found && len(parts) > 0 {
			if v, err := strconv.ParseFloat(parts[0], 64); err == nil {
				values[key] = v
			}
		}
	}
	return values, nil
}
