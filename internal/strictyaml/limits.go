package strictyaml

import "fmt"

// checkSize refuses texts that are too long, or nested so deeply that parsing
// them would exhaust the stack. Brackets and list marks inside strings are
// counted as well, which the limits leave room for.
func checkSize(data []byte) (Fault, bool) {
	if len(data) > MaxBytes {
		return Fault{Line: 1, Column: 1, Message: fmt.Sprintf("the text has %d bytes, more than %d", len(data), MaxBytes)}, false
	}
	line, column, open, marks, blank := 1, 0, 0, 0, true
	previous := byte('\n')
	for _, c := range data {
		column++
		switch c {
		case '\n':
			line, column, marks, blank = line+1, 0, 0, true
		case '[', '{':
			open++
		case ']', '}':
			open = max(open-1, 0)
		case ' ', '\t':
			if previous == '-' || previous == '?' || previous == ':' {
				marks++
			}
		}
		previous = c
		if blank && c != ' ' && c != '\n' {
			blank = false
		}
		indent := 0
		if blank {
			indent = column / 2
		}
		if open > maxDepth || marks > 2*maxDepth || indent > maxDepth {
			return Fault{Line: line, Column: column, Message: "the text is nested too deeply"}, false
		}
	}
	return Fault{}, true
}
