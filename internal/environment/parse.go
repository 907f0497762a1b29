package environment

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/rattancove/rattancove/internal/strictyaml"
)

// Fault is one thing wrong with a document.
type Fault = strictyaml.Fault

// Faults is every fault of a document, ordered by place.
type Faults = strictyaml.Faults

// Parse reads a document from YAML. Absent fields get their defaults. The
// error is Faults with every fault of the document at once.
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

// Digest names a document by its bytes: SHA-256 in hexadecimal.
func Digest(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}
