package soak

import (
	"testing"

	"magnoliaferry/clock"
	"magnoliaferry/platform"
	"magnoliaferry/standin"
)

// Guards against a soak that misses an answer which is wrong for its key, and against one that records a violation while an instance may
// still be late.
func TestCheckAnswer(t *testing.T) {
	const at, never = 100 * clock.Second, clock.Millis(unreachable)
	for _, test := range []struct {
		name          string
		key           customerKey
		sent          clock.Millis
		readable      clock.Millis
		public        bool
		status        int
		wantViolation bool
	}{
		{"valid", customerKey{key: "k", added: 0, withdrawn: never}, at, 0, false, 200, false},
		{"not added yet, accepted early", customerKey{key: "k", added: never, withdrawn: never}, at, 0, false, 200, false},
		{"unknown, accepted", customerKey{key: "other"}, at, 0, false, 200, true},
		{"no key, accepted", customerKey{}, at, 0, false, 200, true},
		{"unknown, refused", customerKey{key: "other"}, at, 0, false, 401, false},
		{"unknown, no such job", customerKey{key: "other"}, at, 0, false, 410, false},
		{"unknown, public queue", customerKey{key: "other"}, at, 0, true, 200, false},
		{"unknown, refused by the public queue", customerKey{key: "other"}, at, 0, true, 401, true},
		{"withdrawn, at the limit", customerKey{key: "k", withdrawn: at, leaving: true}, at + revocationLimit, 0, false, 200, false},
		{"withdrawn, after the limit", customerKey{key: "k", withdrawn: at, leaving: true}, at + revocationLimit + 1, 0, false, 200, true},
		{"withdrawn, after the limit, cut off", customerKey{key: "k", withdrawn: at, leaving: true}, at + revocationLimit + 1, never, false, 200, true},
		{"withdrawn, unavailable", customerKey{key: "k", withdrawn: at, leaving: true}, at + revocationLimit + 1, 0, false, 503, false},
		{"being withdrawn, refused", customerKey{key: "k", withdrawn: never, leaving: true}, at, 0, false, 401, false},
		{"just added, refused", customerKey{key: "k", added: at, withdrawn: never}, at + configurationTime, 0, false, 401, false},
		{"added, refused later", customerKey{key: "k", added: at, withdrawn: never}, at + configurationTime + 1, 0, false, 401, true},
		{"added, refused while cut off", customerKey{key: "k", added: at, withdrawn: never}, at + configurationTime + 1, never, false, 401, false},
	} {
		p := &operator{}
		if test.key.key == "k" {
			p.keys = []*customerKey{&test.key}
		}
		violation := p.checkAnswer(test.public, test.key.key, test.status, test.sent, test.readable)
		if got := violation != ""; got != test.wantViolation {
			t.Errorf("%s: violation got %q, want one: %t", test.name, violation, test.wantViolation)
		}
	}
}

// Guards against a soak that misses a customer over its cap, because it counts too little of what runs, and against one that counts the
// runs of others or the start itself.
func TestCheckCap(t *testing.T) {
	customerOf := func(job string) string {
		return map[string]string{"a1": "amber", "a2": "amber", "b1": "birch", "c1": uncappedCustomer}[job]
	}
	for _, test := range []struct {
		name          string
		job           string
		cpu           int
		running       map[string]int
		wantViolation bool
	}{
		{"one task above the limit", "a1", 2000, map[string]int{"a1": 6800, "a2": 4000}, false},
		{"more than one task above it", "a1", 2000, map[string]int{"a1": 6801, "a2": 4000}, true},
		{"others run", "a1", 2000, map[string]int{"a1": 4000, "b1": 8000, "c1": 8000, "open": 8000}, false},
		{"no cap", "c1", 2000, map[string]int{"c1": 90000}, false},
		{"no customer", "open", 2000, map[string]int{"open": 90000}, false},
	} {
		violation := checkCap(customerOf, test.job, test.cpu, test.running)
		if got := violation != ""; got != test.wantViolation {
			t.Errorf("%s: violation got %q, want one: %t", test.name, violation, test.wantViolation)
		}
	}
}

// Guards against configurations that differ from what the operator counts as valid or withdrawn, and against a customer without a key.
func TestChangeKeys(t *testing.T) {
	table := standin.NewTable()
	p := newOperator(Options{Log: &testLog{t}, state: &state{}}, table, nil)
	for range 20 {
		p.changeKeys()
		c, err := platform.DecodeConfiguration(table.Rows("op")[0].Value)
		if err != nil {
			t.Fatal(err)
		}
		for _, k := range p.keys {
			customer, got := c.CustomerOfKey(k.key)
			if want := !k.leaving; got != want || got && customer.Name != k.customer {
				t.Errorf("configuration %d: has key %s got %t, want %t", c.Version, k.key, got, want)
			}
			if got, want := k.withdrawn < clock.Millis(unreachable), k.leaving; got != want {
				t.Errorf("configuration %d: key %s has a time of its withdrawal got %t, want %t", c.Version, k.key, got, want)
			}
		}
		for i := range customers {
			if got := len(p.valid(customers[i].Name)); got != keysPerCustomer {
				t.Errorf("valid keys of %s got %d, want %d", customers[i].Name, got, keysPerCustomer)
			}
			if customer, _ := c.Customer(customers[i].Name); customer == nil || customer.Cap.CPU != customers[i].Cap.CPU {
				t.Errorf("customer %s got %+v, want a cap of %d", customers[i].Name, customer, customers[i].Cap.CPU)
			}
		}
	}
	if withdrawn, ok := p.withdrawnKey(p.random); !ok || !withdrawn.leaving {
		t.Errorf("withdrawn key got %+v, want one that was withdrawn", withdrawn)
	}
}

// testLog writes to the log of a test.
type testLog struct{ t *testing.T }

func (l *testLog) Write(line []byte) (int, error) { l.t.Logf("%s", line); return len(line), nil }
