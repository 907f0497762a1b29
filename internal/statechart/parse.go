package statechart

import (
	"errors"
	"fmt"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// LoadError is a fault in a chart file.
type LoadError struct {
	File string
	// Line counts from 1; zero means that the whole file is at fault.
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

// source is a chart as written in the file.
type source struct {
	file        string
	name        string
	initial     string
	initialLine int
	states      []string
	stateLine   map[string]int
	final       map[string]bool
	transitions []transition
}

// Parse reads and validates a chart. Errors name file and the line.
func Parse(file string, data []byte) (*Chart, error) {
	tree, err := parser.ParseBytes(data, 0)
	if err != nil {
		return nil, syntaxError(file, err)
	}
	if len(tree.Docs) != 1 || tree.Docs[0].Body == nil {
		return nil, &LoadError{File: file, Message: "want one YAML document"}
	}
	src := &source{file: file, stateLine: map[string]int{}, final: map[string]bool{}}
	if err := src.read(tree.Docs[0].Body); err != nil {
		return nil, err
	}
	if err := src.validate(); err != nil {
		return nil, err
	}
	return src.chart(), nil
}

// syntaxError gives a YAML error the form of a LoadError.
func syntaxError(file string, err error) error {
	var y yaml.Error
	if errors.As(err, &y) {
		return &LoadError{File: file, Line: y.GetToken().Position.Line, Message: y.GetMessage()}
	}
	return &LoadError{File: file, Message: err.Error()}
}

func (s *source) read(body ast.Node) error {
	return s.each(body, func(key string, value ast.Node) error {
		var err error
		switch key {
		case "name":
			s.name, err = s.text(value)
		case "initial":
			s.initialLine = line(value)
			s.initial, err = s.text(value)
		case "states":
			err = s.each(value, s.readState)
		default:
			err = s.fault(value, "unknown field %q", key)
		}
		return err
	})
}

func (s *source) readState(state string, body ast.Node) error {
	s.states = append(s.states, state)
	s.stateLine[state] = line(body)
	return s.each(body, func(key string, value ast.Node) error {
		switch key {
		case "final":
			b, ok := value.(*ast.BoolNode)
			if !ok {
				return s.fault(value, "final: want true or false")
			}
			s.final[state] = b.Value
			return nil
		case "on":
			return s.each(value, func(event string, target ast.Node) error {
				return s.readTransition(state, event, target)
			})
		default:
			return s.fault(value, "state %q: unknown field %q", state, key)
		}
	})
}

func (s *source) readTransition(state, event string, target ast.Node) error {
	to, err := s.text(target)
	if err != nil {
		return err
	}
	s.transitions = append(s.transitions, transition{from: state, event: event, to: to, line: line(target)})
	return nil
}

// each calls f for every entry of a mapping.
func (s *source) each(node ast.Node, f func(key string, value ast.Node) error) error {
	m, ok := node.(ast.MapNode)
	if !ok {
		return s.fault(node, "want a mapping")
	}
	seen := map[string]bool{}
	for it := m.MapRange(); it.Next(); {
		key := it.Key().String()
		if seen[key] {
			return s.fault(it.Key(), "duplicate %q", key)
		}
		seen[key] = true
		if err := f(key, it.Value()); err != nil {
			return err
		}
	}
	return nil
}

func (s *source) text(node ast.Node) (string, error) {
	n, ok := node.(*ast.StringNode)
	if !ok || n.Value == "" {
		return "", s.fault(node, "want a name")
	}
	return n.Value, nil
}

func (s *source) fault(node ast.Node, format string, args ...any) error {
	return s.faultAt(line(node), format, args...)
}

func (s *source) faultAt(line int, format string, args ...any) error {
	return &LoadError{File: s.file, Line: line, Message: fmt.Sprintf(format, args...)}
}

func line(node ast.Node) int { return node.GetToken().Position.Line }
