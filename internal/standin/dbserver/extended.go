package dbserver

import (
	"context"
	"regexp"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
)

// preparedStatement is a parsed statement of the extended protocol.
type preparedStatement struct {
	parsed parsedStatement
	params []uint32
	// columns and oids are valid if described is set.
	described bool
	columns   []column
	oids      []uint32
}

// portal is a prepared statement with bound arguments.
type portal struct {
	statement *preparedStatement
	args      []value
	formats   []int16
	// result is set by the first Execute. With a row limit, later ones continue
	// after rowsSent rows.
	result   *result
	rowsSent int
}

func (c *session) handleExtended(m pgproto3.FrontendMessage) error {
	switch m := m.(type) {
	case *pgproto3.Parse:
		return c.handleParse(m)
	case *pgproto3.Bind:
		return c.handleBind(m)
	case *pgproto3.Describe:
		return c.handleDescribe(m)
	case *pgproto3.Execute:
		return c.handleExecute(m)
	case *pgproto3.Close:
		if m.ObjectType == 'S' {
			delete(c.prepared, m.Name)
		} else {
			delete(c.portals, m.Name)
		}
		c.backend.Send(&pgproto3.CloseComplete{})
		return nil
	case *pgproto3.Flush:
		return c.backend.Flush()
	case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
		return nil
	default:
		return &serverError{code: "08P01", message: "unexpected message", fatal: true}
	}
}

func (c *session) handleParse(m *pgproto3.Parse) error {
	statements := parse(m.Query)
	p := parsedStatement{kind: kindEmpty}
	if len(statements) > 1 {
		return newError("42601", "cannot insert multiple commands into a prepared statement")
	}
	if len(statements) == 1 {
		p = statements[0]
	}
	if _, exists := c.prepared[m.Name]; exists && m.Name != "" {
		return newError("42P05", "prepared statement %q already exists", m.Name)
	}
	statement := &preparedStatement{parsed: p, params: make([]uint32, p.paramCount)}
	copy(statement.params, m.ParameterOIDs)
	c.inferParameterTypes(statement)
	c.prepared[m.Name] = statement
	c.backend.Send(&pgproto3.ParseComplete{})
	return nil
}

func (c *session) handleBind(m *pgproto3.Bind) error {
	statement := c.prepared[m.PreparedStatement]
	if statement == nil {
		return newError("26000", "prepared statement %q does not exist", m.PreparedStatement)
	}
	if len(m.Parameters) != len(statement.params) {
		return newError("08P01", "bind supplies %d parameters, statement requires %d", len(m.Parameters), len(statement.params))
	}
	args := make([]value, len(m.Parameters))
	for i, data := range m.Parameters {
		v, err := decodeArg(data, statement.params[i], formatCodeAt(m.ParameterFormatCodes, i))
		if err != nil {
			return err
		}
		args[i] = v
	}
	c.portals[m.DestinationPortal] = &portal{statement: statement, args: args, formats: append([]int16{}, m.ResultFormatCodes...)}
	c.backend.Send(&pgproto3.BindComplete{})
	return nil
}

func (c *session) handleDescribe(m *pgproto3.Describe) error {
	var statement *preparedStatement
	var formats []int16
	if m.ObjectType == 'S' {
		statement = c.prepared[m.Name]
	} else if p := c.portals[m.Name]; p != nil {
		statement, formats = p.statement, p.formats
	}
	if statement == nil {
		return newError("26000", "nothing named %q to describe", m.Name)
	}
	if err := c.describeColumns(statement); err != nil {
		return err
	}
	if m.ObjectType == 'S' {
		c.backend.Send(&pgproto3.ParameterDescription{ParameterOIDs: statement.params})
	}
	if statement.columns == nil {
		c.backend.Send(&pgproto3.NoData{})
		return nil
	}
	c.backend.Send(rowDescription(statement.columns, statement.oids, formats))
	return nil
}

var returningPattern = regexp.MustCompile(`(?is)^\s*(?:INSERT\s+INTO|UPDATE|DELETE\s+FROM)\s+("?\w+"?).*\bRETURNING\b(.*)$`)

// describeColumns determines the result columns of a statement by running a
// variant of it without side effects and with NULL arguments.
func (c *session) describeColumns(statement *preparedStatement) error {
	if statement.described {
		return nil
	}
	query := statement.parsed.text
	switch {
	case statement.parsed.kind == kindFunction || statement.parsed.kind == kindShow:
		statement.described = true
		statement.columns, statement.oids = []column{{name: strings.ToLower(statement.parsed.words[1])}}, []uint32{oidText}
		return nil
	case statement.parsed.kind == kindWrite && returnsRows(query):
		if m := returningPattern.FindStringSubmatch(query); m != nil {
			query = "SELECT " + m[2] + " FROM " + m[1] + " LIMIT 1"
		}
	case statement.parsed.kind != kindRead:
		statement.described = true
		return nil
	}
	r, err := c.readWithoutSlot(command{SQL: query, Args: make([]value, len(statement.params))})
	if err != nil {
		return err
	}
	statement.described, statement.columns, statement.oids = true, r.columns, r.oids()
	return nil
}

// readWithoutSlot runs a query that sees the session's uncommitted writes. It
// takes no slot and no simulated execution time.
func (c *session) readWithoutSlot(cmd command) (*result, error) {
	ctx := context.WithoutCancel(c.ctx)
	c.mu.Lock()
	t := c.tx.writeTx
	c.mu.Unlock()
	if t != nil {
		return c.server.engine.run(ctx, t, cmd, false)
	}
	return c.server.engine.read(ctx, cmd)
}

func (c *session) handleExecute(m *pgproto3.Execute) error {
	p := c.portals[m.Portal]
	if p == nil {
		return newError("34000", "portal %q does not exist", m.Portal)
	}
	statement := p.statement
	if statement.parsed.kind == kindEmpty {
		c.backend.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	if statement.parsed.kind == kindCopy {
		return c.copy(&statement.parsed)
	}
	parsed := statement.parsed
	if p.result == nil {
		c.beginImplicit(&parsed)
		r, err := c.execute(&parsed, p.args)
		if err != nil {
			return err
		}
		p.result = r
	}
	c.sendPortalRows(p, &parsed, int(m.MaxRows))
	return nil
}

// beginImplicit starts a transaction for a write outside a transaction block.
// The next Sync commits it.
func (c *session) beginImplicit(p *parsedStatement) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p.kind == kindWrite && !c.tx.open {
		c.tx = transactionState{open: true, implicit: true}
	}
}

// sendPortalRows sends the remaining rows, at most limit of them unless limit is
// 0.
func (c *session) sendPortalRows(p *portal, parsed *parsedStatement, limit int) {
	oids := p.statement.oids
	if len(oids) != len(p.result.columns) {
		oids = p.result.oids()
	}
	rows := p.result.rows[p.rowsSent:]
	if limit > 0 && len(rows) > limit {
		c.sendRows(rows[:limit], oids, p.formats)
		p.rowsSent += limit
		c.backend.Send(&pgproto3.PortalSuspended{})
		return
	}
	c.sendRows(rows, oids, p.formats)
	p.rowsSent = len(p.result.rows)
	c.sendCommandComplete(parsed, p.result)
}
