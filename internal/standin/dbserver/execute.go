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

// execute runs one statement under a context that a cancel request ends.
func (c *session) execute(p *parsed, args []value) (*result, error) {
	ctx, stop := context.WithCancelCause(c.ctx)
	defer stop(nil)
	c.mu.Lock()
	c.stopStatement = stop
	failed := c.tx.failed
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		c.stopStatement = nil
		c.mu.Unlock()
	}()
	if failed && p.kind != kindCommit && p.kind != kindRollback && !p.rollsBackTo() {
		return nil, errFailedTransaction
	}
	r, err := c.dispatch(ctx, p, args)
	if err != nil && errors.Is(context.Cause(ctx), errCancelled) {
		return nil, errCancelled
	}
	return r, err
}

func (p *parsed) rollsBackTo() bool { return p.kind == kindSavepoint && p.words[0] == "ROLLBACK" }

func (c *session) dispatch(ctx context.Context, p *parsed, args []value) (*result, error) {
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
		return c.callFunction(ctx, p)
	case kindRead:
		return c.read(ctx, p, args)
	case kindWrite:
		return c.write(ctx, p, args)
	case kindSavepoint:
		return c.savepoint(ctx, p)
	case kindSet, kindReset, kindShow, kindDiscard:
		return c.setting(p)
	default:
		return &result{}, nil
	}
}

func (c *session) begin(p *parsed) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.tx.open {
		c.tx.implicit = false
		return
	}
	c.tx = txState{open: true, readOnly: strings.Contains(strings.ToUpper(p.text), "READ ONLY")}
}

// commit ends the transaction. A failed one is rolled back and says so.
func (c *session) commit(ctx context.Context, p *parsed) error {
	c.mu.Lock()
	tx := c.tx
	c.tx = txState{}
	c.mu.Unlock()
	if tx.failed {
		p.tag = "ROLLBACK"
	}
	if tx.write == nil {
		return nil
	}
	if tx.failed {
		c.drop(tx.write)
		return nil
	}
	return c.commitWrite(ctx, tx.write)
}

func (c *session) commitWrite(ctx context.Context, t *transaction) error {
	defer c.drop(t)
	if err := c.server.commit(ctx, c, t); err != nil {
		return err
	}
	if c.server.takeLostAnswer() {
		return errAnswerLost
	}
	return nil
}

// drop forgets a write transaction and frees what it holds.
func (c *session) drop(t *transaction) {
	c.server.engine.abort(t, newError("25P01", "no transaction"))
	c.server.locks.release(t)
}

func (c *session) rollback() {
	c.mu.Lock()
	tx := c.tx
	c.tx = txState{}
	c.mu.Unlock()
	if tx.write != nil {
		c.drop(tx.write)
	}
}

func (c *session) read(ctx context.Context, p *parsed, args []value) (*result, error) {
	leave, err := c.work(ctx, p, args)
	if err != nil {
		return nil, err
	}
	defer leave()
	c.mu.Lock()
	t := c.tx.write
	c.mu.Unlock()
	if t != nil {
		return c.server.engine.run(ctx, t, command{SQL: p.text, Args: args}, false)
	}
	return c.server.engine.read(ctx, command{SQL: p.text, Args: args})
}

// write runs a statement in the open transaction or in one of its own.
func (c *session) write(ctx context.Context, p *parsed, args []value) (*result, error) {
	c.mu.Lock()
	t, open := c.tx.write, c.tx.open
	if t == nil {
		t = &transaction{}
	}
	c.tx.write = t
	c.mu.Unlock()
	r, err := c.writeIn(ctx, t, p, args)
	if open {
		return r, err
	}
	c.mu.Lock()
	c.tx.write = nil
	c.mu.Unlock()
	if err != nil {
		c.drop(t)
		return nil, err
	}
	return r, c.commitWrite(ctx, t)
}

func (c *session) writeIn(ctx context.Context, t *transaction, p *parsed, args []value) (*result, error) {
	if err := c.checkWrite(); err != nil {
		return nil, err
	}
	cmd := command{SQL: p.text, Args: args}
	if err := c.server.locks.acquire(ctx, t, lockKey(cmd)); err != nil {
		return nil, err
	}
	leave, err := c.work(ctx, p, args)
	if err != nil {
		return nil, err
	}
	defer leave()
	if err := c.checkWrite(); err != nil {
		return nil, err
	}
	return c.server.engine.run(ctx, t, cmd, true)
}

func (c *session) checkWrite() error {
	c.mu.Lock()
	readOnly := c.tx.readOnly || c.settings["default_transaction_read_only"] == "on"
	c.mu.Unlock()
	if readOnly {
		return newError(back.SQLStateReadOnly, "cannot execute a write in a read-only transaction")
	}
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	return c.server.mayWrite(c)
}

// work takes a slot and spends the time that the statement asks for.
func (c *session) work(ctx context.Context, p *parsed, args []value) (leave func(), err error) {
	s := c.server
	if err := s.slots.Acquire(ctx, 1); err != nil {
		return nil, err
	}
	if !s.timer.wait(ctx, p.workTime(args)+s.faultsNow().slow) {
		s.slots.Release(1)
		return nil, ctx.Err()
	}
	return func() { s.slots.Release(1) }, nil
}

// savepoint passes savepoints on to the engine as part of the transaction.
func (c *session) savepoint(ctx context.Context, p *parsed) (*result, error) {
	c.mu.Lock()
	if !c.tx.open {
		c.mu.Unlock()
		return nil, newError("25P01", "%s can only be used in transaction blocks", p.words[0])
	}
	if c.tx.write == nil {
		c.tx.write = &transaction{}
	}
	t := c.tx.write
	c.mu.Unlock()
	r, err := c.server.engine.run(ctx, t, command{SQL: p.text}, true)
	if err == nil && p.rollsBackTo() {
		c.mu.Lock()
		c.tx.failed = false
		c.mu.Unlock()
	}
	return r, err
}

// complete answers the command tag.
func (c *session) complete(p *parsed, r *result) {
	tag := p.tag
	count := strconv.FormatInt(r.affected, 10)
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
		oids[i] = oidOf(col.decl, sample)
	}
	return oids
}

func rowDescription(columns []column, oids []uint32, formats []int16) *pgproto3.RowDescription {
	d := &pgproto3.RowDescription{}
	for i, col := range columns {
		d.Fields = append(d.Fields, pgproto3.FieldDescription{
			Name: []byte(col.name), DataTypeOID: oids[i], DataTypeSize: -1, TypeModifier: -1, Format: formatAt(formats, i),
		})
	}
	return d
}

// flushBytes bounds what is buffered before rows are written out.
const flushBytes = 32 << 10

func (c *session) sendRows(rows [][]any, oids []uint32, formats []int16) {
	pending := 0
	for _, row := range rows {
		values := make([][]byte, len(row))
		for i, v := range row {
			values[i] = encodeValue(v, oids[i], formatAt(formats, i))
			pending += len(values[i])
		}
		c.backend.Send(&pgproto3.DataRow{Values: values})
		if pending > flushBytes {
			_ = c.backend.Flush()
			pending = 0
		}
	}
}

// formatAt returns the format of value i as the protocol defines it.
func formatAt(formats []int16, i int) int16 {
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
