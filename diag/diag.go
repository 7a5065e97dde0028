package diag

import (
	"encoding/json"
	"fmt"
	"sort"
	"strings"
)

// Code is the number of a kind of diagnostic; docs/diagnostics.md lists all codes.
type Code int

// Diagnostic describes one error in an input and its position.
type Diagnostic struct {
	code Code
	file string
	line int
	path string
	text string

	column int
}

// New returns a diagnostic; line counts from 1 or is 0 when unknown, and path is a JSON pointer such as
// "/pools/2/capacity".
func New(code Code, file string, line int, path, text string) Diagnostic {
	return Diagnostic{code: code, file: file, line: line, path: path, text: text}
}

// AtColumn returns the diagnostic with a column, in characters from 1, or 0 when it is unknown.
func (d Diagnostic) AtColumn(column int) Diagnostic {
	d.column = column
	return d
}

// Code returns the code of the diagnostic.
func (d Diagnostic) Code() Code { return d.code }

// File returns the file name of the input.
func (d Diagnostic) File() string { return d.file }

// Line returns the line in the input, from 1, or 0 when it is unknown.
func (d Diagnostic) Line() int { return d.line }

// Column returns the column in the line, in characters from 1, or 0 when it is unknown.
func (d Diagnostic) Column() int { return d.column }

// Path returns the JSON pointer to the invalid value.
func (d Diagnostic) Path() string { return d.path }

// Text returns the message.
func (d Diagnostic) Text() string { return d.text }

// String formats the diagnostic like a compiler message, for example "a.json:3: MF1004 /pools/0/name: is used twice". An
// unknown line or column is left out.
func (d Diagnostic) String() string {
	if d.line == 0 {
		return fmt.Sprintf("%s: MF%d %s: %s", d.file, d.code, d.path, d.text)
	}
	if d.column == 0 {
		return fmt.Sprintf("%s:%d: MF%d %s: %s", d.file, d.line, d.code, d.path, d.text)
	}
	return fmt.Sprintf("%s:%d:%d: MF%d %s: %s", d.file, d.line, d.column, d.code, d.path, d.text)
}

// MarshalJSON implements json.Marshaler.
func (d Diagnostic) MarshalJSON() ([]byte, error) {
	return json.Marshal(struct {
		Code   Code   `json:"code"`
		File   string `json:"file"`
		Line   int    `json:"line"`
		Column int    `json:"column,omitempty"`
		Path   string `json:"path"`
		Text   string `json:"text"`
	}{d.code, d.file, d.line, d.column, d.path, d.text})
}

// List is a list of diagnostics; the zero value is an empty list.
type List struct{ all []Diagnostic }

// Add appends a diagnostic.
func (l *List) Add(d Diagnostic) { l.all = append(l.all, d) }

// Merge appends all diagnostics of another list.
func (l *List) Merge(o List) { l.all = append(l.all, o.all...) }

// Len returns the number of diagnostics.
func (l List) Len() int { return len(l.all) }

// All returns the diagnostics sorted by file, line, column, path and code.
func (l List) All() []Diagnostic {
	sorted := append([]Diagnostic(nil), l.all...)
	sort.SliceStable(sorted, func(i, j int) bool {
		a, b := sorted[i], sorted[j]
		if a.file != b.file {
			return a.file < b.file
		}
		if a.line != b.line {
			return a.line < b.line
		}
		if a.column != b.column {
			return a.column < b.column
		}
		if a.path != b.path {
			return a.path < b.path
		}
		return a.code < b.code
	})
	return sorted
}

// Error implements error; it returns all diagnostics, one per line.
func (l List) Error() string {
	lines := make([]string, 0, len(l.all))
	for _, d := range l.All() {
		lines = append(lines, d.String())
	}
	return strings.Join(lines, "\n")
}

// Err returns the list as an error, or nil when it is empty.
func (l List) Err() error {
	if len(l.all) == 0 {
		return nil
	}
	return l
}
