package dbserver

import (
	"regexp"
	"strings"
)

// tokenPattern matches the tokens that must not be split and those that are
// rewritten: quoted text, comments, casts, parameters and semicolons.
var tokenPattern = regexp.MustCompile(`(?s)'(?:[^']|'')*'|"(?:[^"]|"")*"|--[^\n]*|/\*.*?\*/|::\s*\w+(?:\(\d+\))?(?:\[\])?|\$\d+|;`)

// splitStatements splits a query string into statements. It removes comments and
// casts, and rewrites parameters from $n to ?n.
func splitStatements(query string) []string {
	var out []string
	var b strings.Builder
	endStatement := func() {
		if text := strings.TrimSpace(b.String()); text != "" {
			out = append(out, text)
		}
		b.Reset()
	}
	last := 0
	for _, span := range tokenPattern.FindAllStringIndex(query, -1) {
		b.WriteString(query[last:span[0]])
		token := query[span[0]:span[1]]
		last = span[1]
		switch {
		case token == ";":
			endStatement()
		case token[0] == '$':
			b.WriteString("?" + token[1:])
		case strings.HasPrefix(token, "::"):
		case strings.HasPrefix(token, "--"), strings.HasPrefix(token, "/*"):
			b.WriteByte(' ')
		default:
			b.WriteString(token)
		}
	}
	b.WriteString(query[last:])
	endStatement()
	return out
}
