package main

import (
	"os"
	"path/filepath"
	"testing"
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
