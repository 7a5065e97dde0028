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

// The diagnostics that every strict format shares; docs/diagnostics.md explains each.
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

// The bounds of every format.
const (
	// MaxValues and MaxName bound the memory for paths: 100,000 paths of at most 8 names of 64 bytes are 51 MB.
	MaxValues = 100_000
	MaxName   = 64
	// MaxList bounds each list, because the schema makes several errors for each faulty element: 98,001 empty pools
	// took 459 MB and 2 s.
	MaxList = 5000
	// MaxFaults bounds the report.
	MaxFaults = 200
	// maxCollected bounds the faults among which the first ones are found.
	maxCollected = 10_000
	maxText      = 300 // bytes of one explanation, which may quote a value of the body
)

var wholeNumber = regexp.MustCompile(`^-?[0-9]{1,9}$`)

// Format is one strict format.
type Format struct {
	schema       *jsonschema.Schema
	maxBody      int
	maxDepth     int
	missingCodes map[string]diag.Code
}

// NewFormat compiles a JSON schema, which is part of the program, so that a faulty one panics. Bodies have at most
// maxBody bytes and maxDepth levels; missingCodes gives a code of its own to missing fields with these names.
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

// Document is one body that was read, with the diagnostics found so far.
type Document struct {
	format    *Format
	file      string
	body      []byte
	validBody []byte          // the body without the refused values; nil when it is no object
	lines     map[string]int  // line of each JSON pointer
	reported  map[string]bool // pointers with a diagnostic; later checks skip them so that one fault is reported once
	list      diag.List
}

// Read reads a body; file names it in the diagnostics. Faulty values are reported and left out of the document, so that
// further checks can run on the rest.
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

// Unmarshal fills v from the values without faults; it reports false when the body is no object.
func (d *Document) Unmarshal(v any) bool {
	if d.validBody == nil {
		return false
	}
	if err := json.Unmarshal(d.validBody, v); err != nil {
		// Every value that the schema refuses was left out, so what remains has the right types.
		d.Report(CodeWrongType, "", "%v", err)
		return false
	}
	return true
}

// Report adds a diagnostic about the value at a JSON pointer.
func (d *Document) Report(code diag.Code, path, format string, arguments ...any) {
	d.reported[path] = true
	if d.list.Len() < maxCollected {
		d.list.Add(diag.New(code, d.file, d.Line(path), path, truncate(fmt.Sprintf(format, arguments...))))
	}
}

// HasDiagnostic reports whether the value at a JSON pointer has a diagnostic.
func (d *Document) HasDiagnostic(path string) bool { return d.reported[path] }

// Diagnostics returns the faults in the order of the body, up to a bound.
func (d *Document) Diagnostics() diag.List {
	if d.list.Len() <= MaxFaults {
		return d.list
	}
	var list diag.List
	for _, fault := range d.list.All()[:MaxFaults] {
		list.Add(fault)
	}
	end := 1 + bytes.Count(d.body, []byte("\n"))
	list.Add(diag.New(CodeTooManyFaults, d.file, end, "", fmt.Sprintf("only the first %d faults are listed", MaxFaults)))
	return list
}

// Line returns the line of a pointer, or that of the nearest enclosing value for a field that is missing.
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

// parseError is an exceeded bound or trailing data, with its position; parsing ends there.
type parseError struct {
	code diag.Code
	line int
	path string
	text string
}

// Error implements error.
func (l parseError) Error() string { return l.text }

// parse reads the body into maps and slices, and records the line of every value.
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

// reportParseError reports why parsing ended early.
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
	offset int
	line   int
}

// next reads a token and moves to the line on which it ends.
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
// hold them; 1 stands for them, so that the schema does not report them again.
func (p *parser) number(path, text string) any {
	if !wholeNumber.MatchString(text) {
		p.d.Report(CodeOutOfRange, path, "%s is not a whole number of at most 9 digits", text)
		return 1
	}
	n, _ := strconv.Atoi(text) // the pattern leaves no error
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
			delete(p.d.reported, member) // the first value stays and is checked
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

// validate reports what the schema refuses and returns the body without the refused values.
func (d *Document) validate(document any) []byte {
	var invalid *jsonschema.ValidationError
	if errors.As(d.format.schema.Validate(document), &invalid) {
		d.schemaFaults(invalid)
	}
	if d.list.Len() == 0 {
		return d.body // every name is exact and given once, so encoding/json reads the same values
	}
	validJSON, err := json.Marshal(d.strip("", document))
	if err != nil {
		panic(err) // maps, slices, strings, numbers and booleans always encode
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

// strip removes the values that were reported, so that the checks after the schema still run on the rest. The
// elements of lists of sections keep their places, because the places are part of the paths.
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

// unitOf describes the form of a value with a unit, or returns "" when the schema wants something else.
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
