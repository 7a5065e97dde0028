package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/joomcode/errorx"

	"magnoliaferry/clock"
	"magnoliaferry/diag"
	"magnoliaferry/strictjson"
)

func readFile(t testing.TB, name string) []byte {
	t.Helper()
	body, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	return body
}

func decodeFile(t testing.TB, name string) *Configuration {
	t.Helper()
	c, faults := Decode(name, readFile(t, name))
	if faults.Len() > 0 {
		t.Fatal(faults)
	}
	return c
}

func locations(list diag.List) []string {
	var got []string
	for _, d := range list.All() {
		got = append(got, fmt.Sprintf("%d %d %s", d.Code(), d.Line(), d.Path()))
	}
	return got
}

// Guards against reporting only some of the errors of a file, or reporting them at the wrong line or path.
func TestEightFaults(t *testing.T) {
	c, faults := Decode("eight-faults.json", readFile(t, "testdata/eight-faults.json"))
	want := []string{
		"1117 3 /weights",
		"1113 13 /pools/0/capacity",
		"1104 17 /pools/0/colour",
		"1118 19 /pools/1/contact",
		"1107 26 /pools/1/queue-wait",
		"1110 31 /services/1/name",
		"1111 32 /services/2/pool",
		"1119 36 /teams/1/callers/0",
	}
	if got := locations(faults); !slices.Equal(got, want) {
		t.Errorf("faults got %q, want %q", got, want)
	}
	if c != nil {
		t.Errorf("got a configuration, want nil")
	}
}

const smallBody = `{
"name": "small",
"weights": {"roll-out-time": 40, "protection": 30, "buffer-cost": 20, "moves": 10},
"zones": [{"name": "a", "region": "r"}, {"name": "b", "region": "r"}],
"pools": [{"name": "web", "contact": "ops", "instances": 10, "capacity": 7, "max-unavailable": 3, "cores": 16,
  "slots": 8, "connections": 64, "memory": "32GB", "survive": {"workers": 2}}],
"services": [{"name": "search", "pool": "web", "deadline": "5s", "max-deadline": "10s"}],
"teams": [{"name": "t", "contact": "ops", "callers": ["c"], "cores": 12, "memory": "24GB"}],
"jobs": [{"name": "j", "team": "t", "pool": "web", "cores": 4, "memory": "8GB", "attempts": 1, "command": ["x"]}]
}`

// Guards against rules that are not checked, and against one error that is reported more than once.
func TestFaults(t *testing.T) {
	tests := []struct{ old, replacement, want string }{
		{`"name": "small",`, `"name": "small"`, "1100 3 "},
		{`["x"]}]`, `["x"]}`, "1100 10 /jobs"},
		{`"small"`, `"small", "name": "x"`, "1103 2 /name"},
		{`"cores": 16`, `"cores": 16, "a/b": {"c": 1}`, "1104 5 /pools/0/a~1b"},
		{`"instances": 10, `, ``, "1105 5 /pools/0/instances"},
		{`"slots": 8`, `"slots": "8"`, "1106 6 /pools/0/slots"},
		{`"slots": 8`, `"slots": null`, "1106 6 /pools/0/slots"},
		{`"a", "region": "r"}`, `"a", "region": "r"}, 7`, "1106 4 /zones/1"},
		{`"32GB"`, `"32 GB"`, "1107 6 /pools/0/memory"},
		{`"5s"`, `5`, "1107 7 /services/0/deadline"},
		{`"8GB"`, `8`, "1107 9 /jobs/0/memory"},
		{`"5s"`, `"5"`, "1107 7 /services/0/deadline"},
		{`"slots": 8`, `"slots": 0`, "1108 6 /pools/0/slots"},
		{`"slots": 8`, `"slots": 1e9999999`, "1108 6 /pools/0/slots"},
		{`"slots": 8`, `"slots": 8.0`, "1108 6 /pools/0/slots"},
		{`"32GB"`, `"0GB"`, "1108 6 /pools/0/memory"},
		{`"max-deadline": "10s"`, `"max-deadline": "31s"`, "1108 7 /services/0/max-deadline"},
		{`["x"]`, `[]`, "1108 9 /jobs/0/command"},
		{`"small"`, `"Small"`, "1109 2 /name"},
		{`"5s"`, `"5s", "urgency": "soon"`, "1109 7 /services/0/urgency"},
		{`"5s"`, `"5s", "idempotent-methods": ["GET", "GET"]`, "1110 7 /services/0/idempotent-methods/1"},
		{`{"name": "b"`, `{"name": "a"`, "1110 4 /zones/1/name"},
		{`"search", "pool": "web"`, `"search", "pool": "wen"`, "1111 7 /services/0/pool"},
		{`"t", "pool": "web"`, `"t", "pool": "wen"`, "1111 9 /jobs/0/pool"},
		{`"team": "t"`, `"team": "u"`, "1112 9 /jobs/0/team"},
		{`"capacity": 7`, `"capacity": 11`, "1113 5 /pools/0/capacity"},
		{`"capacity": 7`, `"capacity": 8`, "1114 5 /pools/0/max-unavailable"},
		{`"workers": 2`, `"workers": 3`, "1115 5 /pools/0/max-unavailable"},
		{`"workers": 2`, `"racks": 1`, "1115 5 /pools/0/max-unavailable"},
		{`"instances": 10`, `"instances": 10, "rack-size": 0`, "1108 5 /pools/0/rack-size"},
		{`"workers": 2`, `"zones": 2`, "1116 6 /pools/0/survive/zones"},
		{`"moves": 10`, `"moves": 11`, "1117 3 /weights"},
		{`"moves": 10`, `"moves": -1`, "1108 3 /weights/moves"},
		{`"web", "contact": "ops"`, `"web", "contact": " "`, "1118 5 /pools/0/contact"},
		{`"t", "contact": "ops"`, `"t"`, "1118 8 /teams/0/contact"},
		{`["c"]`, `["c", "c"]`, "1119 8 /teams/0/callers/1"},
		{`"cores": 4`, `"cores": 17`, "1120 9 /jobs/0/cores,1121 9 /jobs/0/cores"},
		{`"cores": 4`, `"cores": 13`, "1121 9 /jobs/0/cores"},
		{`"8GB"`, `"25GB"`, "1121 9 /jobs/0/memory"},
		{`"8GB"`, `"33GB"`, "1120 9 /jobs/0/memory,1121 9 /jobs/0/memory"},
		{`"cores": 12`, `"cores": "12"`, "1106 8 /teams/0/cores"},
		{`"max-deadline": "10s"`, `"max-deadline": "4s"`, "1122 7 /services/0/deadline"},
		{`"connections": 64`, `"connections": 7`, "1123 6 /pools/0/connections"},
		{`"attempts": 1`, `"attempts": 2, "run-once": true`, "1124 9 /jobs/0/attempts"},
		{`"search"`, `"operator"`, "1125 7 /services/0/name"},
		{`]
}`, `]
} {}`, "1100 10 "},
		{smallBody, ``, "1100 1 "},
		{smallBody, `[]`, "1106 1 "},
		{smallBody, `nul`, "1100 1 "},
		{smallBody, "{\"name\": \"\xff\"}", "1100 1 /name"},
	}
	for _, test := range tests {
		body := strings.Replace(smallBody, test.old, test.replacement, 1)
		if body == smallBody {
			t.Errorf("%q does not occur in smallBody", test.old)
		}
		_, faults := Decode("small.json", []byte(body))
		if got := strings.Join(locations(faults), ","); got != test.want {
			t.Errorf("%q for %q: got %s, want %s", test.replacement, test.old, got, test.want)
		}
	}
	if _, faults := Decode("small.json", []byte(smallBody)); faults.Len() > 0 {
		t.Errorf("smallBody unchanged: got %v, want no faults", faults)
	}
}

// Guards against input that takes excessive memory or time, and against an unbounded number or length of diagnostics.
func TestBounds(t *testing.T) {
	fields := func(n int) string {
		var b strings.Builder
		for i := range n {
			fmt.Fprintf(&b, `"x%d": 1,`, i)
		}
		return "{" + b.String() + smallBody[1:]
	}
	lists := func(n int) string {
		var b strings.Builder
		for i := range n {
			fmt.Fprintf(&b, "\"l%d\": [%s1],\n", i, strings.Repeat("1,", strictjson.MaxList-1))
		}
		return b.String() + `"end": 1`
	}
	tests := []struct{ name, body, want string }{
		{"large", strings.Repeat(" ", MaxBody+1), "1101 1 "},
		{"deep", strings.Repeat("[", maxDepth+1), "1102 1 /0/0/0/0/0/0/0/0"},
		{"very deep", strings.Repeat("[", MaxBody), "1102 1 /0/0/0/0/0/0/0/0"},
		{"list", "[" + strings.Repeat("\n1,", strictjson.MaxList) + "1]", "1101 5001 "},
		{"values", "{" + lists(strictjson.MaxValues/strictjson.MaxList+1) + "}", "1101 20 /l19/4979"},
		{"name", `{"` + strings.Repeat("n", strictjson.MaxName+1) + `": 1}`, "1101 1 "},
	}
	for _, test := range tests {
		_, faults := Decode("x", []byte(test.body))
		if got := strings.Join(locations(faults), ","); got != test.want {
			t.Errorf("%s: got %s, want %s", test.name, got, test.want)
		}
	}
	_, faults := Decode("x", []byte(fields(5000)))
	if got, want := faults.Len(), strictjson.MaxDiagnostics+1; got != want {
		t.Errorf("report got %d faults, want %d", got, want)
	}
	if _, again := Decode("x", []byte(fields(5000))); again.Error() != faults.Error() {
		t.Errorf("second report differs from the first")
	}
	_, faults = Decode("x", []byte(`{"name": "`+strings.Repeat("N", 100_000)+`"}`))
	if got, want := len(faults.Error()), 2000; got > want {
		t.Errorf("report of a long value got %d bytes, want at most %d", got, want)
	}
}

// Guards against a canonical body that depends on the order of sections or on the units used in the input.
func TestCanonicalBody(t *testing.T) {
	c := decodeFile(t, "../examples/kervan-etki/fleet.json")
	f := c.Fields()
	f.Pools, f.Jobs, f.Teams = slices.Clone(f.Pools), slices.Clone(f.Jobs), slices.Clone(f.Teams)
	slices.Reverse(f.Pools)
	slices.Reverse(f.Jobs)
	slices.Reverse(f.Teams)
	for i := range f.Teams {
		f.Teams[i].Callers = slices.Clone(f.Teams[i].Callers)
		slices.Reverse(f.Teams[i].Callers)
	}
	if got, want := Encode(New(f)), Encode(c); !bytes.Equal(got, want) {
		t.Errorf("reversed sections got %s, want %s", got, want)
	}
	if faults := Check(f); faults.Len() > 0 {
		t.Errorf("Check of reversed sections got %v, want no faults", faults)
	}
	f.Pools[0].Contact = ""
	if got, want := locations(Check(f)), "/pools/"; len(got) != 1 || !strings.Contains(got[0], want) {
		t.Errorf("Check without a contact got %q, want one fault under %s", got, want)
	}
	for _, spelling := range [][2]string{{"28d", "672h"}, {"32GB", "32768MB"}, {`"2s"`, `"2000ms"`}} {
		body := bytes.ReplaceAll(Encode(c), []byte(spelling[0]), []byte(spelling[1]))
		other, faults := Decode("x", body)
		if faults.Len() > 0 {
			t.Fatal(faults)
		}
		if got, want := Digest(other), Digest(c); got != want {
			t.Errorf("digest with %s got %s, want %s", spelling[1], got, want)
		}
	}
}

// Guards against defaults that differ between the decoder and the canonical body, and against an empty list of
// idempotent methods that becomes the default list.
func TestDefaults(t *testing.T) {
	body := strings.Replace(smallBody, `"deadline": "5s", "max-deadline": "10s"`, `"max-deadline": "4s"`, 1)
	body = strings.Replace(body, `"slots": 8, "connections": 64, `, ``, 1)
	body = strings.Replace(body, `"attempts": 1`, `"run-once": true`, 1)
	c, faults := Decode("x", []byte(body))
	if faults.Len() > 0 {
		t.Fatal(faults)
	}
	p, _ := c.Pool("web")
	s, _ := c.Service("search")
	j, _ := c.Job("j")
	got := fmt.Sprint(p.Slots(), p.Connections(), p.QueueLength(), p.QueueWait(), p.MaintenancePeriod(), s.Deadline(),
		s.Urgency(), j.Fields().Attempts, j.Fields().RunTime, s.Idempotent("PUT"), s.Idempotent("POST"))
	want := fmt.Sprint(8, 64, 200, 2*clock.Second, 28*clock.Day, 4*clock.Second, Normal, 1, clock.Hour, true, false)
	if got != want {
		t.Errorf("defaults got %s, want %s", got, want)
	}
	f := c.Fields()
	f.Services[0].IdempotentMethods = []string{}
	none, faults := Decode("x", Encode(New(f)))
	if faults.Len() > 0 {
		t.Fatal(faults)
	}
	if s, _ := none.Service("search"); s.Idempotent("GET") {
		t.Errorf("Idempotent(GET) with an empty list of methods got true, want false")
	}
}

// vary returns a copy of c with 1 to 4 random changes.
func vary(r *rand.Rand, c *Configuration) *Configuration {
	f := c.Fields()
	f.Pools, f.Services, f.Teams, f.Jobs = slices.Clone(f.Pools), slices.Clone(f.Services), slices.Clone(f.Teams),
		slices.Clone(f.Jobs)
	for range 1 + r.IntN(4) {
		switch r.IntN(6) {
		case 0:
			f.Pools[r.IntN(len(f.Pools))].QueueLength = r.IntN(500)
		case 1:
			f.Services[r.IntN(len(f.Services))].Deadline = clock.Millis(1 + r.IntN(9999))
		case 2:
			f.Teams = append(f.Teams, TeamFields{Name: "team-" + strconv.Itoa(len(f.Teams)), Contact: "<ops> & co"})
		case 3:
			if len(f.Jobs) > 0 {
				f.Jobs = slices.Delete(f.Jobs, 0, 1)
			}
		case 4:
			f.Weights = Weights{RollOutTime: r.IntN(50), Moves: 50}
			f.Weights.Protection = 50 - f.Weights.RollOutTime
		case 5:
			f.Name = "fleet-" + strconv.Itoa(r.IntN(9))
		}
	}
	return New(f)
}

// Guards against a delta whose application does not give the configuration that it was computed from.
func TestDeltas(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	a := decodeFile(t, "../examples/lone-star/fleet.json")
	for i := range 200 {
		b := vary(r, a)
		d := NewDelta(a, b)
		var sent Delta
		if err := sent.UnmarshalJSON(marshal(d)); err != nil {
			t.Fatal(err)
		}
		got, err := Apply(a, sent)
		if err != nil || !bytes.Equal(Encode(got), Encode(b)) {
			t.Fatalf("step %d: Apply of %s got %v", i, marshal(d), err)
		}
		if changed := len(Diff(a, b)) > 0; changed != (len(d.Sections()) > 0) {
			t.Errorf("step %d: Diff got changes: %v, want the same as for the delta with sections %q", i, changed, d.Sections())
		}
		a = b
	}
}

// Guards against applying a delta to the wrong base configuration, or one that was altered after it was computed.
func TestDeltaIsBoundToDigests(t *testing.T) {
	r := rand.New(rand.NewPCG(3, 4))
	a, other := decodeFile(t, "../examples/lone-star/fleet.json"), decodeFile(t, "../examples/kervan-etki/fleet.json")
	d := NewDelta(a, vary(r, a))
	altered := d
	altered.f.Set = map[string]json.RawMessage{"pool/deposit": sectionsByName(other)["pool/citation"]}
	unknown := d
	unknown.f.Set = map[string]json.RawMessage{"colour/x": []byte(`{}`)}
	broken := d
	broken.f.Set = map[string]json.RawMessage{"name": []byte(`{`)}
	omitted := Delta{DeltaFields{Base: Digest(a), Result: d.Result(), Omitted: true}}
	tests := []struct {
		name string
		base *Configuration
		d    Delta
		want *errorx.Type
	}{
		{"other base", other, d, ErrBase}, {"no base", nil, d, ErrBase}, {"altered", a, altered, ErrDelta},
		{"unknown section", a, unknown, ErrDelta}, {"broken", a, broken, ErrDelta}, {"omitted", a, omitted, ErrOmitted},
	}
	for _, test := range tests {
		if c, err := Apply(test.base, test.d); c != nil || !errorx.IsOfType(err, test.want) {
			t.Errorf("%s: Apply got %v, want %v", test.name, err, test.want)
		}
	}
	if c, err := Apply(nil, NewDelta(nil, a)); err != nil || Digest(c) != Digest(a) {
		t.Errorf("Apply of the first delta got %v, want the configuration", err)
	}
}

// Guards against a row that is too large to be polled every second, and against accepting an invalid row.
func TestStored(t *testing.T) {
	a := decodeFile(t, "../examples/lone-star/fleet.json")
	b := New(func() Fields { f := a.Fields(); f.Name = "other"; return f }())
	fields := func(from, to *Configuration) StoredFields {
		d := NewDelta(from, to)
		return StoredFields{Version: 2, Digest: Digest(to), Previous: d.Base(), Operation: "o", Operator: "ada", Delta: d}
	}
	for _, test := range []struct {
		f       StoredFields
		omitted bool
	}{{fields(a, b), false}, {fields(nil, a), true}} {
		value := NewStored(test.f).Encode()
		s, err := DecodeStored(value)
		if err != nil {
			t.Fatal(err)
		}
		if got, want := len(value), maxStoredDelta+500; got > want {
			t.Errorf("row got %d bytes, want at most %d", got, want)
		}
		if got := s.Delta().Omitted(); got != test.omitted {
			t.Errorf("omitted got %v, want %v", got, test.omitted)
		}
		if s.Version() != 2 || s.Digest() != test.f.Digest || s.Operator() != "ada" || s.Operation() != "o" {
			t.Errorf("row got %s, want the values that were stored", value)
		}
	}
	for _, value := range []string{``, `{}`, `{"version":1,"digest":"x"}`, `{"version":0,"digest":"","delta":{}}`} {
		if _, err := DecodeStored([]byte(value)); !errorx.IsOfType(err, ErrStored) {
			t.Errorf("%q: got %v, want ErrStored", value, err)
		}
	}
}

// Guards against changes in the readable form of a difference.
func TestDiffText(t *testing.T) {
	a := decodeFile(t, "../examples/lone-star/fleet.json")
	f := a.Fields()
	f.Pools = slices.Clone(f.Pools)
	f.Pools[0].QueueLength = 50
	f.Teams = f.Teams[1:]
	f.Services = append(slices.Clone(f.Services), ServiceFields{Name: "new", Pool: "crate"})
	var got []string
	for _, c := range Diff(a, New(f)) {
		got = append(got, c.String())
	}
	want := []string{"~ pool/crate queue-length: 200 -> 50", "+ service/new", "- team/crate"}
	if !slices.Equal(got, want) {
		t.Errorf("Diff got %q, want %q", got, want)
	}
}
