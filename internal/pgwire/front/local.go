package front

import (
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jackc/pgx/v5/pgtype"

	"github.com/rattancove/rattancove/internal/errcode"
	"github.com/rattancove/rattancove/internal/session"
	"github.com/rattancove/rattancove/internal/sqlclass"
)

// localResult is the result of a statement that the proxy runs itself.
type localResult struct {
	commandTag string
	// column is the name of the only result column; empty if there is no result
	// set.
	column string
	value  string
}

func (r localResult) dataRow() pgproto3.BackendMessage {
	return &pgproto3.DataRow{Values: [][]byte{[]byte(r.value)}}
}

func (r localResult) commandComplete() pgproto3.BackendMessage {
	return &pgproto3.CommandComplete{CommandTag: []byte(r.commandTag)}
}

// queryResponse returns the response in the simple protocol.
func (r localResult) queryResponse() []pgproto3.BackendMessage {
	if r.column == "" {
		return []pgproto3.BackendMessage{r.commandComplete()}
	}
	return []pgproto3.BackendMessage{rowDescription(r.column), r.dataRow(), r.commandComplete()}
}

// executeResponse returns the response to Execute.
func (r localResult) executeResponse() []pgproto3.BackendMessage {
	if r.column == "" {
		return []pgproto3.BackendMessage{r.commandComplete()}
	}
	return []pgproto3.BackendMessage{r.dataRow(), r.commandComplete()}
}

func rowDescription(column string) pgproto3.BackendMessage {
	return &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{
		Name:         []byte(column),
		DataTypeOID:  pgtype.TextOID,
		DataTypeSize: -1,
		TypeModifier: -1,
	}}}
}

// isLocal reports whether the proxy runs the statement itself.
func isLocal(s sqlclass.Statement) bool {
	switch s.Kind {
	case sqlclass.KindSet, sqlclass.KindReset, sqlclass.KindShow:
		return strings.HasPrefix(s.Name, sqlclass.HintPrefix)
	case sqlclass.KindDeallocate, sqlclass.KindDiscardAll:
		return true
	default:
		return false
	}
}

// isLocal reports whether the proxy runs the prepared statement itself.
func (stmt *preparedStatement) isLocal() bool {
	s, ok := stmt.analysis.Single()
	return ok && isLocal(s)
}

// describeLocal returns the description of the result of a prepared statement that
// the proxy runs itself.
func (c *caller) describeLocal(stmt *preparedStatement) []pgproto3.BackendMessage {
	s, _ := stmt.analysis.Single()
	if s.Kind == sqlclass.KindShow {
		return []pgproto3.BackendMessage{rowDescription(s.Name)}
	}
	return []pgproto3.BackendMessage{&pgproto3.NoData{}}
}

func (c *caller) executeLocal(b *batch, stmt *preparedStatement) {
	if b.err != nil {
		return
	}
	s, _ := stmt.analysis.Single()
	r, err := c.runLocal(s)
	if err != nil {
		b.refuse(err)
		return
	}
	b.respondLocally(r.executeResponse()...)
}

// runLocal runs a statement for which isLocal is true.
func (c *caller) runLocal(s sqlclass.Statement) (localResult, error) {
	switch s.Kind {
	case sqlclass.KindDeallocate:
		return c.deallocate(s.Name)
	case sqlclass.KindDiscardAll:
		return c.discardAll()
	case sqlclass.KindShow:
		return c.show(s.Name)
	case sqlclass.KindReset:
		return localResult{commandTag: "RESET"}, c.setOption(strings.TrimPrefix(s.Name, sqlclass.HintPrefix), "")
	default:
		value := s.Value
		if s.Default {
			value = ""
		}
		return localResult{commandTag: "SET"}, c.setOption(strings.TrimPrefix(s.Name, sqlclass.HintPrefix), value)
	}
}

func (c *caller) deallocate(name string) (localResult, error) {
	if name == sqlclass.AllNames {
		c.named.clear()
		c.unnamed = nil
		return localResult{commandTag: "DEALLOCATE ALL"}, nil
	}
	if !c.named.remove(name) {
		return localResult{}, &sqlError{
			sqlState: "26000",
			message:  "prepared statement \"" + name + "\" does not exist",
		}
	}
	return localResult{commandTag: "DEALLOCATE"}, nil
}

func (c *caller) discardAll() (localResult, error) {
	if c.txStatus != txIdle {
		return localResult{}, &sqlError{
			sqlState: "25001",
			message:  "DISCARD ALL cannot run inside a transaction block",
		}
	}
	c.named.clear()
	c.unnamed = nil
	c.settings.reset()
	c.options = c.startupOptions
	return localResult{commandTag: "DISCARD ALL"}, nil
}

// show runs SHOW for one of the proxy's own options.
func (c *caller) show(name string) (localResult, error) {
	r := localResult{commandTag: "SHOW", column: name}
	switch strings.TrimPrefix(name, sqlclass.HintPrefix) {
	case OptionToken:
		r.value = session.FormatToken(c.group, c.session.Position())
	case OptionSession:
		r.value = c.session.Name()
	case OptionRank:
		r.value = c.options.rank.String()
	case OptionFreshness:
		r.value = c.options.freshnessValue
	case OptionOrderID:
		r.value = c.nextOrderID
	default:
		return localResult{}, unknownOption(strings.TrimPrefix(name, sqlclass.HintPrefix))
	}
	return r, nil
}

// respondToLocalBatch sends the response to a batch that needs no server.
func (c *caller) respondToLocalBatch(b *batch) {
	b.rewriter.writeLocal(&c.writer)
	if b.boundary == boundaryFlush {
		c.writer.flush()
		return
	}
	c.sendReady(c.txStatus)
}

// refuseBatch sends the error for a batch that is refused as a whole.
func (c *caller) refuseBatch(b *batch, err error) {
	c.writer.writeMessage(errorResponse(err, severityError, ""))
	c.endRefusedBatch(b)
}

func (c *caller) endRefusedBatch(b *batch) {
	if b.boundary == boundaryFlush {
		c.discardingUntilSync = true
		c.writer.flush()
		return
	}
	c.sendReady(c.txStatus)
}

// unsupported returns the error for a feature that would need a connection of its
// own.
func unsupported(feature string) error {
	return &sqlError{
		sqlState: "0A000",
		message:  feature + " is not supported through the proxy",
		hint:     "Connections are shared between transactions. Use a transaction-scoped form, or connect to the server directly.",
		outcome:  errcode.OutcomeNotRun,
	}
}
