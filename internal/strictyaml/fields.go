package strictyaml

import (
	"fmt"
	"reflect"
	"strings"
)

// Field describes a field that a text may set.
type Field struct {
	// Path is the path of the field, with "[]" for the items of a list.
	Path string
	Type string
	// Default is the value that an absent field has: Required when the field must be
	// set, and None when it is an empty string.
	Default string
}

// Values of Field.Default for fields without a default value.
const (
	Required = "required"
	None     = "none"
)

// Fields lists every scalar field of target, a pointer to a struct, in the
// order of declaration.
func Fields(target any) []Field {
	value := reflect.ValueOf(target).Elem()
	setDefaults(value)
	return appendFields(nil, "", "", value)
}

// appendFields appends the scalar fields of value. rules is the validation tag of the
// field that holds value.
func appendFields(fields []Field, path, rules string, value reflect.Value) []Field {
	switch {
	case isScalar(value):
		return append(fields, Field{Path: path, Type: typeName(value), Default: defaultText(value, rules)})
	case value.Kind() == reflect.Slice:
		item := reflect.New(value.Type().Elem()).Elem()
		setDefaults(item)
		return appendFields(fields, path+"[]", rules, item)
	}
	for i := range value.NumField() {
		field := value.Type().Field(i)
		name, inline, ok := yamlName(field)
		switch {
		case inline:
			fields = appendFields(fields, path, "", value.Field(i))
		case ok:
			fields = appendFields(fields, joinPath(path, name), field.Tag.Get("validate"), value.Field(i))
		}
	}
	return fields
}

func typeName(value reflect.Value) string {
	if value.Type() == durationType {
		return "duration"
	}
	switch value.Kind() {
	case reflect.Bool:
		return "boolean"
	case reflect.Int, reflect.Int32, reflect.Int64:
		return "integer"
	case reflect.Float64:
		return "number"
	default:
		return "string"
	}
}

func defaultText(value reflect.Value, rules string) string {
	switch {
	case !value.IsZero():
		return fmt.Sprint(value.Interface())
	case isRequired(value, rules):
		return Required
	case value.Kind() == reflect.String:
		return None
	default:
		return fmt.Sprint(value.Interface())
	}
}

// isRequired reports whether the validation rules reject the zero value.
func isRequired(value reflect.Value, rules string) bool {
	for rule := range strings.SplitSeq(rules, ",") {
		minimum, bounded := strings.CutPrefix(rule, "gte=")
		if rule == "required" || bounded && minimum != "0" && value.CanInt() {
			return true
		}
	}
	return false
}

// structFields returns the settable fields of a struct by their YAML names.
func structFields(value reflect.Value) map[string]reflect.Value {
	fields := map[string]reflect.Value{}
	for i := range value.NumField() {
		name, inline, ok := yamlName(value.Type().Field(i))
		switch {
		case inline:
			for k, v := range structFields(value.Field(i)) {
				fields[k] = v
			}
		case ok:
			fields[name] = value.Field(i)
		}
	}
	return fields
}

func yamlName(f reflect.StructField) (name string, inline, ok bool) {
	name, options, _ := strings.Cut(f.Tag.Get("yaml"), ",")
	if options == "inline" {
		return "", true, false
	}
	return name, false, name != "" && name != "-"
}

// suggestion returns a hint at a known field that differs from key only in case or
// separators.
func suggestion(key string, fields map[string]reflect.Value) string {
	normalize := strings.NewReplacer("-", "", "_", "")
	for name := range fields {
		if strings.EqualFold(normalize.Replace(name), normalize.Replace(key)) {
			return "; did you mean " + name + "?"
		}
	}
	return ""
}
