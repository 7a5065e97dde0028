package settings

import (
	"strings"
	"testing"
)

// Guards against settings that crash the decoder, are rejected without a file or with a line below 0, or are accepted
// without a required field.
func FuzzDecode(f *testing.F) {
	f.Add(valid)
	f.Add(strings.Replace(valid, `"2s"`, `"99999999999999999999d"`, 1))
	f.Add(strings.Replace(valid, `"zone-a"`, `null`, 1))
	f.Add(strings.Repeat(`{"tls":`, 20))
	f.Add(`{"peers":{"seeds":["::1",["::1"],{}]},"peers":[]}`)
	f.Add("\x00{\xff}")
	f.Fuzz(func(t *testing.T, body string) {
		got, list := Decode("a.json", []byte(body))
		if list.Len() == 0 && (got.Name == "" || got.Zone == "" || got.Contact == "" && !strings.Contains(body, "contact")) {
			t.Errorf("Decode(%q) got %+v without a diagnostic, want a diagnostic of the missing field", body, got)
		}
		for _, d := range list.All() {
			if d.File() != "a.json" || d.Code() == 0 || d.Line() < 0 {
				t.Errorf("Decode(%q) got diagnostic %q, want one with the file, a code and a valid line", body, d)
			}
		}
	})
}
