package front

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/rattancove/rattancove/internal/sqlclass"
)

const (
	// serverNamePrefix starts the server-side names of prepared statements.
	serverNamePrefix = "rattan_"
	// missingName is never defined, so that the server answers a reference to
	// it with its own error.
	missingName = serverNamePrefix + "missing"
	// digestBytes is the part of the digest in a server-side name.
	digestBytes = 16
	// preparedBytesPerCaller bounds the definitions of one caller.
	preparedBytesPerCaller = 4 << 20
)

// definition is a prepared statement of a caller. It does not change.
type definition struct {
	// name is the server-side name; empty for the unnamed statement.
	name string
	// parse is the complete Parse message under name.
	parse    []byte
	analysis sqlclass.Analysis
}

// newDefinition returns the definition for a Parse message. The server-side
// name is a cryptographic digest of the text and the parameter types, because
// callers of one group share connections and must not be able to make two
// definitions collide.
func newDefinition(p *pgproto3.Parse) (*definition, error) {
	named := p.Name != ""
	p.Name = ""
	unnamed, err := p.Encode(nil)
	if err != nil {
		return nil, err
	}
	d := &definition{parse: unnamed, analysis: sqlclass.Analyze(p.Query)}
	if !named {
		return d, nil
	}
	digest := sha256.Sum256(unnamed)
	p.Name = serverNamePrefix + hex.EncodeToString(digest[:digestBytes])
	d.name = p.Name
	d.parse, err = p.Encode(nil)
	return d, err
}

// prepared holds the named prepared statements of one caller.
type prepared struct {
	byName map[string]*definition
	bytes  int
}

// put defines or replaces a statement. It reports false when the caller holds
// too many.
func (p *prepared) put(name string, d *definition, limit int) bool {
	p.remove(name)
	if len(p.byName) >= limit || p.bytes+len(d.parse) > preparedBytesPerCaller {
		return false
	}
	if p.byName == nil {
		p.byName = make(map[string]*definition)
	}
	p.byName[name] = d
	p.bytes += len(d.parse)
	return true
}

// remove reports whether the statement was defined.
func (p *prepared) remove(name string) bool {
	d, ok := p.byName[name]
	if !ok {
		return false
	}
	p.bytes -= len(d.parse)
	delete(p.byName, name)
	return true
}

func (p *prepared) clear() { *p = prepared{} }

// cutString cuts a zero-terminated string from data.
func cutString(data []byte) (text string, rest []byte, ok bool) {
	end := bytes.IndexByte(data, 0)
	if end < 0 {
		return "", nil, false
	}
	return string(data[:end]), data[end+1:], true
}
