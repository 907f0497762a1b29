package back

import (
	"context"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/rattancove/rattancove/internal/backend"
	"github.com/rattancove/rattancove/internal/errcode"
)

// Statements on the table of orders.
const (
	orderInsert       = "INSERT INTO rattan_orders(order_id, digest) VALUES ($1, $2)"
	orderInsertAnswer = "INSERT INTO rattan_orders(order_id, digest, answer) VALUES ($1, $2, $3)"
	orderUpdate       = "UPDATE rattan_orders SET answer = $1 WHERE order_id = $2"
	orderSelect       = "SELECT digest, answer FROM rattan_orders WHERE order_id = $1"
)

// runOrder runs a batch and records the order id and the answer in the same
// database transaction. A repeat gets the recorded answer.
func (c *Conn) runOrder(ctx context.Context, x *backend.Exchange, r *relay) (backend.Result, error) {
	r.hold, r.recording = true, true
	digest := digestText(c.digest)
	var begin, insert reply
	opening := []segment{begin.segment(query("BEGIN")), insert.segment(statementMessages(orderInsert, x.OrderID, digest))}
	batchSent := isPlain(x.Batch)
	if batchSent {
		opening = append(opening, r.segment())
	}
	if err := c.run(ctx, r, opening...); err != nil {
		return backend.Result{}, err
	}
	if insert.err != nil {
		return c.orderRefused(ctx, x, r, digest, insert.err)
	}
	if !batchSent {
		if err := c.run(ctx, r, r.segment()); err != nil {
			return backend.Result{}, err
		}
	}
	return c.endOrder(ctx, x, r)
}

// endOrder commits an order that succeeded and rolls back one that failed.
func (c *Conn) endOrder(ctx context.Context, x *backend.Exchange, r *relay) (backend.Result, error) {
	switch {
	case c.link.status == 'I':
		return backend.Result{}, c.fail(errUnexpected, errcode.Unknown, "order ended its own transaction")
	case r.state != "" || c.link.status == 'E':
		return c.rollbackOrder(ctx, r)
	case len(r.buf) > maxOrderAnswer:
		if _, err := c.rollbackOrder(ctx, newRelay(ctx, c, &backend.Exchange{Batch: x.Batch}, r.conv)); err != nil {
			return backend.Result{}, err
		}
		return backend.Result{}, r.failure(errcode.LimitExceeded, "record answer")
	}
	r.setIdle()
	r.commitSent = !c.link.closed.Load()
	var update, commit, position reply
	segments := []segment{
		update.segment(statementMessages(orderUpdate, r.buf, x.OrderID)),
		commit.segment(query("COMMIT")),
	}
	if x.WantPosition {
		segments = append(segments, position.segment(positionQuery))
	}
	if err := c.run(ctx, r, segments...); err != nil {
		return backend.Result{}, err
	}
	for _, step := range []*reply{&update, &commit} {
		if step.err != nil {
			r.replaceByError(step.err)
			return r.finish(&reply{})
		}
	}
	return r.finish(&position)
}

// rollbackOrder rolls back and passes the held answer on.
func (c *Conn) rollbackOrder(ctx context.Context, r *relay) (backend.Result, error) {
	var rollback reply
	if err := c.run(ctx, r, rollback.segment(query("ROLLBACK"))); err != nil {
		return backend.Result{}, err
	}
	if err := rollback.failed(); err != nil {
		return backend.Result{}, c.fail(err, errcode.ConnectionLost, "roll back order")
	}
	c.wrote = false
	r.setIdle()
	return r.finish(&reply{})
}

// orderRefused ends an order whose id could not be recorded.
func (c *Conn) orderRefused(ctx context.Context, x *backend.Exchange, r *relay, digest string, refusal *ServerError) (backend.Result, error) {
	r.replaceByError(refusal)
	if refusal.Code != StateUniqueViolation {
		return c.rollbackOrder(ctx, r)
	}
	var rollback, record, position reply
	segments := []segment{
		rollback.segment(query("ROLLBACK")),
		record.segment(statementMessages(orderSelect, x.OrderID)),
	}
	if x.WantPosition {
		segments = append(segments, position.segment(positionQuery))
	}
	c.wrote = false
	if err := c.run(ctx, r, segments...); err != nil {
		return backend.Result{}, err
	}
	return r.repeat(&record, &position, digest)
}

// repeat passes the recorded answer on.
func (r *relay) repeat(record, position *reply, digest string) (backend.Result, error) {
	if record.err != nil || len(record.rows) != 1 || len(record.rows[0]) != 2 {
		return backend.Result{}, r.failure(errcode.Unknown, "read recorded order")
	}
	row := record.rows[0]
	if string(row[0]) != digest {
		return backend.Result{}, r.failure(errcode.OrderMismatch, "compare recorded order")
	}
	orderRepeats.Inc()
	r.buf, r.state = row[1], ""
	a := backend.Result{Deduplicated: true}
	if position.err == nil && len(position.rows) == 1 {
		a.Position = parsePosition(position.rows[0])
	}
	return a, r.deliver(a)
}

// commitOrder records the order id in the open transaction just before the
// batch that commits it. The recorded answer is that of a successful COMMIT.
func (c *Conn) commitOrder(ctx context.Context, x *backend.Exchange, r *relay) (backend.Result, error) {
	r.hold = true
	digest := digestText(c.digest)
	var insert, position reply
	segments := []segment{
		insert.segment(statementMessages(orderInsertAnswer, x.OrderID, digest, commitAnswer(x.Batch.Messages))),
		r.segment(),
	}
	if x.WantPosition {
		segments = append(segments, position.segment(positionQuery))
	}
	if err := c.run(ctx, r, segments...); err != nil {
		return backend.Result{}, err
	}
	if insert.err != nil {
		return c.orderRefused(ctx, x, r, digest, insert.err)
	}
	return r.finish(&position)
}

// commitAnswer returns what a server answers to a batch that only commits.
func commitAnswer(messages []byte) []byte {
	var answer []byte
	add := func(m pgproto3.BackendMessage) { answer, _ = m.Encode(answer) }
	for kind, body := range frames(messages) {
		switch kind {
		case 'P':
			add(&pgproto3.ParseComplete{})
		case 'B':
			add(&pgproto3.BindComplete{})
		case 'C':
			add(&pgproto3.CloseComplete{})
		case 'D':
			if len(body) > 0 && body[0] == 'S' {
				add(&pgproto3.ParameterDescription{})
			}
			add(&pgproto3.NoData{})
		case 'E', 'Q':
			add(&pgproto3.CommandComplete{CommandTag: []byte("COMMIT")})
		}
	}
	add(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	return answer
}

// setIdle makes the held answer end in the idle state.
func (r *relay) setIdle() {
	if n := len(r.buf); n > frameHeader && r.buf[n-frameHeader-1] == typeReady {
		r.buf[n-1] = 'I'
	}
}

// replaceByError makes e the answer to the batch.
func (r *relay) replaceByError(e *ServerError) {
	r.state, r.committed = e.Code, false
	r.buf, _ = (&pgproto3.ErrorResponse{
		Severity: e.Severity, SeverityUnlocalized: e.Severity, Code: e.Code, Message: e.Message,
	}).Encode(nil)
	r.buf, _ = (&pgproto3.ReadyForQuery{TxStatus: 'I'}).Encode(r.buf)
}
