// Package oddinput provides malformed variants of JSON documents for the tests of
// decoders: another writer may leave any of them among valid ones.
package oddinput

import (
	"encoding/json"
	"strings"
)

const (
	// nesting is the depth of nested arrays and objects.
	nesting = 100_000
	// digits is the number of digits of numbers that no type holds.
	digits = 400
	// largeText is the length of long strings in bytes.
	largeText = 10 << 20
)

// Values returns JSON values that a field may hold instead of a valid one.
func Values() []string {
	return []string{
		`null`, `true`, `-1`, `0`, `0.5`, `1e400`, `-9223372036854775809`, `18446744073709551616`, strings.Repeat("9", digits),
		`""`, `"x"`, `"\ud800"`, "\"\xff\xfe\"", `[]`, `{}`, `[[1]]`, `{"a":{"b":1}}`,
		`"10.0.0.1:-1"`, `"10.0.0.1:0"`, `"10.0.0.1:65536"`, `"10.0.0.1:http"`, `"10.0.0.1"`, `":80"`,
		strings.Repeat("[", nesting) + strings.Repeat("]", nesting),
		strings.Repeat(`{"a":`, nesting) + "1" + strings.Repeat("}", nesting),
		`"` + strings.Repeat("a", largeText) + `"`,
	}
}

// Documents returns variants of a valid JSON object: each field missing, twice, or with
// one of Values, and documents that are no JSON.
func Documents(valid string) []string {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal([]byte(valid), &fields); err != nil {
		panic(err) // a mistake in the test
	}
	variants := []string{
		"", "{", "null", "[]", "5", "\xff\xfe", strings.Repeat("[", nesting), valid + valid, valid[:len(valid)-1],
	}
	for name := range fields {
		variants = append(variants, without(fields, name))
		for _, value := range Values() {
			variants = append(variants, with(fields, name, value))
		}
		variants = append(variants, strings.TrimSuffix(strings.TrimSpace(valid), "}")+`,"`+name+`":-1}`)
	}
	return variants
}

func without(fields map[string]json.RawMessage, name string) string {
	var members []string
	for field, value := range fields {
		if field != name {
			members = append(members, `"`+field+`":`+string(value))
		}
	}
	return "{" + strings.Join(members, ",") + "}"
}

func with(fields map[string]json.RawMessage, name, value string) string {
	rest := without(fields, name)
	separator := ","
	if rest == "{}" {
		separator = ""
	}
	return strings.TrimSuffix(rest, "}") + separator + `"` + name + `":` + value + "}"
}
