package environment

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/rattancove/rattancove/internal/strictyaml"
)

// Fault is a validation error of a document.
type Fault = strictyaml.Fault

// Faults is the list of all validation errors of a document, ordered by position.
type Faults = strictyaml.Faults

// Parse parses a document from YAML. Absent fields get their default values. The
// error is Faults and lists all validation errors.
func Parse(data []byte) (*Document, error) {
	var d Document
	source, faults := strictyaml.Decode(data, &d)
	faults = append(faults, source.Validate(strictyaml.NewValidator(), &d)...)
	c := checker{source: source}
	c.check(&d)
	faults = append(faults, c.faults...)
	if err := faults.Err(); err != nil {
		return nil, err
	}
	return &d, nil
}

// Digest returns the SHA-256 digest of a document's text in hexadecimal.
func Digest(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}
