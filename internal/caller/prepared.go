package caller

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// prepared is a caller's prepared statement. Its name at the servers is a hash of
// the definition, so that callers share equal definitions and equal names of
// different callers do not collide.
type prepared struct {
	statement  Statement
	serverName string
}

func newPrepared(s *Statement) prepared {
	access := "r:"
	if s.Writes {
		access = "w:"
	}
	sum := xxhash.Sum64String(access + s.Definition)
	return prepared{statement: *s, serverName: "p" + strconv.FormatUint(sum, 36)}
}
