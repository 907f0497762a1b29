package strictyaml

import (
	"fmt"
	"strings"
)

type position struct {
	line   int
	column int
}

// Source holds the position of each field in a decoded text, and which fields had
// faults.
type Source struct {
	positions   map[string]position
	faultyPaths map[string]bool
}

// NewSource returns a source without positions.
func NewSource() *Source {
	return &Source{positions: map[string]position{}, faultyPaths: map[string]bool{}}
}

// Fault returns a fault of the field at path. Its position is that of the field, or
// of the nearest enclosing field that the text sets.
func (s *Source) Fault(path, format string, args ...any) Fault {
	p := s.position(path)
	return Fault{Line: p.line, Column: p.column, Path: path, Message: fmt.Sprintf(format, args...)}
}

// Has reports whether the text sets the field at path.
func (s *Source) Has(path string) bool {
	_, ok := s.positions[path]
	return ok
}

func (s *Source) position(path string) position {
	for path != "" {
		if p, ok := s.positions[path]; ok {
			return p
		}
		path = parentPath(path)
	}
	return s.positions[""]
}

// isFaulty reports whether the field at path or one that encloses it could not be
// decoded.
func (s *Source) isFaulty(path string) bool {
	for path != "" {
		if s.faultyPaths[path] {
			return true
		}
		path = parentPath(path)
	}
	return s.faultyPaths[""]
}

func parentPath(path string) string {
	return path[:max(strings.LastIndexAny(path, ".["), 0)]
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
