package strictyaml

import "fmt"

// checkLimits rejects texts that are too long, or nested so deeply that parsing them
// would exhaust the stack. It counts open brackets, the indicators of lists, keys and
// values on a line, and the indentation. Brackets and indicators inside of strings
// count as well; the limits leave room for them.
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
