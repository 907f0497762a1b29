package dbserver

import (
	"regexp"
	"strconv"
	"strings"
)

var (
	insertPattern   = regexp.MustCompile(`(?is)^\s*INSERT\s+INTO\s+"?(\w+)"?\s*\(([^)]*)\)\s*VALUES\s*\(([^)]*)\)`)
	tablePattern    = regexp.MustCompile(`(?is)\b(?:UPDATE|FROM|INTO)\s+"?(\w+)"?`)
	assignedPattern = regexp.MustCompile(`(?is)"?(\w+)"?\s*(?:=|<>|!=)\s*\?(\d+)`)
)

// inferTypes gives the parameters that stand for binary and boolean columns
// their types, because their text forms differ from what the engine stores.
// The other parameters stay of unknown type.
func (c *session) inferTypes(st *preparedStatement) {
	if len(st.params) == 0 {
		return
	}
	table := tablePattern.FindStringSubmatch(st.parsed.text)
	if table == nil {
		return
	}
	typed := c.typedColumns(table[1])
	if len(typed) == 0 {
		return
	}
	mark := func(name, number string) {
		n, err := strconv.Atoi(number)
		if err == nil && n >= 1 && n <= len(st.params) && st.params[n-1] == 0 {
			st.params[n-1] = typed[strings.ToLower(name)]
		}
	}
	for _, m := range assignedPattern.FindAllStringSubmatch(st.parsed.text, -1) {
		mark(m[1], m[2])
	}
	if m := insertPattern.FindStringSubmatch(st.parsed.text); m != nil {
		names, values := strings.Split(m[2], ","), strings.Split(m[3], ",")
		for i := range min(len(names), len(values)) {
			mark(strings.Trim(names[i], ` "`), strings.TrimPrefix(strings.TrimSpace(values[i]), "?"))
		}
	}
}

// typedColumns returns the types of the binary and boolean columns of a table
// by lower-case name.
func (c *session) typedColumns(table string) map[string]uint32 {
	r, err := c.probe(command{SQL: "SELECT name, type FROM pragma_table_info(?1)", Args: []value{textValue(table)}})
	if err != nil {
		return nil
	}
	out := map[string]uint32{}
	for _, row := range r.rows {
		name, _ := row[0].(string)
		decl, _ := row[1].(string)
		if oid := oidOf(decl, nil); oid == oidBytea || oid == oidBool {
			out[strings.ToLower(name)] = oid
		}
	}
	return out
}
