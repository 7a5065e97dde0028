package overview

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"magnoliaferry/batch"
	"magnoliaferry/grant"
	"magnoliaferry/store"
)

// maxCustomersShown bounds the customers that the text lists one by one.
const maxCustomersShown = 20

// Customer is one customer with a cap.
type Customer struct {
	Name    string                  `json:"name"`
	Cap     batch.Resources         `json:"cap"`     // of the newest configuration; a part of 0 means no limit
	Limit   batch.Resources         `json:"limit"`   // that the owners of pools obey; zero until one of them has stored it
	Running batch.Resources         `json:"running"` // in all pools: stored placements without a stored end
	Pools   map[string]CustomerPool `json:"pools,omitempty"`
}

// CustomerPool is what a customer has in one pool.
type CustomerPool struct {
	Running batch.Resources `json:"running"`
	Granted batch.Resources `json:"granted"`          // what the runs in the pool may use
	Lacking batch.Resources `json:"lacking,omitzero"` // roughly, of tasks that could start now and lack an amount
}

// addCustomers adds the customers with a cap. It reads no further table if there are none.
func (r *Reader) addCustomers(ctx context.Context, b *builder) error {
	byName := map[string]*Customer{}
	if b.configuration == nil {
		return nil
	}
	for _, c := range b.configuration.Customers() {
		if c.Cap != (batch.Resources{}) {
			byName[c.Name] = &Customer{Name: c.Name, Cap: c.Cap, Pools: map[string]CustomerPool{}}
		}
	}
	if len(byName) == 0 {
		return nil
	}
	grants, err := r.rows(ctx, store.GrantsTable)
	if err != nil {
		return err
	}
	for _, row := range grants {
		_, name := store.SplitKey(row.Key)
		stored, err := grant.DecodeRow(row.Value)
		if err != nil {
			b.addUnreadable(row, err)
			continue
		}
		if c := byName[name]; c != nil {
			c.Limit = stored.Limit
			for pool, e := range stored.Pools {
				c.Pools[pool] = CustomerPool{Granted: e.Amount, Lacking: e.Missing}
			}
		}
	}
	runs, err := r.rows(ctx, store.RunsTable)
	if err != nil {
		return err
	}
	byPool := map[string][]store.Row{}
	for _, row := range runs {
		byPool[row.Part] = append(byPool[row.Part], row)
	}
	for pool, rows := range byPool {
		if err := r.addRunning(ctx, b, pool, rows, byName); err != nil {
			return err
		}
	}
	for _, c := range byName {
		b.fleet.Customers = append(b.fleet.Customers, *c)
	}
	slices.SortFunc(b.fleet.Customers, func(x, y Customer) int {
		return cmp.Or(cmp.Compare(y.Running.CPU, x.Running.CPU), cmp.Compare(y.Running.MemoryMB, x.Running.MemoryMB), strings.Compare(x.Name, y.Name))
	})
	return nil
}

// addRunning adds the stored placements of one pool, by job.
func (r *Reader) addRunning(ctx context.Context, b *builder, pool string, runs []store.Row, byName map[string]*Customer) error {
	rows, err := r.rows(ctx, store.JobsTable(pool))
	if err != nil {
		return err
	}
	jobs := map[string]*batch.Job{}
	for _, row := range rows {
		if kind, id := store.SplitKey(row.Key); kind == store.KindJob {
			job, err := batch.DecodeJob(row.Value)
			if err != nil {
				b.addUnreadable(row, err)
				continue
			}
			jobs[id] = job
		}
	}
	for _, row := range runs {
		job := jobs[row.Key]
		if job == nil || byName[job.Customer] == nil {
			continue
		}
		progress, err := batch.DecodeProgress(row.Value)
		if err != nil {
			b.addUnreadable(row, err)
			continue
		}
		c := byName[job.Customer]
		in := c.Pools[pool]
		for i := range progress.Runs {
			if run := &progress.Runs[i]; run.Worker != "" && !run.Done && run.Step < len(job.Steps) {
				in.Running = in.Running.Add(job.Steps[run.Step].Need)
				c.Running = c.Running.Add(job.Steps[run.Step].Need)
			}
		}
		c.Pools[pool] = in
	}
	return nil
}

// writeCustomers writes the customers with a cap that use most, and a line for the others.
func (f *Fleet) writeCustomers(w *tabwriter.Writer) {
	if len(f.Customers) == 0 {
		return
	}
	fmt.Fprintln(w, "CUSTOMER\tCORES\tOF CAP\tMEMORY-MB\tOF CAP\tCORES BY POOL: RUNNING/GRANTED")
	line := func(name string, running, limit batch.Resources, pools string) {
		fmt.Fprintf(w, "%s\t%.1f\t%s\t%d\t%s\t%s\n", name, float64(running.CPU)/1000, orUnlimited(float64(limit.CPU)/1000), running.MemoryMB,
			orUnlimited(float64(limit.MemoryMB)), pools)
	}
	shown := min(len(f.Customers), maxCustomersShown)
	for _, c := range f.Customers[:shown] {
		var pools []string
		for _, name := range slices.Sorted(maps.Keys(c.Pools)) {
			p := c.Pools[name]
			text := fmt.Sprintf("%s %.1f/%.1f", name, float64(p.Running.CPU)/1000, float64(p.Granted.CPU)/1000)
			if p.Lacking != (batch.Resources{}) {
				text += fmt.Sprintf(" lacks %.1f", float64(p.Lacking.CPU)/1000)
			}
			pools = append(pools, text)
		}
		line(c.Name, c.Running, c.Cap, strings.Join(pools, ", "))
	}
	var rest, restCap batch.Resources
	for _, c := range f.Customers[shown:] {
		rest, restCap = rest.Add(c.Running), restCap.Add(c.Cap)
	}
	if others := len(f.Customers) - shown; others > 0 {
		line(fmt.Sprintf("%d others", others), rest, restCap, "")
	}
	w.Flush() // a strings.Builder does not fail
}

func orUnlimited(amount float64) string {
	if amount == 0 {
		return "unlimited"
	}
	return fmt.Sprintf("%.1f", amount)
}
