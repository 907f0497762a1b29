// Package strictyaml decodes YAML into structs and reports all faults together, each
// with its line, column and field path. Unknown and duplicate fields, values of the
// wrong type, empty values, aliases, anchors and tags are faults. Absent fields keep
// the defaults of the target.
package strictyaml
