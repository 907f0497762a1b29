package back

import (
	"context"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/rattancove/rattancove/internal/backend"
	"github.com/rattancove/rattancove/internal/errcode"
)

// Statements on the rattan_orders table.
const (
	orderInsert         = "INSERT INTO rattan_orders(order_id, digest) VALUES ($1, $2)"
	orderInsertResponse = "INSERT INTO rattan_orders(order_id, digest, answer) VALUES ($1, $2, $3)"
	orderUpdate         = "UPDATE rattan_orders SET answer = $1 WHERE order_id = $2"
	orderSelect         = "SELECT digest, answer FROM rattan_orders WHERE order_id = $1"
)

// runOrder runs a batch and records the order ID and the response in the same
// database transaction. A retry receives the recorded response.
func (c *Conn) runOrder(ctx context.Context, x *backend.Exchange, r *relay) (backend.Result, error) {
	r.bufferAll, r.commitsOrder = true, true
	digest := digestText(c.digest)
	var begin, insert queryResponse
	segments := []segment{begin.segment(query("BEGIN")), insert.segment(statementMessages(orderInsert, x.OrderID, digest))}
	batchSent := leavesTransactionOpen(x.Batch)
	if batchSent {
		segments = append(segments, r.batchSegment())
	}
	if err := c.runSegments(ctx, r, segments...); err != nil {
		return backend.Result{}, err
	}
	if insert.err != nil {
		return c.handleInsertError(ctx, x, r, digest, insert.err)
	}
	if !batchSent {
		if err := c.runSegments(ctx, r, r.batchSegment()); err != nil {
			return backend.Result{}, err
		}
	}
	return c.finishOrder(ctx, x, r)
}

// finishOrder commits an order that succeeded and rolls back one that failed or
// whose response is too large to record.
func (c *Conn) finishOrder(ctx context.Context, x *backend.Exchange, r *relay) (backend.Result, error) {
	switch {
	case c.proto.txStatus == 'I':
		return backend.Result{}, c.closeWithError(errUnexpected, errcode.Unknown, "order ended its own transaction")
	case r.sqlState != "" || c.proto.txStatus == 'E':
		return c.rollbackOrder(ctx, r)
	case len(r.buf) > maxOrderResponse:
		if _, err := c.rollbackOrder(ctx, newRelay(ctx, c, &backend.Exchange{Batch: x.Batch}, r.conv)); err != nil {
			return backend.Result{}, err
		}
		return backend.Result{}, r.newError(errcode.LimitExceeded, "record answer")
	}
	r.setIdleStatus()
	r.commitSent = !c.proto.closed.Load()
	var update, commit, position queryResponse
	segments := []segment{
		update.segment(statementMessages(orderUpdate, r.buf, x.OrderID)),
		commit.segment(query("COMMIT")),
	}
	if x.WantPosition {
		segments = append(segments, position.segment(positionQuery))
	}
	if err := c.runSegments(ctx, r, segments...); err != nil {
		return backend.Result{}, err
	}
	for _, step := range []*queryResponse{&update, &commit} {
		if step.err != nil {
			r.replaceWithError(step.err)
			return r.finish(&queryResponse{})
		}
	}
	return r.finish(&position)
}

// rollbackOrder rolls back and forwards the buffered response.
func (c *Conn) rollbackOrder(ctx context.Context, r *relay) (backend.Result, error) {
	var rollback queryResponse
	if err := c.runSegments(ctx, r, rollback.segment(query("ROLLBACK"))); err != nil {
		return backend.Result{}, err
	}
	if err := rollback.serverError(); err != nil {
		return backend.Result{}, c.closeWithError(err, errcode.ConnectionLost, "roll back order")
	}
	c.mayHaveWritten = false
	r.setIdleStatus()
	return r.finish(&queryResponse{})
}

// handleInsertError rolls back an order whose ID could not be recorded. If the ID is
// already recorded, it forwards the recorded response.
func (c *Conn) handleInsertError(ctx context.Context, x *backend.Exchange, r *relay, digest string, insertErr *ServerError) (backend.Result, error) {
	r.replaceWithError(insertErr)
	if insertErr.Code != SQLStateUniqueViolation {
		return c.rollbackOrder(ctx, r)
	}
	var rollback, record, position queryResponse
	segments := []segment{
		rollback.segment(query("ROLLBACK")),
		record.segment(statementMessages(orderSelect, x.OrderID)),
	}
	if x.WantPosition {
		segments = append(segments, position.segment(positionQuery))
	}
	c.mayHaveWritten = false
	if err := c.runSegments(ctx, r, segments...); err != nil {
		return backend.Result{}, err
	}
	return r.forwardRecorded(&record, &position, digest)
}

// forwardRecorded forwards the recorded response if the recorded digest matches.
func (r *relay) forwardRecorded(record, position *queryResponse, digest string) (backend.Result, error) {
	if record.err != nil || len(record.rows) != 1 || len(record.rows[0]) != 2 {
		return backend.Result{}, r.newError(errcode.Unknown, "read recorded order")
	}
	row := record.rows[0]
	if string(row[0]) != digest {
		return backend.Result{}, r.newError(errcode.OrderMismatch, "compare recorded order")
	}
	orderRepeats.Inc()
	r.buf, r.sqlState = row[1], ""
	result := backend.Result{Deduplicated: true}
	if position.err == nil && len(position.rows) == 1 {
		result.Position = parsePosition(position.rows[0])
	}
	return result, r.flush(result)
}

// commitWithOrder records the order ID in the open transaction immediately before
// the batch that commits it. The recorded response is that to a successful COMMIT.
func (c *Conn) commitWithOrder(ctx context.Context, x *backend.Exchange, r *relay) (backend.Result, error) {
	r.bufferAll = true
	digest := digestText(c.digest)
	var insert, position queryResponse
	segments := []segment{
		insert.segment(statementMessages(orderInsertResponse, x.OrderID, digest, commitResponse(x.Batch.Messages))),
		r.batchSegment(),
	}
	if x.WantPosition {
		segments = append(segments, position.segment(positionQuery))
	}
	if err := c.runSegments(ctx, r, segments...); err != nil {
		return backend.Result{}, err
	}
	if insert.err != nil {
		return c.handleInsertError(ctx, x, r, digest, insert.err)
	}
	return r.finish(&position)
}

// commitResponse returns the response of a server to a batch that only commits.
func commitResponse(messages []byte) []byte {
	var response []byte
	add := func(m pgproto3.BackendMessage) { response, _ = m.Encode(response) }
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
	return response
}

// setIdleStatus sets the status in the final ReadyForQuery of the buffered response
// to idle.
func (r *relay) setIdleStatus() {
	if n := len(r.buf); n > frameHeaderBytes && r.buf[n-frameHeaderBytes-1] == typeReady {
		r.buf[n-1] = 'I'
	}
}

// replaceWithError replaces the buffered response with e.
func (r *relay) replaceWithError(e *ServerError) {
	r.sqlState, r.committed = e.Code, false
	r.buf, _ = (&pgproto3.ErrorResponse{
		Severity: e.Severity, SeverityUnlocalized: e.Severity, Code: e.Code, Message: e.Message,
	}).Encode(nil)
	r.buf, _ = (&pgproto3.ReadyForQuery{TxStatus: 'I'}).Encode(r.buf)
}
