package settings

import (
	"fmt"
	"strings"
	"testing"

	_ "magnoliaferry/memory"
)

const valid = `{
"name": "entry-a1",
"zone": "zone-a", "contact": "desk@example",
"callers": {"listen": "127.0.0.1:8080"},
"operators": {"listen": "127.0.0.1:8081", "trust-loopback": true},
"peers": {"listen": "127.0.0.1:8082", "seeds": ["127.0.0.1:8092"]},
"platform": {"plugin": "memory", "address": "demo"},
"stop": {"leave": "2s"}
}`

// Guards against defaults that are not applied, and durations that are read in the wrong unit.
func TestDecode(t *testing.T) {
	got, list := Decode("a.json", []byte(valid))
	if err := list.Err(); err != nil {
		t.Fatalf("Decode got %v, want no diagnostics", err)
	}
	if got, want := fmt.Sprint(got.Zone, got.Leave, got.Stop, got.ClaimInterval), "zone-a2000 40000 30"; got != want {
		t.Errorf("settings got %q, want %q", got, want)
	}
}

// Guards against errors that are accepted, masked by another error, or reported at the wrong line or path.
func TestFaults(t *testing.T) {
	tests := []struct{ old, new, want string }{
		{`"zone": "zone-a"`, `"zone": "Zone A"`, `a.json:3: MF1109 /zone`},
		{`"zone"`, `"zones"`, `a.json:3: MF1104 /zones`},
		{`"2s"`, `"2 weeks"`, `a.json:8: MF1107 /stop/leave`},
		{`"2s"`, `"2h"`, `a.json:8: MF1005 /stop/leave`},
		{`127.0.0.1:8080`, `localhost:8080`, `a.json:4: MF1000 /callers/listen`},
		{`127.0.0.1:8082`, `0.0.0.0:8082`, `a.json:6: MF1000 /peers/listen`},
		{`127.0.0.1:8092`, `127.0.0.1`, `a.json:6: MF1000 /peers/seeds/0`},
		{`127.0.0.1:8082`, `127.0.0.1:8080`, `a.json:6: MF1002 /peers/listen`},
		{`127.0.0.1:8081`, `10.0.0.1:8081`, `a.json:5: MF1004 /operators/trust-loopback`},
		{`"memory"`, `"magic"`, `a.json:7: MF1001 /platform/plugin`},
		{`8080"}`, `8080", "tls": {"certificate": "/none", "key": "/none"}}`, `a.json:4: MF1003 /callers/tls/key`},
		{`8082",`, `8082", "tls": {"certificate": "/none", "key": "/none"},`, `a.json:6: MF1006 /peers/tls`},
		{`"name": "entry-a1",`, ``, `a.json:1: MF1105 /name`},
		{`"name"`, `"zone": "zone-b", "name"`, `a.json:3: MF1103 /zone`},
		{`}`, `]`, `a.json:4: MF1100`},
		{`{`, `[{`, `MF1100`},
	}
	for _, test := range tests {
		_, list := Decode("a.json", []byte(strings.Replace(valid, test.old, test.new, 1)))
		if got := list.Error(); !strings.Contains(got, test.want) {
			t.Errorf("%s instead of %s: got %q, want %q in it", test.new, test.old, got, test.want)
		}
	}
}

// Guards against reporting only the first error.
func TestAllFaultsInOneRun(t *testing.T) {
	body := valid
	for _, change := range [][2]string{{`"zone"`, `"zones"`}, {`"2s"`, `"2"`}, {`8080`, `x`}, {`"memory"`, `"magic"`}} {
		body = strings.Replace(body, change[0], change[1], 1)
	}
	_, list := Decode("a.json", []byte(body))
	if got, want := list.Len(), 5; got != want { // the renamed zone field gives two: unknown field, missing field
		t.Errorf("diagnostics got %d, want %d:\n%s", got, want, list.Error())
	}
}
