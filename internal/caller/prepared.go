package caller

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// preparedStatement is a caller's prepared statement. Its name at the servers is a hash of
// the definition, so that callers share equal definitions and equal names of
// different callers do not collide.
type preparedStatement struct {
	statement  Statement
	serverName string
}

func newPreparedStatement(s *Statement) preparedStatement {
	access := "r:"
	if s.Writes {
		access = "w:"
	}
	sum := xxhash.Sum64String(access + s.Definition)
	return preparedStatement{statement: *s, serverName: "p" + strconv.FormatUint(sum, 36)}
}
