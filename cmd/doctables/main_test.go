package main

import (
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"testing"

	"magnoliaferry/config"
	"magnoliaferry/daemon"
	"magnoliaferry/diag"
	"magnoliaferry/precheck"
	"magnoliaferry/settings"
)

// Guards against result codes and log events that are missing from docs/, or documented and no longer in the code.
func TestTablesMatchTheCode(t *testing.T) {
	for name, want := range tables() {
		got, err := os.ReadFile(filepath.Join("..", "..", name))
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		if string(got) != string(want) {
			t.Errorf("%s differs from the code; run make generate", name)
		}
	}
}

// Guards against a diagnostic that is missing from docs/diagnostics.md, or listed there under another name.
func TestDiagnosticsTable(t *testing.T) {
	page, err := os.ReadFile("../../docs/diagnostics.md")
	if err != nil {
		t.Fatal(err)
	}
	documented := map[diag.Code]string{}
	for _, match := range regexp.MustCompile(`(?m)^\| (\d+) \| ([a-z-]+) \|`).FindAllStringSubmatch(string(page), -1) {
		number, _ := strconv.Atoi(match[1])
		documented[diag.Code(number)] = match[2]
	}
	declared := config.Codes()
	maps.Copy(declared, settings.Codes())
	maps.Copy(declared, daemon.Codes())
	maps.Copy(declared, precheck.Codes())
	if got, want := fmt.Sprint(documented), fmt.Sprint(declared); got != want {
		t.Errorf("diagnostics in docs/diagnostics.md: got %s, want %s", got, want)
	}
}
