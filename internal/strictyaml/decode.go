package strictyaml

import (
	"errors"
	"fmt"
	"reflect"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

const (
	// MaxBytes is the largest size of a text.
	MaxBytes = 4 << 20
	// maxDepth is the deepest nesting of a text.
	maxDepth = 64
)

// Defaulter is implemented by structs whose absent fields have defaults.
type Defaulter interface {
	// SetDefaults sets every field that has a default.
	SetDefaults()
}

type decoder struct {
	source *Source
	faults Faults
}

// Decode decodes data into target, a pointer to a struct. It continues after faults:
// the source is valid and the fields without faults are set.
func Decode(data []byte, target any) (*Source, Faults) {
	d := &decoder{source: NewSource()}
	value := reflect.ValueOf(target).Elem()
	setDefaults(value)
	d.decodeDocument(data, value)
	return d.source, d.faults
}

func (d *decoder) decodeDocument(data []byte, value reflect.Value) {
	if fault, ok := checkLimits(data); !ok {
		d.source.faultyPaths[""] = true
		d.faults = append(d.faults, fault)
		return
	}
	file, err := parser.ParseBytes(data, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		d.source.faultyPaths[""] = true
		d.faults = append(d.faults, syntaxFault(err))
		return
	}
	body, ok := d.singleDocument(file)
	if ok {
		d.decode(body, "", value)
	}
}

// singleDocument returns the body of the only document in the file, not counting
// documents that hold only comments. It reports a fault when there is not one.
func (d *decoder) singleDocument(file *ast.File) (ast.Node, bool) {
	var bodies []ast.Node
	for _, doc := range file.Docs {
		if doc.Body != nil && doc.Body.Type() != ast.CommentType && doc.Body.Type() != ast.CommentGroupType {
			bodies = append(bodies, doc.Body)
		}
	}
	switch len(bodies) {
	case 0:
		d.source.faultyPaths[""] = true
		d.faults = append(d.faults, Fault{Line: 1, Column: 1, Message: "the text is empty"})
		return nil, false
	case 1:
		return bodies[0], true
	default:
		d.fault(bodies[1], "", "only one YAML document is allowed")
		return nil, false
	}
}

func syntaxFault(err error) Fault {
	var located yaml.Error
	if !errors.As(err, &located) || located.GetToken() == nil {
		return Fault{Line: 1, Column: 1, Message: err.Error()}
	}
	p := located.GetToken().Position
	return Fault{Line: p.Line, Column: p.Column, Message: located.GetMessage()}
}

func (d *decoder) fault(node ast.Node, path, format string, args ...any) {
	p := positionOf(node)
	d.source.faultyPaths[path] = true
	d.faults = append(d.faults, Fault{
		Line: p.line, Column: p.column, Path: path, Message: fmt.Sprintf(format, args...),
	})
}

// positionOf returns the position at which a node starts. The token of a mapping is
// the colon of its first entry, so the position of that entry's key is returned.
func positionOf(node ast.Node) position {
	if m, ok := node.(ast.MapNode); ok {
		iter := m.MapRange()
		if iter.Next() {
			node = iter.KeyValue().Key
		}
	}
	if node.GetToken() == nil || node.GetToken().Position == nil {
		return position{line: 1, column: 1}
	}
	p := node.GetToken().Position
	return position{line: p.Line, column: p.Column}
}

func (d *decoder) decode(node ast.Node, path string, value reflect.Value) {
	if _, ok := d.source.positions[path]; !ok {
		d.source.positions[path] = positionOf(node)
	}
	switch node.(type) {
	case *ast.NullNode:
		d.fault(node, path, "the value is empty")
		return
	case *ast.AnchorNode, *ast.AliasNode, *ast.TagNode:
		d.fault(node, path, "anchors, aliases and tags are not allowed")
		return
	}
	switch {
	case isScalar(value):
		d.decodeScalar(node, path, value)
	case value.Kind() == reflect.Struct:
		d.decodeStruct(node, path, value)
	case value.Kind() == reflect.Slice:
		d.decodeSlice(node, path, value)
	default:
		d.fault(node, path, "fields of type %s cannot be set", value.Type())
	}
}

func (d *decoder) decodeStruct(node ast.Node, path string, value reflect.Value) {
	mapping, ok := node.(ast.MapNode)
	if !ok {
		d.fault(node, path, "must be a mapping, not %s", kindName(node))
		return
	}
	fields := structFields(value)
	seen := map[string]bool{}
	iter := mapping.MapRange()
	for iter.Next() {
		d.decodeField(iter.KeyValue(), path, fields, seen)
	}
}

func (d *decoder) decodeField(kv *ast.MappingValueNode, path string, fields map[string]reflect.Value, seen map[string]bool) {
	key := keyName(kv.Key)
	fieldPath := joinPath(path, key)
	field, known := fields[key]
	switch {
	case !known:
		d.fault(kv.Key, fieldPath, "unknown field%s", suggestion(key, fields))
	case seen[key]:
		d.fault(kv.Key, fieldPath, "the field stands twice")
	default:
		seen[key] = true
		d.source.positions[fieldPath] = positionOf(kv.Key)
		d.decode(kv.Value, fieldPath, field)
	}
}

func (d *decoder) decodeSlice(node ast.Node, path string, value reflect.Value) {
	sequence, ok := node.(*ast.SequenceNode)
	if !ok {
		d.fault(node, path, "must be a list, not %s", kindName(node))
		return
	}
	items := reflect.MakeSlice(value.Type(), len(sequence.Values), len(sequence.Values))
	for i, item := range sequence.Values {
		setDefaults(items.Index(i))
		d.decode(item, fmt.Sprintf("%s[%d]", path, i), items.Index(i))
	}
	value.Set(items)
}

func setDefaults(value reflect.Value) {
	if d, ok := value.Addr().Interface().(Defaulter); ok {
		d.SetDefaults()
	}
}

func keyName(key ast.MapKeyNode) string {
	if s, ok := key.(*ast.StringNode); ok {
		return s.Value
	}
	return strings.TrimSpace(key.String())
}
