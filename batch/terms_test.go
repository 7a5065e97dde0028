package batch

import "testing"

// Guards against a job that loses the terms or the address of its queue in its stored form, and against a stored job of an earlier version
// that cannot be decoded.
func TestStoredTerms(t *testing.T) {
	terms := Terms{Priority: 2, MaxAttempts: 5, Stretch: 1.5, Objective: 700, Advised: true}
	job := &Job{ID: "0000000000000001", Queue: "q", Address: Address{"h", "/q/"}, Terms: &terms}
	value, err := job.Encode()
	if err != nil {
		t.Fatal(err)
	}
	got, err := DecodeJob(value)
	if err != nil {
		t.Fatal(err)
	}
	if got.Terms == nil || *got.Terms != terms || got.Address != job.Address {
		t.Errorf("decoded job got terms %+v and address %+v, want %+v and %+v", got.Terms, got.Address, terms, job.Address)
	}
	earlier, err := DecodeJob([]byte(`{"id":"0000000000000001","queue":"q","pool":"p","spec":"","steps":[],"accepted":5}`))
	if err != nil || earlier.Terms != nil || earlier.Address != (Address{}) {
		t.Errorf("job of an earlier version got %+v, %v, want neither terms nor an address", earlier, err)
	}
}

// Guards against a queue that is taken for another one after a rename.
func TestQueueOf(t *testing.T) {
	c := &Configuration{Queues: []Queue{{Name: "a", Host: "h", Prefix: "/b/"}, {Name: "b", Host: "h", Prefix: "/a/"}, {Name: "c"}}}
	for _, test := range []struct {
		name    string
		address Address
		want    string
	}{
		{"a", Address{"h", "/a/"}, "b"},
		{"gone", Address{"h", "/b/"}, "a"},
		{"a", Address{"h", "/gone/"}, "a"},
		{"a", Address{}, "a"},
		{"gone", Address{"h", "/gone/"}, ""},
		{"gone", Address{}, ""},
	} {
		got := ""
		if q, ok := c.QueueOf(test.name, test.address); ok {
			got = q.Name
		}
		if got != test.want {
			t.Errorf("queue of %s at %+v got %q, want %q", test.name, test.address, got, test.want)
		}
	}
}
