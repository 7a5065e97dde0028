package precheck

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"magnoliaferry/batch"
	"magnoliaferry/diag"
)

// sound returns a draft without faults and warnings.
func sound() *Draft {
	return &Draft{File: "f", Version: 7, MaxBody: 1000,
		Queues: []Queue{{Queue: batch.Queue{Name: "q", Host: "h", Prefix: "/q/", Pool: "p", MaxAttempts: 2, Stretch: 2, Objective: 500}, Timeout: 600},
			{Queue: batch.Queue{Name: "r", Host: "h", Prefix: "/q/r/", Pool: "p", MaxAttempts: 1, Public: true}}},
		Customers: []Customer{{Name: "a", Keys: []batch.KeyHash{batch.HashKey("secret-1"), batch.HashKey("secret-2")}, Weight: 1,
			Cap: batch.Resources{CPU: 4000, MemoryMB: 4000}}, {Name: "b", Keys: []batch.KeyHash{batch.HashKey("secret-3")}, Weight: 2}},
		Pools:  []batch.Pool{{Name: "p"}, {Name: "s", Standby: true}},
		Places: map[Ref]Place{{SectionFile, 0, FieldVersion, 0}: {1, 12, "/version"}}}
}

func soundInstance() *Instance {
	return &Instance{File: "i", RevocationLimit: 5000, MinRevocationLimit: 1000, LeaseLimit: 10000, MinLeaseLimit: 4000, HasAdvisor: true, HasMachines: true}
}

func codes(list diag.List) []diag.Code {
	result := []diag.Code{}
	for _, d := range list.All() {
		result = append(result, d.Code())
	}
	return result
}

// Guards against an entry without effect or a contradiction that is sent unnoticed, against a sound configuration that is reported, and
// against a key in a report.
func TestCheck(t *testing.T) {
	none := []diag.Code{}
	for _, test := range []struct {
		name     string
		change   func(d *Draft, i *Instance)
		faults   []diag.Code
		warnings []diag.Code
	}{
		{"sound", func(*Draft, *Instance) {}, none, none},
		{"no version", func(d *Draft, _ *Instance) { d.Places = nil }, []diag.Code{CodeNoVersion}, none},
		{"queue behind another", func(d *Draft, _ *Instance) { d.Queues[1].Prefix = "/q/" }, []diag.Code{CodeNeverMatches}, none},
		{"same prefix at another host", func(d *Draft, _ *Instance) { d.Queues[1].Prefix, d.Queues[1].Host = "/q/", "g" }, none, none},
		{"no host", func(d *Draft, _ *Instance) { d.Queues[1].Host = "" }, []diag.Code{CodeNeverMatches}, none},
		{"prefix is no path", func(d *Draft, _ *Instance) { d.Queues[1].Prefix = "q/" }, []diag.Code{CodeNeverMatches}, none},
		{"prefix with a query", func(d *Draft, _ *Instance) { d.Queues[1].Prefix = "/q?/" }, []diag.Code{CodeNeverMatches}, none},
		{"queue name twice", func(d *Draft, _ *Instance) { d.Queues[1].Name = "q" }, []diag.Code{CodeDuplicateName}, none},
		{"pool name twice", func(d *Draft, _ *Instance) { d.Pools[1].Name = "p" }, []diag.Code{CodeDuplicateName}, none},
		{"customer name twice", func(d *Draft, _ *Instance) { d.Customers[1].Name = "a" }, []diag.Code{CodeDuplicateName}, none},
		{"queue without a name", func(d *Draft, _ *Instance) { d.Queues[1].Name = "" }, []diag.Code{CodeNoName}, none},
		{"customer without a name", func(d *Draft, _ *Instance) { d.Customers[1].Name = "" }, []diag.Code{CodeNoName, CodeIgnoredKey}, []diag.Code{CodeNoKeys}},
		{"unknown pool", func(d *Draft, _ *Instance) { d.Queues[1].Pool = "x" }, []diag.Code{CodeUnknownPool}, none},
		{"pool without queues", func(d *Draft, _ *Instance) { d.Pools[1].Standby = false }, none, []diag.Code{CodePoolWithoutQueue}},
		{"key of two", func(d *Draft, _ *Instance) { d.Customers[1].Keys[0] = d.Customers[0].Keys[1] }, []diag.Code{CodeKeyOfTwo}, none},
		{"key twice", func(d *Draft, _ *Instance) { d.Customers[0].Keys[0] = d.Customers[0].Keys[1] }, none, []diag.Code{CodeSameKeyAgain}},
		{"empty key", func(d *Draft, _ *Instance) { d.Customers[0].Keys[0] = batch.KeyHash{} }, []diag.Code{CodeIgnoredKey}, none},
		{"no keys", func(d *Draft, _ *Instance) { d.Customers[0].Keys = nil }, none, []diag.Code{CodeNoKeys}},
		{"no keys at all", func(d *Draft, _ *Instance) { d.Customers[0].Keys, d.Customers[1].Keys = nil, nil }, []diag.Code{CodeNoCallerHasKey},
			[]diag.Code{CodeNoKeys, CodeNoKeys}},
		{"keys needed without customers", func(d *Draft, _ *Instance) { d.Customers = nil }, []diag.Code{CodeNoCallerHasKey}, none},
		{"no customers", func(d *Draft, i *Instance) { d.Customers, i.RevocationLimit = nil, 0 }, none, none},
		{"negative priority", func(d *Draft, _ *Instance) { d.Queues[0].Priority = -1 }, []diag.Code{CodeNegative}, none},
		{"negative attempts", func(d *Draft, _ *Instance) { d.Queues[0].MaxAttempts = -1 }, []diag.Code{CodeNegative}, none},
		{"negative stretch", func(d *Draft, _ *Instance) { d.Queues[0].Stretch = -0.5 }, []diag.Code{CodeNegative}, none},
		{"negative objective", func(d *Draft, _ *Instance) { d.Queues[0].Objective = -1 }, []diag.Code{CodeNegative}, none},
		{"negative time-out", func(d *Draft, _ *Instance) { d.Queues[0].Timeout = -1 }, []diag.Code{CodeNegative}, none},
		{"negative weight", func(d *Draft, _ *Instance) { d.Customers[0].Weight = -1 }, []diag.Code{CodeNegative}, none},
		{"negative cap of cores", func(d *Draft, _ *Instance) { d.Customers[0].Cap.CPU = -1 }, []diag.Code{CodeNegative}, none},
		{"negative cap of memory", func(d *Draft, _ *Instance) { d.Customers[0].Cap.MemoryMB = -1 }, []diag.Code{CodeNegative}, none},
		{"negative cap of accelerators", func(d *Draft, _ *Instance) { d.Customers[0].Cap.GPUs = -1 }, []diag.Code{CodeNegative}, none},
		{"attempts 0", func(d *Draft, _ *Instance) {
			d.Queues[0].MaxAttempts, d.Places[Ref{SectionQueues, 0, FieldMaxAttempts, 0}] = 0, Place{2, 1, "/x"}
		}, none, []diag.Code{CodeCountsAsOne}},
		{"attempts missing", func(d *Draft, _ *Instance) { d.Queues[0].MaxAttempts = 0 }, none, none},
		{"weight 0", func(d *Draft, _ *Instance) {
			d.Customers[0].Weight, d.Places[Ref{SectionCustomers, 0, FieldWeight, 0}] = 0, Place{2, 1, "/x"}
		}, none, []diag.Code{CodeCountsAsOne}},
		{"smallest usual cap", func(d *Draft, _ *Instance) { d.Customers[0].Cap = batch.Resources{CPU: 1000, MemoryMB: 128} }, none, none},
		{"tiny cap of cores", func(d *Draft, _ *Instance) { d.Customers[0].Cap.CPU = 999 }, none, []diag.Code{CodeTinyCap}},
		{"tiny cap of memory", func(d *Draft, _ *Instance) { d.Customers[0].Cap.MemoryMB = 127 }, none, []diag.Code{CodeTinyCap}},
		{"time-out below the objective", func(d *Draft, _ *Instance) { d.Queues[0].Timeout = 499 }, none, []diag.Code{CodeTimeout}},
		{"bodies at the ceiling", func(d *Draft, _ *Instance) { d.BodyLimit = 1000 }, none, none},
		{"bodies above the ceiling", func(d *Draft, _ *Instance) { d.BodyLimit = 1001 }, none, []diag.Code{CodeBodyLimit}},
		{"advisor missing", func(d *Draft, i *Instance) { d.Queues[0].Advised, i.HasAdvisor = true, false }, []diag.Code{CodeNoAdvisor}, none},
		{"machines missing", func(_ *Draft, i *Instance) { i.HasMachines = false }, none, []diag.Code{CodeStandbyNotUsed}},
		{"revocation limit too short", func(_ *Draft, i *Instance) { i.RevocationLimit = 999 }, none, []diag.Code{CodeShortRevocation}},
		{"lease limit too short", func(_ *Draft, i *Instance) { i.LeaseLimit = 3999 }, none, []diag.Code{CodeShortLease}},
	} {
		d, i := sound(), soundInstance()
		test.change(d, i)
		report := Check(d, i, nil)
		if got := codes(report.Faults()); !reflect.DeepEqual(got, test.faults) {
			t.Errorf("%s: faults got %v, want %v", test.name, report.Faults(), test.faults)
		}
		if got := codes(report.Warnings()); !reflect.DeepEqual(got, test.warnings) {
			t.Errorf("%s: warnings got %v, want %v", test.name, report.Warnings(), test.warnings)
		}
		for _, key := range []string{"secret", fmt.Sprintf("%x", batch.HashKey("secret-1")), fmt.Sprintf("%x", batch.HashKey("secret-2"))} {
			if text := report.Faults().Error() + report.Warnings().Error(); strings.Contains(text, key) {
				t.Errorf("%s: report has a key: %s", test.name, text)
			}
		}
	}
}

// Guards against a diagnostic at another place than the value, or at none when the value is missing.
func TestPlaceOfDiagnostic(t *testing.T) {
	d := sound()
	d.Queues[1].Pool = "x"
	d.Places[Ref{SectionQueues, 1, FieldEntry, 0}] = Place{Line: 4, Column: 3, Path: "/queues/1"}
	if got, want := Check(d, nil, nil).Faults().Error(), "f:4:3: MF1078 /queues/1: "; !strings.HasPrefix(got, want) {
		t.Errorf("fault of a missing value got %s, want %s at its entry", got, want)
	}
	d.Places[Ref{SectionQueues, 1, FieldPool, 0}] = Place{Line: 5, Column: 12, Path: "/queues/1/pool"}
	if got, want := Check(d, nil, nil).Faults().Error(), "f:5:12: MF1078 /queues/1/pool: "; !strings.HasPrefix(got, want) {
		t.Errorf("fault got %s, want %s", got, want)
	}
}

// Guards against a version that instances would ignore, and against a report about the very file that is in force.
func TestVersionNotHigher(t *testing.T) {
	for _, test := range []struct {
		version int64
		digest  byte
		want    []diag.Code
	}{{8, 1, []diag.Code{}}, {7, 1, []diag.Code{CodeVersion}}, {6, 1, []diag.Code{CodeVersion}}, {7, 0, []diag.Code{}}} {
		d := sound()
		d.Version, d.Digest[0] = test.version, test.digest
		if got := codes(Check(d, nil, sound()).Faults()); !reflect.DeepEqual(got, test.want) {
			t.Errorf("version %d, digest %d: faults got %v, want %v", test.version, test.digest, got, test.want)
		}
	}
}

// Guards against a change that is not told, is told with the wrong time of its effect, or contains a key.
func TestCompare(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(d *Draft)
		want   []string
	}{
		{"none", func(*Draft) {}, nil},
		{"order of the entries", func(d *Draft) { d.Queues[0], d.Queues[1] = d.Queues[1], d.Queues[0] }, nil},
		{"terms", func(d *Draft) {
			q := &d.Queues[0]
			q.Priority, q.MaxAttempts, q.Stretch, q.Objective, q.Advised = 1, 3, 1.5, 700, true
		}, []string{"~ queue/q priority: 0 -> 1 [at-once]", "~ queue/q attempts: 2 -> 3 [at-once]", "~ queue/q stretch: 2 -> 1.5 [at-once]",
			"~ queue/q objective-ms: 500 -> 700 [at-once]", "~ queue/q advisor: false -> true [at-once]"}},
		{"pool", func(d *Draft) { d.Queues[0].Pool = "s" }, []string{"~ queue/q pool: p -> s [new-jobs]"}},
		{"public", func(d *Draft) { d.Queues[0].Public = true }, []string{"~ queue/q public: false -> true [configuration-time]"}},
		{"time-out", func(d *Draft) { d.Queues[0].Timeout = 900 }, []string{"~ queue/q time-out-ms: 600 -> 900 [none]"}},
		{"address", func(d *Draft) { d.Queues[0].Prefix = "/z/" },
			[]string{"~ queue/q address: h/q/ -> h/z/; calls to the old one are answered 404 [configuration-time]"}},
		{"renamed", func(d *Draft) { d.Queues[0].Name = "z" }, []string{"~ queue/z name: q -> z; it keeps its jobs [configuration-time]"}},
		{"other queue", func(d *Draft) { d.Queues[0].Name, d.Queues[0].Prefix = "z", "/z/" }, []string{"+ queue/z at h/z/, pool p [configuration-time]",
			"- queue/q calls are answered 404; accepted jobs run on [configuration-time]"}},
		{"keys", func(d *Draft) {
			d.Customers[0].Keys = []batch.KeyHash{batch.HashKey("secret-1"), batch.HashKey("secret-4")}
		},
			[]string{"~ customer/a keys: 1 added [configuration-time]", "~ customer/a keys: 1 withdrawn [revocation-limit]"}},
		{"key to another customer", func(d *Draft) {
			d.Customers[0].Keys, d.Customers[1].Keys = d.Customers[0].Keys[:1], append(d.Customers[1].Keys, d.Customers[0].Keys[1])
		}, []string{"~ customer/a keys: 1 withdrawn [revocation-limit]", "~ customer/b keys: 1 added [configuration-time]"}},
		{"weight and cap", func(d *Draft) { d.Customers[0].Weight, d.Customers[0].Cap = 3, batch.Resources{CPU: 2000, GPUs: 1} },
			[]string{"~ customer/a weight: 1 -> 3 [at-once]", "~ customer/a cap of thousandths of a core: 4000 -> 2000 [at-once]",
				"~ customer/a cap of MB: 4000 -> none [at-once]", "~ customer/a cap of accelerators: none -> 1 [at-once]"}},
		{"other customer", func(d *Draft) { d.Customers[1].Name = "c" }, []string{"+ customer/c keys: 1 added [configuration-time]",
			"- customer/b keys: 1 withdrawn; accepted jobs run on, and no caller sees them [revocation-limit]"}},
		{"no customers", func(d *Draft) { d.Customers = nil }, []string{
			"~ access no queue needs a key, unless the settings have a revocation-limit [configuration-time]",
			"- customer/a keys: 2 withdrawn; accepted jobs run on [revocation-limit]",
			"- customer/b keys: 1 withdrawn; accepted jobs run on [revocation-limit]"}},
		{"pools", func(d *Draft) { d.Pools = []batch.Pool{{Name: "p", Standby: true}, {Name: "n"}} }, []string{
			"~ pool/p standby: false -> true [at-once]", "+ pool/n [configuration-time]",
			"- pool/s its accepted jobs run on until the instances restart [configuration-time]"}},
		{"body limit", func(d *Draft) { d.BodyLimit = 10 }, []string{"~ limits bytes of a body: 0 -> 10 [none]"}},
	} {
		d := sound()
		test.change(d)
		var got []string
		changes := Compare(sound(), d)
		for _, c := range changes {
			got = append(got, c.String())
		}
		if !reflect.DeepEqual(got, test.want) {
			t.Errorf("%s: got %q, want %q", test.name, got, test.want)
		}
		encoded, err := json.Marshal(changes)
		if err != nil || strings.Contains(string(encoded), "secret") || strings.Contains(strings.Join(got, ""), "secret") {
			t.Errorf("%s: changes got %s, %v, want no key", test.name, encoded, err)
		}
	}
}
