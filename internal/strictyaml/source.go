package strictyaml

import (
	"fmt"
	"strings"
)

type position struct {
	line   int
	column int
}

// Source remembers where each field of a decoded text stands.
type Source struct {
	positions   map[string]position
	faultyPaths map[string]bool
}

// NewSource returns a source that knows no places.
func NewSource() *Source {
	return &Source{positions: map[string]position{}, faultyPaths: map[string]bool{}}
}

// Fault returns a fault at path, or at the nearest enclosing field that the
// text contains.
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

// isFaulty reports whether path or a field around it could not be decoded.
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
