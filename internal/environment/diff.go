package environment

import (
	"fmt"
	"reflect"
	"strings"
)

// ChangeKind is the kind of a change of a field or list item.
type ChangeKind string

// Kinds of change.
const (
	ChangeAdded    ChangeKind = "added"
	ChangeRemoved  ChangeKind = "removed"
	ChangeModified ChangeKind = "changed"
)

// Change is one difference between two documents.
type Change struct {
	// Path is the path of the field; list items are identified by name, as in
	// groups[orders].
	Path string     `json:"path"`
	Kind ChangeKind `json:"kind"`
	// Old and New are empty for whole list items.
	Old string `json:"old,omitempty"`
	New string `json:"new,omitempty"`
	// Impact is the effect that callers may notice; empty if there is none.
	Impact string `json:"danger,omitempty"`
}

// Plan lists the changes made when one document replaces another, in document order.
type Plan []Change

// HasImpact reports whether callers may notice any of the changes.
func (p Plan) HasImpact() bool {
	for _, c := range p {
		if c.Impact != "" {
			return true
		}
	}
	return false
}

// Diff returns the plan of replacing current by next. Current may be nil.
func Diff(current, next *Document) Plan {
	if current == nil {
		current = &Document{}
	}
	var p Plan
	p.compare("", reflect.ValueOf(*current), reflect.ValueOf(*next))
	return p
}

func (p *Plan) add(path string, kind ChangeKind, current, next reflect.Value) {
	c := Change{Path: path, Kind: kind}
	if kind == ChangeModified {
		c.Old, c.New = formatValue(path, current), formatValue(path, next)
	}
	c.Impact = impactOf(c, current, next)
	*p = append(*p, c)
}

// formatValue formats a value; verifiers are redacted.
func formatValue(path string, v reflect.Value) string {
	if strings.HasSuffix(path, ".verifier") && v.String() != "" {
		return "[redacted]"
	}
	return fmt.Sprint(v.Interface())
}

func (p *Plan) compare(path string, current, next reflect.Value) {
	switch {
	case current.Kind() == reflect.Struct:
		p.compareFields(path, current, next)
	case current.Kind() == reflect.Slice && current.Type().Elem().Kind() == reflect.Struct:
		p.compareItems(path, current, next)
	case current.Kind() == reflect.Slice && current.Len() == 0 && next.Len() == 0:
	case !reflect.DeepEqual(current.Interface(), next.Interface()):
		p.add(path, ChangeModified, current, next)
	}
}

func (p *Plan) compareFields(path string, current, next reflect.Value) {
	for i := range current.NumField() {
		name := current.Type().Field(i).Tag.Get("yaml")
		if path != "" {
			name = path + "." + name
		}
		p.compare(name, current.Field(i), next.Field(i))
	}
}

func (p *Plan) compareItems(path string, current, next reflect.Value) {
	remaining := itemsByName(current)
	for i := range next.Len() {
		item := next.Index(i)
		name := itemName(item)
		itemPath := path + "[" + name + "]"
		if before, ok := remaining[name]; ok {
			p.compare(itemPath, before, item)
			delete(remaining, name)
			continue
		}
		p.add(itemPath, ChangeAdded, reflect.Zero(item.Type()), item)
	}
	for i := range current.Len() {
		name := itemName(current.Index(i))
		if before, ok := remaining[name]; ok {
			p.add(path+"["+name+"]", ChangeRemoved, before, reflect.Zero(before.Type()))
		}
	}
}

func itemsByName(items reflect.Value) map[string]reflect.Value {
	byName := map[string]reflect.Value{}
	for i := range items.Len() {
		byName[itemName(items.Index(i))] = items.Index(i)
	}
	return byName
}

// itemName returns the first field of a list item, which is its name or id in all
// types of items.
func itemName(item reflect.Value) string { return item.Field(0).String() }
