package config

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"regexp"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// FieldError is one error in a file of objects or settings.
type FieldError struct {
	File  string `json:"file,omitempty"`
	Line  int    `json:"line,omitempty"` // 0 if unknown
	Field string `json:"field,omitempty"`
	Msg   string `json:"msg"`

	value string // the value that couldn't be decoded, if the YAML library reports it
}

// Error returns the error as file:line: field: message.
func (e *FieldError) Error() string {
	s := e.File
	if e.Line > 0 {
		s += ":" + strconv.Itoa(e.Line)
	}
	if s != "" {
		s += ": "
	}
	if e.Field != "" {
		s += e.Field + ": "
	}
	return s + e.Msg
}

// InvalidError holds every error found in one file or document.
type InvalidError struct {
	Faults []FieldError `json:"faults"`
}

// Error returns the errors, one per line.
func (e *InvalidError) Error() string {
	lines := make([]string, len(e.Faults))
	for i := range e.Faults {
		lines[i] = e.Faults[i].Error()
	}
	return strings.Join(lines, "\n")
}

// located is an object with the YAML node it came from.
type located struct {
	obj  Object
	node *yaml.Node
}

// Parse decodes objects from YAML documents and checks each by itself; the error is an *InvalidError. The file name is only for error
// messages.
func Parse(file string, data []byte) ([]Object, error) {
	var (
		objs   []Object
		faults []FieldError
	)
	dec := yaml.NewDecoder(bytes.NewReader(data))
	seen := map[string]int{}
	for {
		var node yaml.Node
		err := dec.Decode(&node)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			faults = append(faults, YAMLFaults(file, err)...)
			break
		}
		loc, fs := parseOne(file, &node)
		faults = append(faults, fs...)
		if len(fs) > 0 || loc.obj.Kind == "" {
			continue
		}
		if line, dup := seen[loc.obj.ID()]; dup {
			faults = append(faults, FieldError{File: file, Line: node.Line, Field: "name", Msg: fmt.Sprintf("%s is already defined at line %d", loc.obj.ID(), line)})
		}
		seen[loc.obj.ID()] = node.Line
		objs = append(objs, loc.obj)
	}
	if len(faults) > 0 {
		return nil, &InvalidError{Faults: faults}
	}
	return objs, nil
}

// parseOne decodes and checks the object of one YAML document; an empty document gives an empty object.
func parseOne(file string, node *yaml.Node) (located, []FieldError) {
	if len(node.Content) == 0 || node.Content[0].Tag == "!!null" {
		return located{}, nil
	}
	raw, err := yaml.Marshal(node)
	if err != nil {
		return located{}, YAMLFaults(file, err)
	}
	// The node has line numbers of the whole file, so it is decoded first; the
	// second, strict decoder only detects unknown fields.
	loc := located{node: node.Content[0]}
	if err := node.Decode(&loc.obj); err != nil {
		faults := YAMLFaults(file, err)
		FillFieldNames(loc.node, faults)
		return located{}, faults
	}
	var scratch Object
	dec := yaml.NewDecoder(bytes.NewReader(raw))
	dec.KnownFields(true)
	if err := dec.Decode(&scratch); err != nil {
		return located{}, setLinesOfUnknown(YAMLFaults(file, err), loc.node)
	}
	return loc, checkObject(file, loc)
}

// setLinesOfUnknown sets the lines of unknown fields to those of the original file.
func setLinesOfUnknown(faults []FieldError, root *yaml.Node) []FieldError {
	for i := range faults {
		if line := lineOfKey(root, faults[i].Field); line > 0 {
			faults[i].Line = line
		}
	}
	return faults
}

// lineOfKey returns the line of the first mapping key below the node that equals key, or 0.
func lineOfKey(n *yaml.Node, key string) int {
	if n.Kind == yaml.MappingNode {
		for i := 0; i+1 < len(n.Content); i += 2 {
			if n.Content[i].Value == key {
				return n.Content[i].Line
			}
		}
	}
	for _, c := range n.Content {
		if line := lineOfKey(c, key); line > 0 {
			return line
		}
	}
	return 0
}

// The formats of the YAML library's error messages.
var (
	yamlLine    = regexp.MustCompile(`^(?:yaml: )?line (\d+): (.*)$`)
	yamlType    = regexp.MustCompile("^cannot unmarshal !!\\w+ `([^`]*)` into (\\S+)$")
	yamlUnknown = regexp.MustCompile(`^field (\S+) not found in type \S+$`)
)

// YAMLFaults converts an error of the YAML library to FieldErrors, with lines and fields where the error has them.
func YAMLFaults(file string, err error) []FieldError {
	var te *yaml.TypeError
	if !errors.As(err, &te) {
		return []FieldError{yamlFault(file, err.Error())}
	}
	faults := make([]FieldError, len(te.Errors))
	for i, msg := range te.Errors {
		faults[i] = yamlFault(file, msg)
	}
	return faults
}

// yamlFault converts one message of the YAML library.
func yamlFault(file, msg string) FieldError {
	f := FieldError{File: file, Msg: msg}
	if m := yamlLine.FindStringSubmatch(msg); m != nil {
		f.Line, _ = strconv.Atoi(m[1])
		f.Msg = m[2]
	}
	if m := yamlType.FindStringSubmatch(f.Msg); m != nil {
		f.value = m[1]
		f.Msg = fmt.Sprintf("%q isn't %s", m[1], describeType(m[2]))
	}
	if m := yamlUnknown.FindStringSubmatch(f.Msg); m != nil {
		f.Field = m[1]
		f.Msg = "unknown field"
	}
	return f
}

// Format returns objects as YAML documents that Parse accepts.
func Format(objs []Object) (string, error) {
	var b strings.Builder
	for i, o := range objs {
		if i > 0 {
			b.WriteString("---\n")
		}
		enc := yaml.NewEncoder(&b)
		enc.SetIndent(2)
		if err := enc.Encode(o); err != nil {
			return "", err
		}
		if err := enc.Close(); err != nil {
			return "", err
		}
	}
	return b.String(), nil
}

// describeType describes the values of a Go type for an error message.
func describeType(goType string) string {
	switch goType {
	case "time.Duration":
		return "a time with a unit, as in 500ms or 2s"
	case "bool":
		return "true or false"
	case "int", "int64", "priority.Tier":
		return "a whole number"
	default:
		return "a " + goType
	}
}

// FillFieldNames sets the missing fields of errors that have a line and a value, by finding the value on that line of the YAML tree.
func FillFieldNames(root *yaml.Node, faults []FieldError) {
	for i, f := range faults {
		if f.Field == "" && f.value != "" {
			faults[i].Field = fieldAt(root, "", f.Line, f.value)
		}
	}
}

// fieldAt returns the dotted path of the scalar on a line that begins with value, or ""; the YAML library shortens long values to end
// in "...".
func fieldAt(n *yaml.Node, path string, line int, value string) string {
	if n.Kind == yaml.ScalarNode && n.Line == line && strings.HasPrefix(n.Value, strings.TrimSuffix(value, "...")) {
		return path
	}
	for i, c := range n.Content {
		name := path
		switch n.Kind {
		case yaml.MappingNode:
			if i%2 == 0 {
				continue
			}
			name = strings.TrimPrefix(path+"."+n.Content[i-1].Value, ".")
		case yaml.SequenceNode:
			name = path + "." + strconv.Itoa(i)
		}
		if f := fieldAt(c, name, line, value); f != "" {
			return f
		}
	}
	return ""
}
