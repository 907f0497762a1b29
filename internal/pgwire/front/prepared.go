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
	// answers a reference to it with its usual error.
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
func newPreparedStatement(p *pgproto3.Parse) (*preparedStatement, error) {
	named := p.Name != ""
	p.Name = ""
	unnamed, err := p.Encode(nil)
	if err != nil {
		return nil, err
	}
	d := &preparedStatement{parseMessage: unnamed, analysis: sqlclass.Analyze(p.Query)}
	if !named {
		return d, nil
	}
	digest := sha256.Sum256(unnamed)
	p.Name = serverNamePrefix + hex.EncodeToString(digest[:digestBytes])
	d.serverName = p.Name
	d.parseMessage, err = p.Encode(nil)
	return d, err
}

// namedStatements holds the named prepared statements of one caller.
type namedStatements struct {
	byName     map[string]*preparedStatement
	parseBytes int
}

// define adds or replaces a statement. It returns false if the caller would exceed
// a limit.
func (p *namedStatements) define(name string, d *preparedStatement, maxStatements int) bool {
	p.remove(name)
	if len(p.byName) >= maxStatements || p.parseBytes+len(d.parseMessage) > maxPreparedBytesPerCaller {
		return false
	}
	if p.byName == nil {
		p.byName = make(map[string]*preparedStatement)
	}
	p.byName[name] = d
	p.parseBytes += len(d.parseMessage)
	return true
}

// remove deletes a statement and reports whether it was defined.
func (p *namedStatements) remove(name string) bool {
	d, ok := p.byName[name]
	if !ok {
		return false
	}
	p.parseBytes -= len(d.parseMessage)
	delete(p.byName, name)
	return true
}

func (p *namedStatements) clear() { *p = namedStatements{} }

// cutCString splits data after its first zero-terminated string.
func cutCString(data []byte) (text string, rest []byte, ok bool) {
	end := bytes.IndexByte(data, 0)
	if end < 0 {
		return "", nil, false
	}
	return string(data[:end]), data[end+1:], true
}
