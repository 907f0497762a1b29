package strictyaml

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Fault is one error in a YAML text.
type Fault struct {
	// Line and Column count from 1. Both are zero when the fault has no position.
	Line    int    `json:"line"`
	Column  int    `json:"column"`
	Path    string `json:"path"`
	Message string `json:"message"`
}

// String returns the fault as "line:column: path: message".
func (f Fault) String() string {
	var b strings.Builder
	if f.Line > 0 {
		fmt.Fprintf(&b, "%d:%d: ", f.Line, f.Column)
	}
	if f.Path != "" {
		b.WriteString(f.Path + ": ")
	}
	b.WriteString(f.Message)
	return b.String()
}

// Faults holds the faults of one text. Err sorts them by position.
type Faults []Fault

// Error lists the faults, one a line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// Err sorts the faults and returns them as an error, or nil when there are none.
func (f Faults) Err() error {
	if len(f) == 0 {
		return nil
	}
	slices.SortStableFunc(f, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return f
}
