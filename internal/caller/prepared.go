package caller

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// prepared is a caller's prepared statement. The name at servers is derived
// from the definition, so that callers with equal definitions share it and
// callers with equal names do not collide.
type prepared struct {
	statement Statement
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
