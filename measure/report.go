package measure

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"text/tabwriter"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"magnoliaferry/kernel"
)

// Scenarios holds the scenarios by name. The init functions of this package register them.
var Scenarios kernel.Registry[Scenario]

// Scenario is a simulated situation, such as the loss of a rack, that is measured for every policy that applies to it.
type Scenario interface {
	// Group names the report that the scenario belongs to, such as "requests" or "fleet".
	Group() string
	// Text describes in one sentence what happens in the scenario.
	Text() string
	// Run returns one row for each policy. A row holds the means over the runs, whose seeds are seed, seed+1 and so on.
	Run(seed uint64, runs int) []Row
}

// Row holds the figures of one policy in one scenario.
type Row struct {
	policy  string
	names   []string
	figures map[string]float64
}

// NewRow returns a row without figures for the named policy.
func NewRow(policy string) Row { return Row{policy: policy, figures: map[string]float64{}} }

// Add adds value to the named figure of the row. Figures keep the order in which they were first added.
func (r *Row) Add(name string, value float64) {
	if _, known := r.figures[name]; !known {
		r.names = append(r.names, name)
	}
	r.figures[name] += value
}

// Scale multiplies every figure, which turns sums over runs into means.
func (r *Row) Scale(factor float64) {
	for name := range r.figures {
		r.figures[name] *= factor
	}
}

// Policy returns the name of the policy.
func (r Row) Policy() string { return r.policy }

// Figure returns the value of the named figure, 0 if the row does not have it.
func (r Row) Figure(name string) float64 { return r.figures[name] }

// Table holds the rows of one scenario.
type Table struct {
	scenario string
	text     string
	rows     []Row
}

// Report holds the tables of one group of scenarios and what is needed to reproduce them: the command, the first seed
// and the number of runs for each row.
type Report struct {
	Group   string
	Command string
	Seed    uint64
	Runs    int

	tables []Table
}

// Run measures every registered scenario of the group whose name contains filter, and adds a table for each.
func (r *Report) Run(filter string) {
	for _, name := range Scenarios.Names() {
		scenario, _ := Scenarios.Lookup(name)
		if scenario.Group() == r.Group && strings.Contains(name, filter) {
			r.tables = append(r.tables, Table{name, scenario.Text(), scenario.Run(r.Seed, r.Runs)})
		}
	}
}

// Len returns the number of tables.
func (r *Report) Len() int { return len(r.tables) }

// WriteTable writes the report as Markdown tables.
func (r *Report) WriteTable(w io.Writer) error {
	fmt.Fprintf(w, "# Measurements: %s\n\nCommand: `%s`, seed %d, %d runs for each row.\n", r.Group, r.Command, r.Seed, r.Runs)
	for _, t := range r.tables {
		fmt.Fprintf(w, "\n## %s\n\n%s\n\n", t.scenario, t.text)
		if len(t.rows) == 0 {
			continue
		}
		aligned := tabwriter.NewWriter(w, 0, 0, 1, ' ', 0)
		names := t.rows[0].names
		fmt.Fprintf(aligned, "| policy\t| %s\t|\n", strings.Join(names, "\t| "))
		fmt.Fprintf(aligned, "|---\t%s|\n", strings.Repeat("|---\t", len(names)))
		for _, row := range t.rows {
			fmt.Fprintf(aligned, "| %s\t", row.policy)
			for _, name := range names {
				fmt.Fprintf(aligned, "| %s\t", strconv.FormatFloat(row.figures[name], 'f', decimals(row.figures[name]), 64))
			}
			fmt.Fprint(aligned, "|\n")
		}
		if err := aligned.Flush(); err != nil {
			return err
		}
	}
	return nil
}

// decimals returns the number of digits to print after the decimal point: none for whole numbers and from 100 up, 4
// below 1, 2 otherwise.
func decimals(v float64) int {
	switch {
	case v == float64(int64(v)):
		return 0
	case v < 1 && v > -1:
		return 4
	case v < 100 && v > -100:
		return 2
	}
	return 0
}

// WriteJSON writes the report as indented JSON.
func (r *Report) WriteJSON(w io.Writer) error {
	type row struct {
		Policy  string             `json:"policy"`
		Figures map[string]float64 `json:"figures"`
	}
	type table struct {
		Scenario string `json:"scenario"`
		Text     string `json:"text"`
		Rows     []row  `json:"rows"`
	}
	tables := make([]table, 0, len(r.tables))
	for _, t := range r.tables {
		rows := make([]row, 0, len(t.rows))
		for _, o := range t.rows {
			rows = append(rows, row{o.policy, o.figures})
		}
		tables = append(tables, table{t.scenario, t.text, rows})
	}
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(struct {
		Group   string  `json:"group"`
		Command string  `json:"command"`
		Seed    uint64  `json:"seed"`
		Runs    int     `json:"runs"`
		Tables  []table `json:"tables"`
	}{r.Group, r.Command, r.Seed, r.Runs, tables})
}

// WriteFiles writes <group>.md, <group>.json and one SVG chart for each of the named figures into a directory.
func (r *Report) WriteFiles(directory string, charts ...string) error {
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return err
	}
	writers := map[string]func(io.Writer) error{".md": r.WriteTable, ".json": r.WriteJSON}
	for ending, write := range writers {
		f, err := os.Create(filepath.Join(directory, r.Group+ending))
		if err != nil {
			return err
		}
		if err := write(f); err != nil {
			return err
		}
		if err := f.Close(); err != nil {
			return err
		}
	}
	for _, figure := range charts {
		if err := r.writeChart(directory, figure); err != nil {
			return err
		}
	}
	return nil
}

// writeChart writes an SVG bar chart with one group of bars for each scenario and one bar for each policy in a group. It
// writes nothing if no scenario measures the figure.
func (r *Report) writeChart(directory, figure string) error {
	chart := plot.New()
	chart.Title.Text = r.Group + ": " + figure
	chart.Y.Label.Text = figure
	chart.Legend.Top = true
	scenarios, policies := r.charted(figure)
	if len(scenarios) == 0 {
		return nil
	}
	const barWidth = 6 // points
	for i, policy := range policies {
		bars, err := plotter.NewBarChart(r.values(figure, policy, scenarios), vg.Points(barWidth))
		if err != nil {
			return err
		}
		bars.Color = plotutil.Color(i)
		bars.LineStyle.Width = 0
		bars.Offset = vg.Points(barWidth * (float64(i) - float64(len(policies)-1)/2))
		chart.Add(bars)
		chart.Legend.Add(policy, bars)
	}
	chart.NominalX(scenarios...)
	width := vg.Length(len(scenarios)*(len(policies)+2)*barWidth) + 4*vg.Inch
	name := r.Group + "-" + strings.NewReplacer(" %", "-percent", " ", "-").Replace(figure) + ".svg"
	return chart.Save(width, 4*vg.Inch, filepath.Join(directory, name))
}

// charted returns the scenarios that measure the figure, and the policies for which they measure it in alphabetical
// order.
func (r *Report) charted(figure string) (scenarios, policies []string) {
	seen := map[string]bool{}
	for _, t := range r.tables {
		measured := false
		for _, row := range t.rows {
			if _, ok := row.figures[figure]; !ok {
				continue
			}
			measured = true
			if !seen[row.policy] {
				seen[row.policy] = true
				policies = append(policies, row.policy)
			}
		}
		if measured {
			scenarios = append(scenarios, t.scenario)
		}
	}
	sort.Strings(policies)
	return scenarios, policies
}

// values returns the figure of a policy for each scenario, or 0 where the policy was not measured.
func (r *Report) values(figure, policy string, scenarios []string) plotter.Values {
	values := make(plotter.Values, len(scenarios))
	for i, name := range scenarios {
		for _, t := range r.tables {
			for _, row := range t.rows {
				if t.scenario == name && row.policy == policy {
					values[i] = row.figures[figure]
				}
			}
		}
	}
	return values
}

// charts lists the figures that are drawn as SVG, by group.
var charts = map[string][]string{
	"requests": {"answered whole %", "p99 ms", "other work kept %"},
	"fleet":    {"roll-out s", "buffer workers", "moves"},
}

// Groups returns the names of all reports in alphabetical order.
func Groups() []string {
	seen := map[string]bool{}
	var groups []string
	for _, name := range Scenarios.Names() {
		scenario, _ := Scenarios.Lookup(name)
		if !seen[scenario.Group()] {
			seen[scenario.Group()] = true
			groups = append(groups, scenario.Group())
		}
	}
	sort.Strings(groups)
	return groups
}

// Charts returns the figures of a group that are drawn as SVG.
func Charts(group string) []string { return charts[group] }
