package config

import (
	"bytes"
	_ "embed"
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

const (
	// MaxBody bounds a configuration in bytes. The target of 31 pools and 290 teams takes about 100 KB.
	MaxBody = 4 << 20
	// maxDepth bounds the nesting; a valid configuration has 4 levels.
	maxDepth = 8
	// maxValues and maxName bound the memory for paths: 100,000 paths of at most 8 names of 64 bytes are 51 MB.
	maxValues = 100_000
	maxName   = 64
	// maxList bounds each list, because the schema makes several errors for each faulty element: 98,001 empty pools
	// took 459 MB and 2 s.
	maxList = 5000
	// maxFaults bounds the report and maxCollected the faults among which the first ones are found.
	maxFaults    = 200
	maxCollected = 10_000
	maxText      = 300 // bytes of one explanation, which may quote a value of the body
)

//go:embed schema.json
var schemaBody []byte

var schema = compileSchema()

var wholeNumber = regexp.MustCompile(`^-?[0-9]{1,9}$`)

func compileSchema() *jsonschema.Schema {
	document, err := jsonschema.UnmarshalJSON(bytes.NewReader(schemaBody))
	if err != nil {
		panic("config: schema: " + err.Error())
	}
	c := jsonschema.NewCompiler()
	if err := c.AddResource("magnoliaferry:configuration", document); err != nil {
		panic("config: schema: " + err.Error())
	}
	return c.MustCompile("magnoliaferry:configuration")
}

// Decode reads a configuration strictly; on any fault it returns nil and every diagnostic it found.
func Decode(file string, body []byte) (*Configuration, diag.List) {
	d := &decoder{file: file, body: body, lines: map[string]int{}, bad: map[string]bool{}}
	if len(body) > MaxBody {
		d.report(CodeTooLarge, "", "the body has %d bytes; at most %d are accepted", len(body), MaxBody)
		return nil, d.list
	}
	document, err := d.parse()
	if err != nil {
		d.stop(err)
		return nil, d.list
	}
	sound := d.validate(document)
	var wire documentWire
	if _, ok := document.(map[string]any); ok {
		wire.Weights = weightsWire{25, 25, 25, 25}
		if err := json.Unmarshal(sound, &wire); err != nil {
			// Every value that the schema refuses was removed, so what is left has the right types.
			d.report(CodeWrongType, "", "%v", err)
			return nil, d.list
		}
		d.check(wire.fields())
	}
	if d.list.Len() > 0 {
		return nil, d.first()
	}
	return New(toWire(wire.fields()).fields()), d.list
}

// Check returns the faults of fields that were built in memory; lines are those of the canonical body.
func Check(f Fields) diag.List {
	_, list := Decode(f.Name+".json", Encode(New(f)))
	return list
}

// decoder collects the diagnostics of one body.
type decoder struct {
	file  string
	body  []byte
	lines map[string]int  // line of each JSON pointer
	bad   map[string]bool // pointers with a diagnostic; later checks skip them so that one fault is reported once
	list  diag.List
}

func (d *decoder) report(code diag.Code, path, format string, arguments ...any) {
	d.bad[path] = true
	if d.list.Len() < maxCollected {
		d.list.Add(diag.New(code, d.file, d.line(path), path, shorten(fmt.Sprintf(format, arguments...))))
	}
}

// first returns the faults in the order of the body, up to the bound of a report.
func (d *decoder) first() diag.List {
	if d.list.Len() <= maxFaults {
		return d.list
	}
	var list diag.List
	for _, fault := range d.list.All()[:maxFaults] {
		list.Add(fault)
	}
	end := 1 + bytes.Count(d.body, []byte("\n"))
	list.Add(diag.New(CodeTooMany, d.file, end, "", fmt.Sprintf("only the first %d faults are listed", maxFaults)))
	return list
}

func shorten(text string) string {
	if len(text) <= maxText {
		return text
	}
	return strings.ToValidUTF8(text[:maxText], "") + "..."
}

// line returns the line of a pointer, or that of the nearest enclosing value for a field that is missing.
func (d *decoder) line(path string) int {
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

// limit is a bound of the input that the body exceeds; parsing ends there.
type limit struct {
	code diag.Code
	line int
	path string
	text string
}

// Error implements error.
func (l limit) Error() string { return l.text }

// parse reads the body into maps and slices, and records the line of every value.
func (d *decoder) parse() (any, error) {
	reader := jsontext.NewDecoder(bytes.NewReader(d.body), jsontext.AllowDuplicateNames(true))
	p := parser{d: d, reader: reader, line: 1}
	document, err := p.value("", 0)
	if err != nil {
		return nil, err
	}
	if _, err := p.next(); err == nil {
		return nil, limit{CodeSyntax, p.line, "", "the body goes on after the configuration"}
	} else if !errors.Is(err, io.EOF) {
		return nil, err
	}
	return document, nil
}

// stop reports why parsing ended early.
func (d *decoder) stop(err error) {
	var exceeded limit
	if errors.As(err, &exceeded) {
		d.list.Add(diag.New(exceeded.code, d.file, exceeded.line, exceeded.path, exceeded.text))
		return
	}
	var syntactic *jsontext.SyntacticError
	offset, path, text := len(d.body), "", err.Error()
	switch {
	case errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, io.EOF):
		text = "the body ends before the configuration does"
	case errors.As(err, &syntactic):
		offset, path, text = int(syntactic.ByteOffset), string(syntactic.JSONPointer), syntactic.Err.Error()
	}
	line := 1 + bytes.Count(d.body[:min(offset, len(d.body))], []byte("\n"))
	d.list.Add(diag.New(CodeSyntax, d.file, line, shorten(path), shorten(text)))
}

type parser struct {
	d      *decoder
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
	if len(p.d.lines) > maxValues {
		return nil, limit{CodeTooLarge, p.line, path, fmt.Sprintf("at most %d values are accepted", maxValues)}
	}
	switch token.Kind() {
	case '{', '[':
		if depth >= maxDepth {
			return nil, limit{CodeTooDeep, p.line, path, fmt.Sprintf("at most %d levels are accepted", maxDepth)}
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
		p.d.report(CodeOutOfRange, path, "%s is not a whole number of at most 9 digits", text)
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
		if len(name) > maxName {
			return nil, limit{CodeTooLarge, p.line, path, fmt.Sprintf("a field name has more than %d bytes", maxName)}
		}
		member := path + "/" + escapePointer(name)
		first, twice := members[name]
		firstLine := p.d.lines[member]
		p.d.lines[member] = p.line
		if twice {
			p.d.report(CodeDuplicateField, member, "the field is already given on line %d", firstLine)
			delete(p.d.bad, member) // the first value stays and is checked
		}
		if members[name], err = p.value(member, depth); err != nil {
			return nil, err
		}
		if twice {
			members[name] = first
		}
	}
	_, err := p.next()
	return members, err
}

func (p *parser) array(path string, depth int) (any, error) {
	elements := []any{}
	for p.reader.PeekKind() != ']' {
		if len(elements) == maxList {
			return nil, limit{CodeTooLarge, p.line, path, fmt.Sprintf("a list has more than %d elements", maxList)}
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
func (d *decoder) validate(document any) []byte {
	var invalid *jsonschema.ValidationError
	if errors.As(schema.Validate(document), &invalid) {
		d.schemaFaults(invalid)
	}
	if d.list.Len() == 0 {
		return d.body // every name is exact and given once, so encoding/json reads the same values
	}
	return marshal(d.strip("", document))
}

var printer = message.NewPrinter(language.English)

func (d *decoder) schemaFaults(e *jsonschema.ValidationError) {
	for _, cause := range e.Causes {
		d.schemaFaults(cause)
	}
	if len(e.Causes) > 0 {
		return
	}
	path := ""
	for _, step := range e.InstanceLocation {
		path += "/" + escapePointer(step)
	}
	text := e.ErrorKind.LocalizedString(printer)
	switch k := e.ErrorKind.(type) {
	case *kind.AdditionalProperties:
		for _, name := range k.Properties {
			d.report(CodeUnknownField, path+"/"+escapePointer(name), "the field %q does not exist here", name)
		}
	case *kind.Required:
		for _, name := range k.Missing {
			code := CodeMissingField
			if name == "contact" {
				code = CodeContact
			}
			d.report(code, path+"/"+name, "the field %q is missing", name)
		}
	case *kind.Type:
		if unit := unitOf(e); unit != "" {
			d.report(CodeWrongUnit, path, "a %s without a unit; write %s", k.Got, unit)
			return
		}
		d.report(CodeWrongType, path, "%s", text)
	case *kind.Minimum, *kind.Maximum, *kind.MinItems, *kind.MaxItems, *kind.MaxLength:
		d.report(CodeOutOfRange, path, "%s", text)
	case *kind.Pattern:
		if unit := unitOf(e); unit != "" {
			d.report(CodeWrongUnit, path, "%q is not %s", k.Got, unit)
			return
		}
		d.report(CodeInvalidValue, path, "%q is not a valid name", k.Got)
	default:
		d.report(CodeInvalidValue, path, "%s", text)
	}
}

// strip removes the values that were reported, so that the checks after the schema still run on the rest. The
// elements of lists of sections keep their places, because the places are part of the paths.
func (d *decoder) strip(path string, value any) any {
	switch v := value.(type) {
	case map[string]any:
		for name, member := range v {
			at := path + "/" + escapePointer(name)
			_, list := member.([]any)
			if d.bad[at] && !list {
				delete(v, name)
				continue
			}
			v[name] = d.strip(at, member)
			if v[name] == nil {
				delete(v, name)
			}
		}
	case []any:
		for i, element := range v {
			at := path + "/" + strconv.Itoa(i)
			if d.bad[at] {
				if _, object := element.(map[string]any); !object {
					v[i] = nil
					continue
				}
			}
			v[i] = d.strip(at, element)
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

func escapePointer(name string) string {
	return strings.ReplaceAll(strings.ReplaceAll(name, "~", "~0"), "/", "~1")
}
