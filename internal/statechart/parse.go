package statechart

import (
	"errors"
	"fmt"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// LoadError reports an error in a chart file.
type LoadError struct {
	File string
	// Line counts from 1; zero means that the error concerns the whole file.
	Line    int
	Message string
}

// Error implements error.
func (e *LoadError) Error() string {
	return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Message)
}

// transition is one transition as written in the file.
type transition struct {
	from, event, to string
	line            int
}

// definition is a chart as written in the file.
type definition struct {
	file        string
	name        string
	initial     string
	initialLine int
	states      []string
	stateLines  map[string]int
	final       map[string]bool
	transitions []transition
}

// Parse parses and validates a chart. Errors include the file and the line.
func Parse(file string, data []byte) (*Chart, error) {
	tree, err := parser.ParseBytes(data, 0)
	if err != nil {
		return nil, syntaxError(file, err)
	}
	if len(tree.Docs) != 1 || tree.Docs[0].Body == nil {
		return nil, &LoadError{File: file, Message: "want one YAML document"}
	}
	def := &definition{file: file, stateLines: map[string]int{}, final: map[string]bool{}}
	if err := def.decode(tree.Docs[0].Body); err != nil {
		return nil, err
	}
	if err := def.validate(); err != nil {
		return nil, err
	}
	return def.build(), nil
}

// syntaxError converts an error of the YAML parser to a LoadError.
func syntaxError(file string, err error) error {
	var yamlErr yaml.Error
	if errors.As(err, &yamlErr) {
		return &LoadError{File: file, Line: yamlErr.GetToken().Position.Line, Message: yamlErr.GetMessage()}
	}
	return &LoadError{File: file, Message: err.Error()}
}

func (d *definition) decode(body ast.Node) error {
	return d.forEach(body, func(key string, value ast.Node) error {
		var err error
		switch key {
		case "name":
			d.name, err = d.nodeName(value)
		case "initial":
			d.initialLine = lineOf(value)
			d.initial, err = d.nodeName(value)
		case "states":
			err = d.forEach(value, d.decodeState)
		default:
			err = d.errorAt(value, "unknown field %q", key)
		}
		return err
	})
}

func (d *definition) decodeState(state string, body ast.Node) error {
	d.states = append(d.states, state)
	d.stateLines[state] = lineOf(body)
	return d.forEach(body, func(key string, value ast.Node) error {
		switch key {
		case "final":
			b, ok := value.(*ast.BoolNode)
			if !ok {
				return d.errorAt(value, "final: want true or false")
			}
			d.final[state] = b.Value
			return nil
		case "on":
			return d.forEach(value, func(event string, target ast.Node) error {
				return d.decodeTransition(state, event, target)
			})
		default:
			return d.errorAt(value, "state %q: unknown field %q", state, key)
		}
	})
}

func (d *definition) decodeTransition(state, event string, target ast.Node) error {
	to, err := d.nodeName(target)
	if err != nil {
		return err
	}
	d.transitions = append(d.transitions, transition{from: state, event: event, to: to, line: lineOf(target)})
	return nil
}

// forEach calls f for each entry of a mapping and rejects duplicate keys.
func (d *definition) forEach(node ast.Node, f func(key string, value ast.Node) error) error {
	m, ok := node.(ast.MapNode)
	if !ok {
		return d.errorAt(node, "want a mapping")
	}
	seen := map[string]bool{}
	for it := m.MapRange(); it.Next(); {
		key := it.Key().String()
		if seen[key] {
			return d.errorAt(it.Key(), "duplicate %q", key)
		}
		seen[key] = true
		if err := f(key, it.Value()); err != nil {
			return err
		}
	}
	return nil
}

func (d *definition) nodeName(node ast.Node) (string, error) {
	n, ok := node.(*ast.StringNode)
	if !ok || n.Value == "" {
		return "", d.errorAt(node, "want a name")
	}
	return n.Value, nil
}

func (d *definition) errorAt(node ast.Node, format string, args ...any) error {
	return d.errorAtLine(lineOf(node), format, args...)
}

func (d *definition) errorAtLine(line int, format string, args ...any) error {
	return &LoadError{File: d.file, Line: line, Message: fmt.Sprintf(format, args...)}
}

func lineOf(node ast.Node) int { return node.GetToken().Position.Line }
