package precheck

import (
	"crypto/sha256"

	"magnoliaferry/batch"
	"magnoliaferry/clock"
	"magnoliaferry/diag"
)

// Draft is a configuration with the places of its values in the file. Fields are set before the first use.
type Draft struct {
	File      string
	Digest    [sha256.Size]byte // of the file
	Version   int64
	Queues    []Queue
	Customers []Customer
	Pools     []batch.Pool
	BodyLimit int64 // of requests, in bytes; 0 if the file has none
	MaxBody   int64 // bytes that instances accept at most
	Places    map[Ref]Place
}

// Queue is a queue of a Draft.
type Queue struct {
	batch.Queue
	Timeout clock.Millis // that operators declare for requests; instances do not read it. 0 if there is none
}

// Customer is a customer of a Draft.
type Customer struct {
	Name   string
	Keys   []batch.KeyHash // in the order of the file; the zero hash for an empty key
	Weight float64
	Cap    batch.Resources
}

// Section is a list of a configuration.
type Section int

// The sections. SectionFile has the fields of the configuration itself.
const (
	SectionFile Section = iota
	SectionQueues
	SectionCustomers
	SectionPools
)

// Field is a field of an entry.
type Field int

// The fields of which the place is known.
const (
	FieldEntry Field = iota // the entry as a whole
	FieldName
	FieldVersion
	FieldHost
	FieldPrefix
	FieldPool
	FieldPriority
	FieldMaxAttempts
	FieldStretch
	FieldObjective
	FieldAdvisor
	FieldTimeout
	FieldKeys
	FieldWeight
	FieldCap
	FieldCapCPU
	FieldCapMemory
	FieldCapGPUs
	FieldBodyLimit
)

// Ref names a value of a configuration.
type Ref struct {
	Section Section
	Index   int // of the entry in its section
	Field   Field
	Element int // of a list of keys, from 1; 0 is the list
}

// Place is where a value is in the file.
type Place struct {
	Line, Column int    // from 1, the column in characters
	Path         string // JSON pointer
}

// has reports whether the file has the value.
func (d *Draft) has(r Ref) bool {
	_, ok := d.Places[r]
	return ok
}

// place returns the place of a value, or that of the nearest enclosing one if the file does not have it.
func (d *Draft) place(r Ref) Place {
	for _, outer := range []Ref{r, {r.Section, r.Index, r.Field, 0}, {r.Section, r.Index, FieldEntry, 0}} {
		if p, ok := d.Places[outer]; ok {
			return p
		}
	}
	return Place{Line: 1, Column: 1}
}

// diagnostic returns a diagnostic about a value.
func (d *Draft) diagnostic(code diag.Code, r Ref, text string) diag.Diagnostic {
	p := d.place(r)
	return diag.New(code, d.File, p.Line, p.Path, text).AtColumn(p.Column)
}
