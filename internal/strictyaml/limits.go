package strictyaml

import "fmt"

// checkLimits refuses texts that are too long, or nested so deeply that parsing
// them would exhaust the stack. Brackets and list marks inside strings are
// counted as well, which the limits leave room for.
func checkLimits(data []byte) (Fault, bool) {
	if len(data) > MaxBytes {
		return Fault{Line: 1, Column: 1, Message: fmt.Sprintf("the text has %d bytes, more than %d", len(data), MaxBytes)}, false
	}
	line, column, openBrackets, indicators, inIndent := 1, 0, 0, 0, true
	previous := byte('\n')
	for _, c := range data {
		column++
		switch c {
		case '\n':
			line, column, indicators, inIndent = line+1, 0, 0, true
		case '[', '{':
			openBrackets++
		case ']', '}':
			openBrackets = max(openBrackets-1, 0)
		case ' ', '\t':
			if previous == '-' || previous == '?' || previous == ':' {
				indicators++
			}
		}
		previous = c
		if inIndent && c != ' ' && c != '\n' {
			inIndent = false
		}
		indent := 0
		if inIndent {
			indent = column / 2
		}
		if openBrackets > maxDepth || indicators > 2*maxDepth || indent > maxDepth {
			return Fault{Line: line, Column: column, Message: "the text is nested too deeply"}, false
		}
	}
	return Fault{}, true
}
