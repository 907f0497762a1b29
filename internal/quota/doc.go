// Package quota bounds the operations of organisations over all processes. Homes hold
// credits, which the holder of the promotion lease allocates; see
// docs/design/quotas.md. It has no input or output.
package quota
