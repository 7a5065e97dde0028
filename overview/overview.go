package overview

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/joomcode/errorx"

	"magnoliaferry/batch"
	"magnoliaferry/clock"
	"magnoliaferry/machines"
	"magnoliaferry/platform"
	"magnoliaferry/store"
)

// Errors is the namespace of the errors of this package.
var Errors = errorx.NewNamespace("overview")

// ErrNoJob is the type of errors for a job that is not in the store.
var ErrNoJob = Errors.NewType("no-job")

// Fleet is the stored state of a deployment.
type Fleet struct {
	Configuration int64        `json:"configuration"`  // newest version
	MachinesOwner string       `json:"machines-owner"` // node that owns the machines; empty for none
	Pools         []Pool       `json:"pools"`
	Withdrawals   []Withdrawal `json:"wants"`
	Waves         []Wave       `json:"waves"`
	Customers     []Customer   `json:"customers,omitempty"`  // those with a cap; the one whose runs use most comes first
	Unreadable    []string     `json:"unreadable,omitempty"` // rows that cannot be read, with the reason
	States        []string     `json:"-"`                    // names of the states that jobs are counted by, in order
}

// Pool is one pool of machines.
type Pool struct {
	Name     string         `json:"name"`
	Standby  bool           `json:"standby,omitempty"` // the machines are off until they are moved to another pool
	Owner    string         `json:"owner,omitempty"`   // node that owns the pool and places its tasks; empty if it has released the ownership
	Workers  int            `json:"workers"`           // ready ones
	Draining int            `json:"draining"`
	CPU      int            `json:"cpu"`  // of ready workers, in thousandths of a core
	Jobs     map[string]int `json:"jobs"` // number by state; ended jobs as long as their state is stored
}

// Withdrawal takes a machine out of its pool, for a move to another pool or for maintenance.
type Withdrawal struct {
	Machine string `json:"machine"`
	Op      string `json:"op"`             // a machines.Operation: move, or upkeep for maintenance
	Pool    string `json:"pool,omitempty"` // target of a move
	Wave    int64  `json:"wave,omitempty"` // number of the wave; 0 for a move
	Empty   bool   `json:"empty"`          // the pool's owner has stored that the worker is empty
	Ordered bool   `json:"ordered"`        // the order may have reached the platform
}

// Wave is a request for the maintenance of machines.
type Wave struct {
	Number    int64 `json:"number"`
	Machines  int   `json:"machines"`
	MaxDown   int   `json:"max-down"`  // machines that may be out of service at once
	Begun     int   `json:"begun"`     // machines whose maintenance was ordered
	Completed bool  `json:"completed"` // maintenance has begun on every machine; it may still be in progress
}

// Job is one job with its runs.
type Job struct {
	ID       string     `json:"id"`
	Queue    string     `json:"queue"`
	Customer string     `json:"customer,omitempty"` // empty if the job has none
	Pool     string     `json:"pool"`
	State    string     `json:"state"`
	Job      *batch.Job `json:"job,omitempty"` // nil once the job has ended, because it is no longer stored
	Runs     []Run      `json:"runs,omitempty"`
}

// Run summarizes the runs of a task whose start has been ordered at least once.
type Run struct {
	Task     string `json:"task"`
	Number   int    `json:"run"`  // number of the newest run; grows with each start
	Done     bool   `json:"done"` // the task has succeeded
	Failures int    `json:"failures,omitempty"`
	Worker   string `json:"worker,omitempty"` // worker that may run the newest run
}

// Reader reads the store of a deployment. Exported fields are set before the first call.
type Reader struct {
	Table store.Table
	Clock *clock.Clock
}

func (r *Reader) rows(ctx context.Context, table string) ([]store.Row, error) {
	f := &store.Follower{Store: r.Table, Clock: r.Clock, Table: table}
	rows, _, err := f.Read(ctx)
	return rows, err
}

// Fleet reads everything but single jobs. Errors are those of the store; rows that cannot be read are listed in the result.
func (r *Reader) Fleet(ctx context.Context) (*Fleet, error) {
	all := map[string][]store.Row{}
	for _, table := range []string{platform.TableOperator, platform.TableWorkers, store.StateTable, store.FleetTable} {
		rows, err := r.rows(ctx, table)
		if err != nil {
			return nil, err
		}
		all[table] = rows
	}
	b := &builder{fleet: &Fleet{States: []string{"pending", "running", "completed", "failed", "cancelled"}}, pools: map[string]*Pool{}}
	waves := b.addOperatorRows(all[platform.TableOperator])
	b.addWorkerRows(all[platform.TableWorkers])
	b.jobStates(all[store.StateTable])
	b.addFleetRows(all[store.FleetTable], waves)
	if err := r.addCustomers(ctx, b); err != nil {
		return nil, err
	}
	for _, p := range b.pools {
		b.fleet.Pools = append(b.fleet.Pools, *p)
	}
	slices.SortFunc(b.fleet.Pools, func(x, y Pool) int { return strings.Compare(x.Name, y.Name) })
	return b.fleet, nil
}

// builder assembles a Fleet from stored rows.
type builder struct {
	fleet         *Fleet
	pools         map[string]*Pool
	configuration *batch.Configuration // nil if there is none that can be read
}

func (b *builder) pool(name string) *Pool {
	if b.pools[name] == nil {
		b.pools[name] = &Pool{Name: name, Jobs: map[string]int{}}
	}
	return b.pools[name]
}

// addUnreadable lists a row that cannot be read.
func (b *builder) addUnreadable(row store.Row, err error) {
	b.fleet.Unreadable = append(b.fleet.Unreadable, fmt.Sprintf("%s/%s/%s: %v", row.Table, row.Part, row.Key, err))
}

func (b *builder) addOperatorRows(rows []store.Row) (waves map[int64]batch.Wave) {
	waves = map[int64]batch.Wave{}
	for _, row := range rows {
		if row.Key == platform.KeyConfiguration {
			c, err := platform.DecodeConfiguration(row.Value)
			if err != nil {
				b.addUnreadable(row, err)
				continue
			}
			b.fleet.Configuration, b.configuration = c.Version, c
			for _, p := range c.Pools {
				b.pool(p.Name).Standby = p.Standby
			}
			continue
		}
		wave, ok, err := platform.DecodeWave(row)
		if err != nil {
			b.addUnreadable(row, err)
		} else if ok {
			waves[wave.Number] = wave
		}
	}
	return waves
}

func (b *builder) addWorkerRows(rows []store.Row) {
	for _, row := range rows {
		w, err := platform.DecodeWorker(row.Key, row.Value)
		if err != nil {
			b.addUnreadable(row, err)
			continue
		}
		p := b.pool(w.Pool)
		if w.Draining {
			p.Draining++
			continue
		}
		p.Workers++
		p.CPU += w.Capacity.CPU
	}
}

// jobStates counts jobs by pool and state, and adds the owners of the pools and of the machines.
func (b *builder) jobStates(rows []store.Row) {
	jobStates := store.NewStateCache(clock.System(), nil)
	jobStates.Load(rows)
	counted := map[string]bool{} // a job can have two rows: one of its first state and one of a later state
	for _, row := range rows {
		kind, id := store.SplitKey(row.Key)
		if row.Key != store.OwnerKey {
			if known, ok := jobStates.Find(id); ok && kind == store.KindJob && !known.Tombstone && !counted[id] {
				counted[id] = true
				b.pool(known.Pool).Jobs[known.State.String()]++
			}
			continue
		}
		observed, ok := jobStates.Owner(row.Part)
		switch {
		case !ok:
			b.addUnreadable(row, batch.ErrInvalid.New("names no owner"))
		case observed.Owner.Released: // the part has no owner to show
		case row.Part == store.FleetPart:
			b.fleet.MachinesOwner = observed.Owner.Node
		default:
			b.pool(row.Part).Owner = observed.Owner.Node
		}
	}
}

func (b *builder) addFleetRows(rows []store.Row, waves map[int64]batch.Wave) {
	states := map[int64]machines.WaveState{}
	emptied := map[string]bool{} // whether a cordon confirms that the worker is empty, by id of the withdrawal
	for _, row := range rows {
		switch kind, id := store.SplitKey(row.Key); kind {
		case store.KindCordon:
			cordon, err := machines.DecodeCordon(row.Value)
			if err != nil {
				b.addUnreadable(row, err)
				continue
			}
			emptied[cordon.Withdrawal] = true
		case store.KindWave:
			var state machines.WaveState
			number, err := strconv.ParseInt(id, 10, 64)
			if err == nil {
				err = json.Unmarshal(row.Value, &state)
			}
			if err != nil {
				b.addUnreadable(row, err)
				continue
			}
			states[number] = state
		}
	}
	for _, row := range rows {
		if kind, _ := store.SplitKey(row.Key); kind != store.KindWithdrawal {
			continue
		}
		withdrawal, err := machines.DecodeWithdrawal(row.Value)
		if err != nil {
			b.addUnreadable(row, err)
			continue
		}
		b.fleet.Withdrawals = append(b.fleet.Withdrawals, Withdrawal{Machine: withdrawal.Machine, Op: string(withdrawal.Op), Pool: withdrawal.Pool, Wave: withdrawal.Wave,
			Empty: emptied[withdrawal.ID], Ordered: withdrawal.Ordered})
	}
	for number, wave := range waves {
		state := states[number]
		b.fleet.Waves = append(b.fleet.Waves, Wave{Number: number, Machines: len(wave.Machines), MaxDown: wave.MaxDown,
			Begun: len(state.Begun), Completed: state.Completed})
	}
	slices.SortFunc(b.fleet.Waves, func(x, y Wave) int { return cmp.Compare(x.Number, y.Number) })
}

// Job reads one job. Its errors are ErrNoJob, batch.ErrInvalid for a row that cannot be decoded, and those of the store.
func (r *Reader) Job(ctx context.Context, id string) (*Job, error) {
	rows, err := r.rows(ctx, store.StateTable)
	if err != nil {
		return nil, err
	}
	states := store.NewStateCache(r.Clock, nil)
	states.Load(rows)
	known, ok := states.Find(id)
	if !ok {
		return nil, ErrNoJob.New("no job %q is stored; it was never accepted, or its state is no longer kept", id)
	}
	if known.Tombstone {
		return nil, ErrNoJob.New("no job %q is stored; the id was cancelled before a job with it was stored", id)
	}
	job := &Job{ID: id, Queue: known.Queue, Customer: known.Customer, Pool: known.Pool, State: known.State.String()}
	layout, _ := states.Layout()
	page, err := r.Table.Range(ctx, store.JobsTable(known.Pool), layout.IntakePart(id), store.Key(store.KindJob, id))
	if err != nil {
		return nil, err
	}
	if len(page.Rows) > 0 && page.Rows[0].Key == store.Key(store.KindJob, id) {
		if err := json.Unmarshal(page.Rows[0].Value, &job.Job); err != nil {
			return nil, batch.ErrInvalid.Wrap(err, "row of job %q", id)
		}
	}
	if page, err = r.Table.Range(ctx, store.RunsTable, known.Pool, id); err != nil {
		return nil, err
	}
	if len(page.Rows) > 0 && page.Rows[0].Key == id {
		progress, err := batch.DecodeProgress(page.Rows[0].Value)
		if err != nil {
			return nil, err
		}
		for i := range progress.Runs {
			run := &progress.Runs[i]
			job.Runs = append(job.Runs, Run{Task: run.Key().Name(id), Number: run.Number, Done: run.Done, Failures: run.Failures, Worker: run.Worker})
		}
	}
	return job, nil
}

// Text returns the fleet as tables.
func (f *Fleet) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "configuration version %d\nowner of the machines: %s\n", f.Configuration, orNone(f.MachinesOwner))
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "POOL\tOWNER\tWORKERS\tDRAINING\tCORES\t%s\n", strings.ToUpper(strings.Join(f.States, "\t")))
	for i := range f.Pools {
		p := &f.Pools[i]
		owner := orNone(p.Owner)
		if p.Standby {
			owner = "standby"
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%.1f", p.Name, owner, p.Workers, p.Draining, float64(p.CPU)/1000)
		for _, state := range f.States {
			fmt.Fprintf(w, "\t%d", p.Jobs[state])
		}
		fmt.Fprintln(w)
	}
	w.Flush() // a strings.Builder does not fail
	if len(f.Waves) > 0 {
		fmt.Fprintln(w, "WAVE\tMACHINES\tMAX-DOWN\tBEGUN\tCOMPLETED")
		for _, wave := range f.Waves {
			fmt.Fprintf(w, "%d\t%d\t%d\t%d\t%t\n", wave.Number, wave.Machines, wave.MaxDown, wave.Begun, wave.Completed)
		}
		w.Flush()
	}
	if len(f.Withdrawals) > 0 {
		fmt.Fprintln(w, "WANTED MACHINE\tFOR\tEMPTY\tORDERED")
		for _, withdrawal := range f.Withdrawals {
			purpose := "move to " + withdrawal.Pool
			if withdrawal.Wave != 0 {
				purpose = fmt.Sprintf("upkeep, wave %d", withdrawal.Wave)
			}
			fmt.Fprintf(w, "%s\t%s\t%t\t%t\n", withdrawal.Machine, purpose, withdrawal.Empty, withdrawal.Ordered)
		}
		w.Flush()
	}
	f.writeCustomers(w)
	for _, row := range f.Unreadable {
		fmt.Fprintf(&b, "unreadable: %s\n", row)
	}
	return b.String()
}

// Text returns the job as tables.
func (j *Job) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "job %s: %s, queue %s, pool %s", j.ID, j.State, j.Queue, j.Pool)
	if j.Customer != "" {
		fmt.Fprintf(&b, ", customer %s", j.Customer)
	}
	b.WriteByte('\n')
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	if j.Job != nil {
		fmt.Fprintln(w, "STEP\tTASKS\tCORES\tMEMORY-MB\tESTIMATE-MS\tAFTER\tLASTS")
		for i := range j.Job.Steps {
			s := &j.Job.Steps[i]
			fmt.Fprintf(w, "%d\t%d\t%.1f\t%d\t%d\t%v\t%t\n", i, s.Count, float64(s.Need.CPU)/1000, s.Need.MemoryMB, s.Estimate, s.After, s.LongRunning)
		}
		w.Flush() // a strings.Builder does not fail
	}
	if len(j.Runs) > 0 {
		fmt.Fprintln(w, "TASK\tRUN\tDONE\tFAILURES\tWORKER")
		for _, r := range j.Runs {
			fmt.Fprintf(w, "%s\t%d\t%t\t%d\t%s\n", r.Task, r.Number, r.Done, r.Failures, orNone(r.Worker))
		}
		w.Flush()
	}
	return b.String()
}

func orNone(name string) string {
	if name == "" {
		return "none"
	}
	return name
}
