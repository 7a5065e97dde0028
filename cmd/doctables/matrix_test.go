package main

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

var (
	// matrixSteps names the sections of docs/fault-matrix.md; the last three are not steps.
	matrixSteps = []string{"submit", "spread", "request", "claim", "dispatch", "answer", "drain", "reboot", "return",
		"move", "place", "start", "cancel", "lease-renewal", "start-up", "shutdown", "pairs", "promises on the platform",
		"faults of large deployments"}
	matrixFaults = []string{"failures in waves", "racing processes", "wrong declarations", "jobs that never run",
		"wave of cancellations", "workers that fail everything", "flood of the least urgent work",
		"flood of the most urgent work", "store down", "store slow", "store answer lost",
		"lease lapsed while its holder is paused", "racing operators", "silent connection",
		"zone cut off from other zones", "zone cut off from the platform", "entry instance replaced"}
)

// platformPromises names the rules of the users' platform, in the order of the page that lists them. docs/fault-matrix.md
// has a row for each.
var platformPromises = []string{"LOST", "CONFIG", "RECOVER", "LIMIT", "TWICE", "ORDER", "ROUTE", "BUDGET", "GANG", "UNASKED", "REFUSED",
	"HARM", "AVAIL", "MIXED", "ONE", "DRAIN", "acknowledgements"}

// platformFaults names the faults that came with the larger deployments on the users' platform.
var platformFaults = []string{"orders without an answer are carried out late", "workers are cut off and run on",
	"an address goes to another service", "a machine is removed and another comes at a new address", "the store turns some instances away",
	"power is lost right after a configuration change", "the store forgets its history", "many processes are killed at once",
	"the settings file changes", "an odd entry among those of the workers", "a surge beyond what a pool can run",
	"an instance is cut off, frozen or restarted while a key is withdrawn", "an owner is paused, killed or replaced while a customer's cap is divided",
	"a customer sends many times its usual", "a task is slow", "a rack is full, or its runs take longer than predicted", "the store is slow in a surge",
	"a weak instance owns a pool in a surge", "clients outside the limits"}

// testNames returns the test functions of the module as package.TestName, each with all string literals of its file, among
// which are the names of its subtests.
func testNames(t *testing.T) map[string][]string {
	names := map[string][]string{}
	err := filepath.WalkDir("../..", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		for _, d := range file.Decls {
			f, ok := d.(*ast.FuncDecl)
			if !ok || f.Recv != nil || !strings.HasPrefix(f.Name.Name, "Test") {
				continue
			}
			name := strings.TrimSuffix(file.Name.Name, "_test") + "." + f.Name.Name
			names[name] = []string{}
			ast.Inspect(file, func(node ast.Node) bool { // tables of subtests may be outside the function
				if l, ok := node.(*ast.BasicLit); ok && l.Kind == token.STRING {
					names[name] = append(names[name], strings.ReplaceAll(strings.Trim(l.Value, "`\""), " ", "_"))
				}
				return true
			})
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return names
}

// Guards against a step or fault that docs/fault-matrix.md leaves out, a test in it that does not exist, and a
// cell without a test and without a reason.
func TestFaultMatrix(t *testing.T) {
	page, err := os.ReadFile("../../docs/fault-matrix.md")
	if err != nil {
		t.Fatal(err)
	}
	known := testNames(t)
	cell := regexp.MustCompile("^`([a-z]+\\.Test[A-Za-z0-9]+)(?:/([^`]+))?`$")
	var steps []string
	var tested, impossible, open int
	for _, section := range strings.Split(string(page), "\n## ")[1:] {
		step, table, _ := strings.Cut(section, "\n")
		steps = append(steps, step)
		var faults []string
		for _, line := range strings.Split(table, "\n") {
			columns := strings.Split(line, "|")
			if len(columns) != 5 || strings.HasPrefix(line, "|---") || strings.TrimSpace(columns[2]) == "test" {
				continue
			}
			fault, tests, note := strings.TrimSpace(columns[1]), strings.TrimSpace(columns[2]), strings.TrimSpace(columns[3])
			faults = append(faults, fault)
			switch {
			case note == "":
				t.Errorf("step %s, fault %s: no note", step, fault)
			case tests != "":
				tested++
			case strings.HasPrefix(note, "open:"):
				open++
			default:
				impossible++
			}
			for _, name := range strings.Split(tests, ", ") {
				match := cell.FindStringSubmatch(name)
				if tests == "" {
					continue
				}
				if match == nil {
					t.Errorf("step %s, fault %s: got %q, want `package.TestName`", step, fault, name)
				} else if !exists(known, match[1], match[2]) {
					t.Errorf("step %s, fault %s: test %s does not exist", step, fault, name)
				}
			}
		}
		switch step {
		case "pairs":
			continue
		case "promises on the platform":
			if !slices.Equal(faults, platformPromises) {
				t.Errorf("section %s: got rows %q, want %q", step, faults, platformPromises)
			}
			continue
		}
		if step == "faults of large deployments" {
			if !slices.Equal(faults, platformFaults) {
				t.Errorf("section %s: got rows %q, want %q", step, faults, platformFaults)
			}
			continue
		}
		if !slices.Equal(faults, matrixFaults) {
			t.Errorf("step %s: got faults %q, want %q", step, faults, matrixFaults)
		}
	}
	if !slices.Equal(steps, matrixSteps) {
		t.Errorf("sections: got %q, want %q", steps, matrixSteps)
	}
	t.Logf("%d cells tested, %d impossible, %d open", tested, impossible, open)
}

// exists reports whether the test exists and its file contains the name of each part of the subtest.
func exists(known map[string][]string, test, subtest string) bool {
	names, ok := known[test]
	for _, part := range strings.Split(subtest, "/") {
		ok = ok && (part == "" || slices.Contains(names, part))
	}
	return ok
}
