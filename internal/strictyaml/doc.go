// Package strictyaml decodes YAML into structs and reports every fault at
// once, each with its line, column and field path. Unknown and repeated
// fields, values of the wrong kind, empty values, aliases and anchors are
// faults. Fields that are absent keep the defaults of the target.
package strictyaml
