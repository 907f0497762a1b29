package dbserver

import (
	"regexp"
	"strings"
)

// tokenPattern matches what must not be taken apart, and what is rewritten:
// quoted text, comments, casts and parameters.
var tokenPattern = regexp.MustCompile(`(?s)'(?:[^']|'')*'|"(?:[^"]|"")*"|--[^\n]*|/\*.*?\*/|::\s*\w+(?:\(\d+\))?(?:\[\])?|\$\d+|;`)

// split cuts a query string into statements without comments, with parameters
// in the form ?n and without casts.
func split(query string) []string {
	var out []string
	var b strings.Builder
	flush := func() {
		if text := strings.TrimSpace(b.String()); text != "" {
			out = append(out, text)
		}
		b.Reset()
	}
	last := 0
	for _, at := range tokenPattern.FindAllStringIndex(query, -1) {
		b.WriteString(query[last:at[0]])
		token := query[at[0]:at[1]]
		last = at[1]
		switch {
		case token == ";":
			flush()
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
	flush()
	return out
}
