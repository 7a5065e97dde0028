package config

import (
	"bytes"
	"testing"
)

// Guards against panics, against diagnostics with a line outside the body, and against an accepted body whose canonical
// form is rejected or has another digest. The corpus is in testdata/fuzz/FuzzDecode; "make fuzz" extends it.
func FuzzDecode(f *testing.F) {
	for _, name := range []string{"testdata/eight-faults.json", "../examples/kervan-etki/fleet.json",
		"../examples/lone-star/fleet.json"} {
		f.Add(readFile(f, name))
	}
	f.Add([]byte(smallBody))
	f.Fuzz(func(t *testing.T, body []byte) {
		c, faults := Decode("fuzz", body)
		lines := 1 + bytes.Count(body, []byte("\n"))
		for _, d := range faults.All() {
			if d.Line() < 0 || d.Line() > lines || d.Text() == "" {
				t.Errorf("diagnostic got %v, want a text and a line within the %d lines of the body", d, lines)
			}
		}
		if (c == nil) != (faults.Len() > 0) {
			t.Fatalf("got configuration %v with diagnostics %v, want exactly one of them", c, faults)
		}
		if c == nil {
			return
		}
		canonical := Encode(c)
		again, faults := Decode("canonical", canonical)
		if faults.Len() > 0 {
			t.Fatalf("Decode of the canonical form got %v, want no faults", faults)
		}
		if got := Encode(again); !bytes.Equal(got, canonical) {
			t.Errorf("canonical form of the canonical form got %s, want %s", got, canonical)
		}
		if got, err := Apply(nil, NewDelta(nil, c)); err != nil || Digest(got) != Digest(c) {
			t.Errorf("Apply of the delta from no configuration got error %v or another configuration, want the decoded one", err)
		}
	})
}
