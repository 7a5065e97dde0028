package strictjson

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"regexp"
	"strconv"
	"strings"

	"github.com/go-json-experiment/json/jsontext"
	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
	"golang.org/x/text/language"
	"golang.org/x/text/message"

	"magnoliaferry/diag"
)

// The diagnostic codes that all formats share; docs/diagnostics.md explains each.
const (
	CodeSyntax         diag.Code = 1100
	CodeTooLarge       diag.Code = 1101
	CodeTooDeep        diag.Code = 1102
	CodeDuplicateField diag.Code = 1103
	CodeUnknownField   diag.Code = 1104
	CodeMissingField   diag.Code = 1105
	CodeWrongType      diag.Code = 1106
	CodeWrongUnit      diag.Code = 1107
	CodeOutOfRange     diag.Code = 1108
	CodeInvalidValue   diag.Code = 1109
	CodeTooManyFaults  diag.Code = 1126
)

// The limits that all formats share.
const (
	// MaxValues and MaxName are the maximum number of values in a body and of bytes in a field name. They bound the memory
	// for JSON pointers: 100,000 paths of at most 8 names of 64 bytes are 51 MB.
	MaxValues = 100_000
	MaxName   = 64
	// MaxList is the maximum length of a list. Schema validation creates several errors for each invalid element: a list
	// of 98,001 empty pools took 459 MB and 2 s.
	MaxList = 5000
	// MaxDiagnostics is the maximum number of reported diagnostics.
	MaxDiagnostics = 200
	// maxCollected is the maximum number of diagnostics that are collected; the first MaxFaults of these, by position,
	// are reported.
	maxCollected = 10_000
	maxText      = 300 // maximum bytes of one message, which may quote a value of the body
)

var wholeNumber = regexp.MustCompile(`^-?[0-9]{1,9}$`)

// Format is a JSON document format: a schema with limits.
type Format struct {
	schema       *jsonschema.Schema
	maxBody      int
	maxDepth     int
	missingCodes map[string]diag.Code
}

// NewFormat compiles a JSON schema; it panics on an invalid schema, because schemas are embedded in the program. Bodies
// may have at most maxBody bytes and maxDepth levels of nesting. missingCodes maps field names to the code to report when
// such a field is missing, instead of CodeMissingField.
func NewFormat(name string, schema []byte, maxBody, maxDepth int, missingCodes map[string]diag.Code) *Format {
	document, err := jsonschema.UnmarshalJSON(bytes.NewReader(schema))
	if err != nil {
		panic("strictjson: schema " + name + ": " + err.Error())
	}
	c := jsonschema.NewCompiler()
	if err := c.AddResource(name, document); err != nil {
		panic("strictjson: schema " + name + ": " + err.Error())
	}
	return &Format{schema: c.MustCompile(name), maxBody: maxBody, maxDepth: maxDepth, missingCodes: missingCodes}
}

// Document is a body that was read, with the diagnostics found so far.
type Document struct {
	format    *Format
	file      string
	body      []byte
	validBody []byte          // the body without the invalid values; nil when it is not an object
	lines     map[string]int  // line of each JSON pointer
	reported  map[string]bool // JSON pointers with a diagnostic; later checks skip them so that each error is reported once
	list      diag.List
}

// Read parses and validates a body; file names it in the diagnostics. Invalid values are reported and left out of the
// document, so that further checks can run on the rest.
func (f *Format) Read(file string, body []byte) *Document {
	d := &Document{format: f, file: file, body: body, lines: map[string]int{}, reported: map[string]bool{}}
	if len(body) > f.maxBody {
		d.Report(CodeTooLarge, "", "the body has %d bytes; at most %d are accepted", len(body), f.maxBody)
		return d
	}
	value, err := d.parse()
	if err != nil {
		d.reportParseError(err)
		return d
	}
	validBody := d.validate(value)
	if _, object := value.(map[string]any); object {
		d.validBody = validBody
	}
	return d
}

// Unmarshal decodes the valid values into v; it returns false when the body is not an object or could not be parsed.
func (d *Document) Unmarshal(v any) bool {
	if d.validBody == nil {
		return false
	}
	if err := json.Unmarshal(d.validBody, v); err != nil {
		// Not expected: values that violate the schema were left out, so the remaining ones have the right types.
		d.Report(CodeWrongType, "", "%v", err)
		return false
	}
	return true
}

// Report adds a diagnostic for the value at a JSON pointer.
func (d *Document) Report(code diag.Code, path, format string, arguments ...any) {
	d.reported[path] = true
	if d.list.Len() < maxCollected {
		d.list.Add(diag.New(code, d.file, d.Line(path), path, truncate(fmt.Sprintf(format, arguments...))))
	}
}

// HasDiagnostic reports whether the value at a JSON pointer has a diagnostic.
func (d *Document) HasDiagnostic(path string) bool { return d.reported[path] }

// Diagnostics returns the diagnostics. If there are more than MaxFaults, it returns the first ones in the order of the
// body and a CodeTooManyFaults.
func (d *Document) Diagnostics() diag.List {
	if d.list.Len() <= MaxDiagnostics {
		return d.list
	}
	var list diag.List
	for _, fault := range d.list.All()[:MaxDiagnostics] {
		list.Add(fault)
	}
	end := 1 + bytes.Count(d.body, []byte("\n"))
	list.Add(diag.New(CodeTooManyFaults, d.file, end, "", fmt.Sprintf("only the first %d faults are listed", MaxDiagnostics)))
	return list
}

// Line returns the line of the value at a JSON pointer, or that of the nearest enclosing value if the value is missing.
func (d *Document) Line(path string) int {
	for {
		if line, ok := d.lines[path]; ok {
			return line
		}
		cut := strings.LastIndexByte(path, '/')
		if cut < 0 {
			return 1
		}
		path = path[:cut]
	}
}

func truncate(text string) string {
	if len(text) <= maxText {
		return text
	}
	return strings.ToValidUTF8(text[:maxText], "") + "..."
}

// parseError reports an exceeded limit or data after the first value, with its position; parsing ends there.
type parseError struct {
	code diag.Code
	line int
	path string
	text string
}

// Error implements error.
func (l parseError) Error() string { return l.text }

// parse decodes the body into maps and slices, and records the line of every value.
func (d *Document) parse() (any, error) {
	reader := jsontext.NewDecoder(bytes.NewReader(d.body), jsontext.AllowDuplicateNames(true))
	p := parser{d: d, reader: reader, line: 1}
	document, err := p.value("", 0)
	if err != nil {
		return nil, err
	}
	if _, err := p.next(); err == nil {
		return nil, parseError{CodeSyntax, p.line, "", "the body goes on after the first value"}
	} else if !errors.Is(err, io.EOF) {
		return nil, err
	}
	return document, nil
}

// reportParseError adds the diagnostic for the error that ended parsing.
func (d *Document) reportParseError(err error) {
	var positioned parseError
	if errors.As(err, &positioned) {
		d.list.Add(diag.New(positioned.code, d.file, positioned.line, positioned.path, positioned.text))
		return
	}
	var syntactic *jsontext.SyntacticError
	offset, path, text := len(d.body), "", err.Error()
	switch {
	case errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, io.EOF):
		text = "the body ends too early"
	case errors.As(err, &syntactic):
		offset, path, text = int(syntactic.ByteOffset), string(syntactic.JSONPointer), syntactic.Err.Error()
	}
	line := 1 + bytes.Count(d.body[:min(offset, len(d.body))], []byte("\n"))
	d.list.Add(diag.New(CodeSyntax, d.file, line, truncate(path), truncate(text)))
}

type parser struct {
	d      *Document
	reader *jsontext.Decoder
	offset int // end of the last token in the body
	line   int // line of that end, from 1
}

// next reads a token and advances offset and line to its end.
func (p *parser) next() (jsontext.Token, error) {
	token, err := p.reader.ReadToken()
	if err != nil {
		return token, err
	}
	end := int(p.reader.InputOffset())
	p.line += bytes.Count(p.d.body[p.offset:end], []byte("\n"))
	p.offset = end
	return token, nil
}

func (p *parser) value(path string, depth int) (any, error) {
	token, err := p.next()
	if err != nil {
		return nil, err
	}
	if _, named := p.d.lines[path]; !named {
		p.d.lines[path] = p.line
	}
	if len(p.d.lines) > MaxValues {
		return nil, parseError{CodeTooLarge, p.line, path, fmt.Sprintf("at most %d values are accepted", MaxValues)}
	}
	switch token.Kind() {
	case '{', '[':
		if maxLevels := p.d.format.maxDepth; depth >= maxLevels {
			return nil, parseError{CodeTooDeep, p.line, path, fmt.Sprintf("at most %d levels are accepted", maxLevels)}
		}
		if token.Kind() == '{' {
			return p.object(path, depth+1)
		}
		return p.array(path, depth+1)
	case '"':
		return token.String(), nil
	case '0':
		return p.number(path, token.String()), nil
	case 't', 'f':
		return token.Bool(), nil
	}
	return nil, nil
}

// number returns an int. Fractions, exponents and numbers of more than 9 digits are reported, because the fields cannot
// hold them; for these it returns 1, so that schema validation does not report them again.
func (p *parser) number(path, text string) any {
	if !wholeNumber.MatchString(text) {
		p.d.Report(CodeOutOfRange, path, "%s is not a whole number of at most 9 digits", text)
		return 1
	}
	n, _ := strconv.Atoi(text) // cannot fail: the pattern allows only 9 digits and a sign
	return n
}

func (p *parser) object(path string, depth int) (any, error) {
	members := map[string]any{}
	for p.reader.PeekKind() != '}' {
		token, err := p.next()
		if err != nil {
			return nil, err
		}
		name := token.String()
		if len(name) > MaxName {
			return nil, parseError{CodeTooLarge, p.line, path, fmt.Sprintf("a field name has more than %d bytes", MaxName)}
		}
		member := path + "/" + EscapePointer(name)
		first, duplicate := members[name]
		firstLine := p.d.lines[member]
		p.d.lines[member] = p.line
		if duplicate {
			p.d.Report(CodeDuplicateField, member, "the field is already given on line %d", firstLine)
			delete(p.d.reported, member) // the first value is kept and still has to be checked
		}
		if members[name], err = p.value(member, depth); err != nil {
			return nil, err
		}
		if duplicate {
			members[name] = first
		}
	}
	_, err := p.next()
	return members, err
}

func (p *parser) array(path string, depth int) (any, error) {
	elements := []any{}
	for p.reader.PeekKind() != ']' {
		if len(elements) == MaxList {
			return nil, parseError{CodeTooLarge, p.line, path, fmt.Sprintf("a list has more than %d elements", MaxList)}
		}
		element, err := p.value(path+"/"+strconv.Itoa(len(elements)), depth)
		if err != nil {
			return nil, err
		}
		elements = append(elements, element)
	}
	_, err := p.next()
	return elements, err
}

// validate reports violations of the schema and returns the body without the reported values.
func (d *Document) validate(document any) []byte {
	var invalid *jsonschema.ValidationError
	if errors.As(d.format.schema.Validate(document), &invalid) {
		d.schemaFaults(invalid)
	}
	if d.list.Len() == 0 {
		return d.body // without unknown and duplicate names, encoding/json decodes the same values
	}
	validJSON, err := json.Marshal(d.strip("", document))
	if err != nil {
		panic(err) // unreachable: the document consists of maps, slices, strings, numbers and booleans
	}
	return validJSON
}

var printer = message.NewPrinter(language.English)

func (d *Document) schemaFaults(e *jsonschema.ValidationError) {
	for _, cause := range e.Causes {
		d.schemaFaults(cause)
	}
	if len(e.Causes) > 0 {
		return
	}
	path := ""
	for _, step := range e.InstanceLocation {
		path += "/" + EscapePointer(step)
	}
	text := e.ErrorKind.LocalizedString(printer)
	switch k := e.ErrorKind.(type) {
	case *kind.AdditionalProperties:
		for _, name := range k.Properties {
			d.Report(CodeUnknownField, path+"/"+EscapePointer(name), "the field %q does not exist here", name)
		}
	case *kind.Required:
		for _, name := range k.Missing {
			code, specific := d.format.missingCodes[name]
			if !specific {
				code = CodeMissingField
			}
			d.Report(code, path+"/"+name, "the field %q is missing", name)
		}
	case *kind.Type:
		if unit := unitOf(e); unit != "" {
			d.Report(CodeWrongUnit, path, "a %s without a unit; write %s", k.Got, unit)
			return
		}
		d.Report(CodeWrongType, path, "%s", text)
	case *kind.Minimum, *kind.Maximum, *kind.MinItems, *kind.MaxItems, *kind.MaxLength:
		d.Report(CodeOutOfRange, path, "%s", text)
	case *kind.Pattern:
		if unit := unitOf(e); unit != "" {
			d.Report(CodeWrongUnit, path, "%q is not %s", k.Got, unit)
			return
		}
		d.Report(CodeInvalidValue, path, "%q is not a valid name", k.Got)
	default:
		d.Report(CodeInvalidValue, path, "%s", text)
	}
}

// strip removes the values with a diagnostic, so that later checks can run on the rest. Elements of lists are not removed
// but keep their index, because it is part of the JSON pointers: objects stay, other invalid elements become null.
func (d *Document) strip(path string, value any) any {
	switch v := value.(type) {
	case map[string]any:
		for name, member := range v {
			childPath := path + "/" + EscapePointer(name)
			_, list := member.([]any)
			if d.reported[childPath] && !list {
				delete(v, name)
				continue
			}
			v[name] = d.strip(childPath, member)
			if v[name] == nil {
				delete(v, name)
			}
		}
	case []any:
		for i, element := range v {
			childPath := path + "/" + strconv.Itoa(i)
			if d.reported[childPath] {
				if _, object := element.(map[string]any); !object {
					v[i] = nil
					continue
				}
			}
			v[i] = d.strip(childPath, element)
		}
	}
	return value
}

// unitOf returns a description of the expected number with a unit, or "" when the schema expects another kind of value.
func unitOf(e *jsonschema.ValidationError) string {
	switch {
	case strings.HasSuffix(e.SchemaURL, "/$defs/duration"):
		return "a whole number with ms, s, m, h or d"
	case strings.HasSuffix(e.SchemaURL, "/$defs/size"):
		return "a whole number with MB, GB or TB"
	}
	return ""
}

// EscapePointer escapes a field name for use in a JSON pointer.
func EscapePointer(name string) string {
	return strings.ReplaceAll(strings.ReplaceAll(name, "~", "~0"), "/", "~1")
}
