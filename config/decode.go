package config

import (
	_ "embed"

	"magnoliaferry/diag"
	"magnoliaferry/strictjson"
)

const (
	// MaxBody bounds a configuration in bytes. The target of 31 pools and 290 teams takes about 150 KB.
	MaxBody = 4 << 20
	// maxDepth bounds the nesting; a valid configuration has 4 levels.
	maxDepth = 8
)

//go:embed schema.json
var schema []byte

var format = strictjson.NewFormat("magnoliaferry:configuration", schema, MaxBody, maxDepth,
	map[string]diag.Code{"contact": CodeContact})

// Decode reads a configuration strictly; on any fault it returns nil and every diagnostic it found.
func Decode(file string, body []byte) (*Configuration, diag.List) {
	d := checker{format.Read(file, body)}
	wire := documentWire{Weights: weightsWire{25, 25, 25, 25}}
	if d.Unmarshal(&wire) {
		d.check(wire.fields())
	}
	if faults := d.Diagnostics(); faults.Len() > 0 {
		return nil, faults
	}
	return New(toWire(wire.fields()).fields()), diag.List{}
}

// Check returns the faults of fields that were built in memory; lines are those of the canonical body.
func Check(f Fields) diag.List {
	_, list := Decode(f.Name+".json", Encode(New(f)))
	return list
}

// checker checks what the schema cannot express.
type checker struct{ *strictjson.Document }
