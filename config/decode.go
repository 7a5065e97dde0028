package config

import (
	_ "embed"

	"magnoliaferry/diag"
	"magnoliaferry/strictjson"
)

const (
	// MaxBody is the maximum size of a configuration in bytes. A fleet of the target size, 31 pools and 290 teams, takes
	// about 150 KB.
	MaxBody = 4 << 20
	// maxDepth is the maximum nesting depth; a valid configuration has 4 levels.
	maxDepth = 8
)

//go:embed schema.json
var schema []byte

var format = strictjson.NewFormat("magnoliaferry:configuration", schema, MaxBody, maxDepth,
	map[string]diag.Code{"contact": CodeContact})

// Decode parses and validates a configuration; file names the body in the diagnostics. On any error it returns nil and
// all diagnostics found.
func Decode(file string, body []byte) (*Configuration, diag.List) {
	d := checker{format.Read(file, body)}
	wire := documentWire{Weights: weightsWire{25, 25, 25, 25}}
	if d.Unmarshal(&wire) {
		d.check(wire.fields())
	}
	if faults := d.Diagnostics(); faults.Len() > 0 {
		return nil, faults
	}
	// The conversion to the wire form sorts the sections, callers and methods.
	return New(toWire(wire.fields()).fields()), diag.List{}
}

// Check validates fields that were built in memory; the lines in its diagnostics refer to the canonical body.
func Check(f Fields) diag.List {
	_, list := Decode(f.Name+".json", Encode(New(f)))
	return list
}

// checker checks the rules that the JSON schema cannot express.
type checker struct{ *strictjson.Document }
