package strictyaml

import (
	"encoding"
	"reflect"
	"time"

	"github.com/goccy/go-yaml/ast"
)

var (
	durationType        = reflect.TypeFor[time.Duration]()
	textUnmarshalerType = reflect.TypeFor[encoding.TextUnmarshaler]()
)

// isScalar reports whether value is decoded from a YAML scalar. Types that unmarshal
// text are scalars.
func isScalar(value reflect.Value) bool {
	if reflect.PointerTo(value.Type()).Implements(textUnmarshalerType) {
		return true
	}
	return value.Kind() != reflect.Struct && value.Kind() != reflect.Slice
}

func (d *decoder) decodeScalar(node ast.Node, path string, value reflect.Value) {
	text, isText := stringOf(node)
	if u, ok := value.Addr().Interface().(encoding.TextUnmarshaler); ok {
		if !isText {
			d.fault(node, path, "must be a string, not %s", kindName(node))
		} else if err := u.UnmarshalText([]byte(text)); err != nil {
			d.fault(node, path, "%s", err)
		}
		return
	}
	if value.Type() == durationType {
		d.decodeDuration(node, path, value)
		return
	}
	switch value.Kind() {
	case reflect.String:
		if !isText {
			d.fault(node, path, "must be a string, not %s", kindName(node))
			return
		}
		value.SetString(text)
	case reflect.Bool:
		d.decodeBool(node, path, value)
	case reflect.Int, reflect.Int32, reflect.Int64:
		d.decodeInt(node, path, value)
	case reflect.Float64:
		d.decodeFloat(node, path, value)
	default:
		d.fault(node, path, "fields of type %s cannot be set", value.Type())
	}
}

func (d *decoder) decodeDuration(node ast.Node, path string, value reflect.Value) {
	text, _ := stringOf(node)
	duration, err := time.ParseDuration(text)
	if err != nil {
		d.fault(node, path, "must be a duration with a unit, such as 500ms or 5s")
		return
	}
	value.SetInt(int64(duration))
}

func (d *decoder) decodeBool(node ast.Node, path string, value reflect.Value) {
	b, ok := node.(*ast.BoolNode)
	if !ok {
		d.fault(node, path, "must be true or false, not %s", kindName(node))
		return
	}
	value.SetBool(b.Value)
}

func (d *decoder) decodeInt(node ast.Node, path string, value reflect.Value) {
	n, ok := int64Of(node)
	if !ok || value.OverflowInt(n) {
		d.fault(node, path, "must be a whole number, not %s", kindName(node))
		return
	}
	value.SetInt(n)
}

func (d *decoder) decodeFloat(node ast.Node, path string, value reflect.Value) {
	if f, ok := node.(*ast.FloatNode); ok {
		value.SetFloat(f.Value)
		return
	}
	n, ok := int64Of(node)
	if !ok {
		d.fault(node, path, "must be a number, not %s", kindName(node))
		return
	}
	value.SetFloat(float64(n))
}

func int64Of(node ast.Node) (int64, bool) {
	n, ok := node.(*ast.IntegerNode)
	if !ok {
		return 0, false
	}
	switch v := n.Value.(type) {
	case int64:
		return v, true
	case uint64:
		return int64(v), v <= 1<<63-1
	default:
		return 0, false
	}
}

func stringOf(node ast.Node) (string, bool) {
	switch n := node.(type) {
	case *ast.StringNode:
		return n.Value, true
	case *ast.LiteralNode:
		return n.Value.Value, true
	default:
		return "", false
	}
}

var kindNames = map[ast.NodeType]string{
	ast.MappingType:      "a mapping",
	ast.MappingValueType: "a mapping",
	ast.SequenceType:     "a list",
	ast.StringType:       "a string",
	ast.LiteralType:      "a string",
	ast.IntegerType:      "a whole number",
	ast.FloatType:        "a number",
	ast.BoolType:         "a boolean",
	ast.NullType:         "an empty value",
}

func kindName(node ast.Node) string {
	if name, ok := kindNames[node.Type()]; ok {
		return name
	}
	return "a value of type " + node.Type().String()
}
