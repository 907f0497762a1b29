package dbserver

import (
	"context"
	"errors"
	"strconv"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/rattancove/rattancove/internal/pgwire/back"
)

var errFailedTransaction = newError("25P02", "current transaction is aborted, commands ignored until end of transaction block")

// execute runs one statement with a context that a cancel request cancels.
func (c *session) execute(p *parsedStatement, args []value) (*result, error) {
	ctx, cancel := context.WithCancelCause(c.ctx)
	defer cancel(nil)
	c.mu.Lock()
	c.cancelStatement = cancel
	failed := c.tx.failed
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		c.cancelStatement = nil
		c.mu.Unlock()
	}()
	if failed && p.kind != kindCommit && p.kind != kindRollback && !p.isRollbackToSavepoint() {
		return nil, errFailedTransaction
	}
	r, err := c.dispatch(ctx, p, args)
	if err != nil && errors.Is(context.Cause(ctx), errCanceled) {
		return nil, errCanceled
	}
	return r, err
}

func (p *parsedStatement) isRollbackToSavepoint() bool {
	return p.kind == kindSavepoint && p.words[0] == "ROLLBACK"
}

func (c *session) dispatch(ctx context.Context, p *parsedStatement, args []value) (*result, error) {
	switch p.kind {
	case kindBegin:
		c.begin(p)
		return &result{}, nil
	case kindCommit:
		return &result{}, c.commit(ctx, p)
	case kindRollback:
		c.rollback()
		return &result{}, nil
	case kindFunction:
		return c.executeFunction(ctx, p)
	case kindRead:
		return c.read(ctx, p, args)
	case kindWrite:
		return c.write(ctx, p, args)
	case kindSavepoint:
		return c.executeSavepoint(ctx, p)
	case kindSet, kindReset, kindShow, kindDiscard:
		return c.executeSetting(p)
	default:
		return &result{}, nil
	}
}

func (c *session) begin(p *parsedStatement) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.tx.open {
		c.tx.implicit = false
		return
	}
	c.tx = transactionState{open: true, readOnly: strings.Contains(strings.ToUpper(p.text), "READ ONLY")}
}

// commit commits the session's transaction. A failed transaction is rolled back
// and the command tag is set to ROLLBACK.
func (c *session) commit(ctx context.Context, p *parsedStatement) error {
	c.mu.Lock()
	tx := c.tx
	c.tx = transactionState{}
	c.mu.Unlock()
	if tx.failed {
		p.commandTag = "ROLLBACK"
	}
	if tx.writeTx == nil {
		return nil
	}
	if tx.failed {
		c.releaseTransaction(tx.writeTx)
		return nil
	}
	return c.commitTransaction(ctx, tx.writeTx)
}

func (c *session) commitTransaction(ctx context.Context, t *transaction) error {
	defer c.releaseTransaction(t)
	if err := c.server.commit(ctx, c, t); err != nil {
		return err
	}
	if c.server.takeDroppedResponse() {
		return errResponseDropped
	}
	return nil
}

// releaseTransaction invalidates a write transaction and releases its locks.
func (c *session) releaseTransaction(t *transaction) {
	c.server.engine.abort(t, newError("25P01", "no transaction"))
	c.server.locks.release(t)
}

func (c *session) rollback() {
	c.mu.Lock()
	tx := c.tx
	c.tx = transactionState{}
	c.mu.Unlock()
	if tx.writeTx != nil {
		c.releaseTransaction(tx.writeTx)
	}
}

func (c *session) read(ctx context.Context, p *parsedStatement, args []value) (*result, error) {
	release, err := c.acquireSlot(ctx, p, args)
	if err != nil {
		return nil, err
	}
	defer release()
	c.mu.Lock()
	t := c.tx.writeTx
	c.mu.Unlock()
	if t != nil {
		return c.server.engine.run(ctx, t, command{SQL: p.text, Args: args}, false)
	}
	return c.server.engine.read(ctx, command{SQL: p.text, Args: args})
}

// write runs a statement in the open transaction or, if none is open, in a
// transaction that is committed right after.
func (c *session) write(ctx context.Context, p *parsedStatement, args []value) (*result, error) {
	c.mu.Lock()
	t, open := c.tx.writeTx, c.tx.open
	if t == nil {
		t = &transaction{}
	}
	c.tx.writeTx = t
	c.mu.Unlock()
	r, err := c.writeInTransaction(ctx, t, p, args)
	if open {
		return r, err
	}
	c.mu.Lock()
	c.tx.writeTx = nil
	c.mu.Unlock()
	if err != nil {
		c.releaseTransaction(t)
		return nil, err
	}
	return r, c.commitTransaction(ctx, t)
}

func (c *session) writeInTransaction(ctx context.Context, t *transaction, p *parsedStatement, args []value) (*result, error) {
	if err := c.checkWriteAllowed(); err != nil {
		return nil, err
	}
	cmd := command{SQL: p.text, Args: args}
	if err := c.server.locks.acquire(ctx, t, lockKey(cmd)); err != nil {
		return nil, err
	}
	release, err := c.acquireSlot(ctx, p, args)
	if err != nil {
		return nil, err
	}
	defer release()
	if err := c.checkWriteAllowed(); err != nil {
		return nil, err
	}
	return c.server.engine.run(ctx, t, cmd, true)
}

func (c *session) checkWriteAllowed() error {
	c.mu.Lock()
	readOnly := c.tx.readOnly || c.settings["default_transaction_read_only"] == "on"
	c.mu.Unlock()
	if readOnly {
		return newError(back.SQLStateReadOnly, "cannot execute a write in a read-only transaction")
	}
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	return c.server.checkWritable(c)
}

// acquireSlot acquires an execution slot and waits for the simulated execution
// time of the statement. The caller must call release.
func (c *session) acquireSlot(ctx context.Context, p *parsedStatement, args []value) (release func(), err error) {
	s := c.server
	if err := s.slots.Acquire(ctx, 1); err != nil {
		return nil, err
	}
	if !s.execTimer.wait(ctx, p.executionTime(args)+s.currentFaults().statementDelay) {
		s.slots.Release(1)
		return nil, ctx.Err()
	}
	return func() { s.slots.Release(1) }, nil
}

// executeSavepoint runs SAVEPOINT, RELEASE and ROLLBACK TO as commands of the
// write transaction.
func (c *session) executeSavepoint(ctx context.Context, p *parsedStatement) (*result, error) {
	c.mu.Lock()
	if !c.tx.open {
		c.mu.Unlock()
		return nil, newError("25P01", "%s can only be used in transaction blocks", p.words[0])
	}
	if c.tx.writeTx == nil {
		c.tx.writeTx = &transaction{}
	}
	t := c.tx.writeTx
	c.mu.Unlock()
	r, err := c.server.engine.run(ctx, t, command{SQL: p.text}, true)
	if err == nil && p.isRollbackToSavepoint() {
		c.mu.Lock()
		c.tx.failed = false
		c.mu.Unlock()
	}
	return r, err
}

// sendCommandComplete sends the command tag, with the number of rows.
func (c *session) sendCommandComplete(p *parsedStatement, r *result) {
	tag := p.commandTag
	count := strconv.FormatInt(r.rowCount, 10)
	switch tag {
	case "SELECT", "UPDATE", "DELETE":
		tag += " " + count
	case "INSERT":
		tag += " 0 " + count
	}
	c.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
}

func (r *result) oids() []uint32 {
	oids := make([]uint32, len(r.columns))
	for i, col := range r.columns {
		var sample any
		if len(r.rows) > 0 {
			sample = r.rows[0][i]
		}
		oids[i] = oidOf(col.declaredType, sample)
	}
	return oids
}

func rowDescription(columns []column, oids []uint32, formats []int16) *pgproto3.RowDescription {
	description := &pgproto3.RowDescription{}
	for i, col := range columns {
		description.Fields = append(description.Fields, pgproto3.FieldDescription{
			Name: []byte(col.name), DataTypeOID: oids[i], DataTypeSize: -1, TypeModifier: -1, Format: formatCodeAt(formats, i),
		})
	}
	return description
}

// flushThresholdBytes is the amount of buffered row data above which the
// connection is flushed.
const flushThresholdBytes = 32 << 10

func (c *session) sendRows(rows [][]any, oids []uint32, formats []int16) {
	buffered := 0
	for _, row := range rows {
		values := make([][]byte, len(row))
		for i, v := range row {
			values[i] = encodeValue(v, oids[i], formatCodeAt(formats, i))
			buffered += len(values[i])
		}
		c.backend.Send(&pgproto3.DataRow{Values: values})
		if buffered > flushThresholdBytes {
			_ = c.backend.Flush()
			buffered = 0
		}
	}
}

// formatCodeAt returns the format code of value i. As the protocol defines it,
// no codes mean text for all values and a single code applies to all values.
func formatCodeAt(formats []int16, i int) int16 {
	switch {
	case len(formats) == 0:
		return 0
	case len(formats) == 1:
		return formats[0]
	case i < len(formats):
		return formats[i]
	default:
		return 0
	}
}
