package operator

import (
	"bytes"
	"errors"
	"os"
	"strings"
	"testing"

	"magnoliaferry/config"
	"magnoliaferry/diag"
)

// Guards against defaults of the library that differ from those of the JSON form; both declare the first configuration in
// docs/operators/configuration.md.
func TestSmallDeclaration(t *testing.T) {
	page, err := os.ReadFile("../docs/operators/configuration.md")
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(page), "```json\n")
	body, _, _ := strings.Cut(rest, "```")
	want, faults := config.Decode("configuration.md", []byte(body))
	if faults.Len() > 0 {
		t.Fatal(faults)
	}
	got, err := Fleet{
		Name: "example", Contact: "ops@example.org", Region: "north", Zones: []string{"a", "b", "c"},
		Worker: Worker{Cores: 16, MemoryMB: 32 * GB},
		Pools: []Pool{{
			Name: "web", Instances: 10, Survive: config.Failures{Workers: 2},
			Services: []Service{{Name: "search"}},
		}},
	}.Configuration()
	if err != nil {
		t.Fatal(err)
	}
	if changes := config.Diff(want, got); len(changes) > 0 {
		t.Errorf("Configuration got the changes %v, want none", changes)
	}
}

// Guards against output for a declaration with faults, which could then be submitted.
func TestFaultyDeclarationPrintsNothing(t *testing.T) {
	var printed bytes.Buffer
	err := Fleet{Name: "example", Region: "north", Zones: []string{"a"}, Pools: []Pool{{Name: "web"}}}.Print(&printed)
	var faults diag.List
	if !errors.As(err, &faults) || printed.Len() > 0 {
		t.Fatalf("Print got %v and %q, want faults and no output", err, printed.String())
	}
	if got, want := faults.All()[0].Path(), "/pools/0/contact"; got != want {
		t.Errorf("first fault got %s, want %s", got, want)
	}
}
