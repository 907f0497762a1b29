package document

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/rotisserie/eris"
)

// Kind is the operation that created a revision.
type Kind string

// Kinds of revision.
const (
	KindPublish  Kind = "publish"
	KindPromote  Kind = "promote"
	KindRollback Kind = "rollback"
)

// Revision is an accepted change of an environment's document.
type Revision struct {
	Environment string `json:"environment"`
	// Revision is 1 for the first document of the environment and increases by one.
	Revision uint64 `json:"revision"`
	Digest   string `json:"digest"`
	// Previous is the revision that this one replaced; zero for the first.
	Previous uint64 `json:"previous"`
	Kind     Kind   `json:"kind"`
	// Source is the environment or the revision that the document was copied from;
	// empty when it was published.
	Source   string    `json:"source,omitempty"`
	ChangeID string    `json:"change_id"`
	Who      string    `json:"who"`
	Why      string    `json:"why"`
	Time     time.Time `json:"time"`
	// Override is the reason given for a change inside a change window.
	Override string `json:"override,omitempty"`
}

// Change describes a change of an environment's document: who makes it, why, and
// under which preconditions.
type Change struct {
	Environment string `json:"environment"`
	// ID makes the change idempotent: an id takes effect at most once.
	ID  string `json:"change_id"`
	Who string `json:"who"`
	Why string `json:"why"`
	// Override is the reason for a change inside a change window.
	Override string `json:"override,omitempty"`
	// IfRevision, when set, is the revision that must be in force; zero requires that
	// the environment has no document.
	IfRevision *uint64 `json:"if_revision,omitempty"`
	// IfDigest, when set, is the digest of the document that must be in force in the
	// source of a promotion.
	IfDigest string `json:"if_digest,omitempty"`
}

const (
	maxNameBytes = 63
	maxTextBytes = 500
)

// validate checks that the fields are suitable for table keys and records.
func (c Change) validate() error {
	switch {
	case !ValidName(c.Environment):
		return &RequestError{Field: "environment", Message: "must be a name of letters, digits, dots and dashes"}
	case !ValidName(c.ID):
		return &RequestError{Field: "change_id", Message: "must be a name of letters, digits, dots and dashes"}
	case c.Who == "" || len(c.Who) > maxTextBytes:
		return &RequestError{Field: "who", Message: fmt.Sprintf("must have 1 to %d bytes", maxTextBytes)}
	case c.Why == "" || len(c.Why) > maxTextBytes:
		return &RequestError{Field: "why", Message: fmt.Sprintf("must have 1 to %d bytes", maxTextBytes)}
	case len(c.Override) > maxTextBytes:
		return &RequestError{Field: "override", Message: fmt.Sprintf("must have at most %d bytes", maxTextBytes)}
	}
	return nil
}

// ValidName reports whether s may be part of a key: 1 to 63 ASCII letters, digits,
// dots, dashes and underscores.
func ValidName(s string) bool {
	if s == "" || len(s) > maxNameBytes {
		return false
	}
	for _, c := range s {
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if !letter && c != '-' && c != '_' && c != '.' {
			return false
		}
	}
	return true
}

func objectKey(environment, digest string) string { return "doc/" + environment + "/" + digest }

func pieceKey(environment, digest string) string { return "piece/" + environment + "/" + digest }

func pointerKey(environment string) string { return "env/" + environment }

func historyPrefix(environment string) string { return "hist/" + environment + "/" }

func historyKey(environment string, revision uint64) string {
	return fmt.Sprintf("%s%020d", historyPrefix(environment), revision)
}

func changeKey(environment, id string) string { return "change/" + environment + "/" + id }

func encodeRevision(r Revision) ([]byte, error) {
	data, err := json.Marshal(r)
	return data, eris.Wrap(err, "encode revision")
}

func decodeRevision(data []byte) (Revision, error) {
	var r Revision
	err := json.Unmarshal(data, &r)
	return r, eris.Wrap(err, "decode revision")
}
