package dbserver

import (
	"regexp"
	"strconv"
	"strings"
)

var (
	insertPattern      = regexp.MustCompile(`(?is)^\s*INSERT\s+INTO\s+"?(\w+)"?\s*\(([^)]*)\)\s*VALUES\s*\(([^)]*)\)`)
	tablePattern       = regexp.MustCompile(`(?is)\b(?:UPDATE|FROM|INTO)\s+"?(\w+)"?`)
	columnParamPattern = regexp.MustCompile(`(?is)"?(\w+)"?\s*(?:=|<>|!=)\s*\?(\d+)`)
)

// inferParameterTypes sets the types of parameters that correspond to BYTEA and
// BOOLEAN columns, because their text format differs from the stored form. The
// types of other parameters remain unspecified.
func (c *session) inferParameterTypes(statement *preparedStatement) {
	if len(statement.params) == 0 {
		return
	}
	table := tablePattern.FindStringSubmatch(statement.parsed.text)
	if table == nil {
		return
	}
	columnTypes := c.byteaAndBoolColumns(table[1])
	if len(columnTypes) == 0 {
		return
	}
	setType := func(name, number string) {
		index, err := strconv.Atoi(number)
		if err == nil && index >= 1 && index <= len(statement.params) && statement.params[index-1] == 0 {
			statement.params[index-1] = columnTypes[strings.ToLower(name)]
		}
	}
	for _, match := range columnParamPattern.FindAllStringSubmatch(statement.parsed.text, -1) {
		setType(match[1], match[2])
	}
	if match := insertPattern.FindStringSubmatch(statement.parsed.text); match != nil {
		names, values := strings.Split(match[2], ","), strings.Split(match[3], ",")
		for i := range min(len(names), len(values)) {
			setType(strings.Trim(names[i], ` "`), strings.TrimPrefix(strings.TrimSpace(values[i]), "?"))
		}
	}
}

// byteaAndBoolColumns returns the type OIDs of a table's BYTEA and BOOLEAN
// columns by lower-case name.
func (c *session) byteaAndBoolColumns(table string) map[string]uint32 {
	r, err := c.readWithoutSlot(command{SQL: "SELECT name, type FROM pragma_table_info(?1)", Args: []value{textValue(table)}})
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
