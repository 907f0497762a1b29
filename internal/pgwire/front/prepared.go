package front

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/rattancove/rattancove/internal/sqlclass"
)

const (
	// serverNamePrefix is the prefix of the server-side names of prepared
	// statements.
	serverNamePrefix = "rattan_"
	// undefinedName is the name of a statement that is never defined. The server
	// responds to a reference to it with its usual error.
	undefinedName = serverNamePrefix + "missing"
	// digestBytes is the number of bytes of the digest that a server-side name
	// contains.
	digestBytes = 16
	// maxPreparedBytesPerCaller bounds the total size of one caller's Parse
	// messages.
	maxPreparedBytesPerCaller = 4 << 20
)

// preparedStatement is a prepared statement of a caller. It is immutable.
type preparedStatement struct {
	// serverName is the name on the server; empty for the unnamed statement.
	serverName string
	// parseMessage is the complete Parse message with serverName as its name.
	parseMessage []byte
	analysis     sqlclass.Analysis
}

// newPreparedStatement returns the statement that a Parse message defines. The
// server-side name is a cryptographic digest of the text and the parameter types,
// because callers of a group share connections and must not be able to create two
// statements with the same name.
func newPreparedStatement(parse *pgproto3.Parse) (*preparedStatement, error) {
	named := parse.Name != ""
	parse.Name = ""
	unnamed, err := parse.Encode(nil)
	if err != nil {
		return nil, err
	}
	stmt := &preparedStatement{parseMessage: unnamed, analysis: sqlclass.Analyze(parse.Query)}
	if !named {
		return stmt, nil
	}
	digest := sha256.Sum256(unnamed)
	parse.Name = serverNamePrefix + hex.EncodeToString(digest[:digestBytes])
	stmt.serverName = parse.Name
	stmt.parseMessage, err = parse.Encode(nil)
	return stmt, err
}

// namedStatements holds the named prepared statements of one caller.
type namedStatements struct {
	byName     map[string]*preparedStatement
	parseBytes int
}

// define adds or replaces a statement. It returns false if the caller would exceed
// a limit.
func (n *namedStatements) define(name string, stmt *preparedStatement, maxStatements int) bool {
	n.remove(name)
	if len(n.byName) >= maxStatements || n.parseBytes+len(stmt.parseMessage) > maxPreparedBytesPerCaller {
		return false
	}
	if n.byName == nil {
		n.byName = make(map[string]*preparedStatement)
	}
	n.byName[name] = stmt
	n.parseBytes += len(stmt.parseMessage)
	return true
}

// remove deletes a statement and reports whether it was defined.
func (n *namedStatements) remove(name string) bool {
	stmt, ok := n.byName[name]
	if !ok {
		return false
	}
	n.parseBytes -= len(stmt.parseMessage)
	delete(n.byName, name)
	return true
}

func (n *namedStatements) clear() { *n = namedStatements{} }

// cutCString splits data after its first zero-terminated string.
func cutCString(data []byte) (text string, rest []byte, ok bool) {
	end := bytes.IndexByte(data, 0)
	if end < 0 {
		return "", nil, false
	}
	return string(data[:end]), data[end+1:], true
}
