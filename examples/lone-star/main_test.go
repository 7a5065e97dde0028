package main

import (
	"bytes"
	"os"
	"testing"

	"magnoliaferry/config"
)

// Guards against a committed fleet.json that differs from what the program prints, and against output that varies
// between calls.
func TestPrintedConfiguration(t *testing.T) {
	want, err := os.ReadFile("fleet.json")
	if err != nil {
		t.Fatal(err)
	}
	for range 3 {
		var got bytes.Buffer
		if err := fleet().Print(&got); err != nil {
			t.Fatalf("Print got %v, want nil", err)
		}
		if !bytes.Equal(got.Bytes(), want) {
			t.Errorf("Print got %s, want the bytes of fleet.json, which may have to be written again", got.Bytes())
		}
	}
	if _, faults := config.Decode("fleet.json", want); faults.Len() > 0 {
		t.Errorf("Decode got %v, want no faults", faults)
	}
}

// Guards against sizes that differ from the fleet of the example: 50 workers, 8 to 12 in each pool, and 5 services.
func TestSizes(t *testing.T) {
	c, err := fleet().Configuration()
	if err != nil {
		t.Fatal(err)
	}
	total := 0
	for _, p := range c.Pools() {
		total += p.Instances()
		if got := p.Instances(); got < 8 || got > 12 {
			t.Errorf("pool %s got %d workers, want 8 to 12", p.Name(), got)
		}
	}
	if got, want := total, 50; got != want {
		t.Errorf("workers got %d, want %d", got, want)
	}
	if got, want := len(c.Services()), 5; got != want {
		t.Errorf("services got %d, want %d", got, want)
	}
}
