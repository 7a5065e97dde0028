package batch

import "testing"

// Guards against a key that opens the jobs of another customer, or that opens any after its customer has lost it.
func TestCustomerOfKey(t *testing.T) {
	c := &Configuration{}
	c.SetCustomers([]Customer{{Name: "a", Keys: []KeyHash{HashKey("a1"), HashKey("a2")}}, {Name: "b", Keys: []KeyHash{HashKey("b1")}}, {Name: "c"}})
	for key, want := range map[string]string{"a1": "a", "a2": "a", "b1": "b", "": "", "a": "", "a1 ": ""} {
		got := ""
		if customer, ok := c.CustomerOfKey(key); ok {
			got = customer.Name
		}
		if got != want {
			t.Errorf("customer of key %q got %q, want %q", key, got, want)
		}
	}
	if _, ok := (&Configuration{}).CustomerOfKey("a1"); ok {
		t.Error("a configuration without customers accepts a key")
	}
}
