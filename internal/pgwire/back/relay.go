package back

import (
	"context"
	"slices"
	"strings"
	"sync"

	"github.com/rattancove/rattancove/internal/backend"
	"github.com/rattancove/rattancove/internal/errcode"
	"github.com/rattancove/rattancove/internal/statement"
)

// relay passes the answer of one batch to the conversation and notes what
// happened.
type relay struct {
	ctx  context.Context
	conn *Conn
	x    *backend.Exchange
	conv statement.Conversation

	buf  []byte
	hold bool
	// prefix is what the adapter sent before the batch; its answers are swallowed.
	prefix prefix
	// leadIn is set while nothing has arrived that shows that the batch runs.
	leadIn  bool
	gated   bool
	refused bool
	wasOpen bool
	// state is the SQLSTATE of the first error, tag the last command tag.
	state     string
	tag       string
	committed bool
	// recording is set when the adapter commits the batch itself, commitSent
	// once it may have sent the COMMIT.
	recording  bool
	commitSent bool
	// complete is set once the server's ready state has arrived.
	complete bool
	// aborted is the error of the caller's side.
	aborted error

	feeding  sync.WaitGroup
	stopFeed context.CancelFunc
}

func newRelay(ctx context.Context, c *Conn, x *backend.Exchange, conv statement.Conversation) *relay {
	return &relay{
		ctx: ctx, conn: c, x: x, conv: conv, hold: x.BufferResponse, leadIn: true,
		wasOpen: c.link.status != 'I', stopFeed: func() {},
	}
}

// segment returns the batch, with the definitions before it that the
// connection lacks.
func (r *relay) segment() segment {
	r.prefix = r.conn.prepared.missing(r.x.Batch.Prepared)
	if !r.conn.cannotWrite(r.x.Batch) {
		r.conn.wrote = true
	}
	return segment{data: slices.Concat(r.prefix.data, r.x.Batch.Messages), handle: r.handle}
}

func (r *relay) handle(kind byte, frame []byte) error {
	if r.prefix.swallow(kind) {
		return nil
	}
	switch kind {
	case typeError:
		if err := r.handleError(frame); err != nil {
			return err
		}
	case typeCommandComplete:
		r.handleTag(decodeTag(frame))
	case typeReady:
		r.complete = true
		r.stopFeeder()
		if !r.recording {
			r.ended()
		}
	}
	r.leadIn = r.leadIn && isLeadIn(kind)
	if r.refused {
		return nil
	}
	r.buf = append(r.buf, frame...)
	if len(r.buf) > maxHeld {
		return errTooLarge
	}
	if kind == typeCopyIn {
		return r.startFeeder()
	}
	ready := len(r.buf) >= chunkBytes || r.conn.link.idle() || kind == typeReady
	if r.hold || r.leadIn || !ready {
		return nil
	}
	return r.pass()
}

func isLeadIn(kind byte) bool {
	switch kind {
	case typeParseComplete, typeBindComplete, typeCloseComplete, typeNoData, typeParamDesc,
		typeRowDescription, typeNotice, typeParameterStatus:
		return true
	default:
		return false
	}
}

func (r *relay) handleError(frame []byte) error {
	e := decodeError(frame)
	if e.fatal() {
		return e
	}
	if r.state != "" {
		return nil
	}
	r.state = e.Code
	if r.leadIn && e.Code == StateReadOnly && r.x.Batch.Class == statement.ClassRead {
		r.refused = true
		r.buf = nil
	}
	return nil
}

// handleTag keeps track of commands that change the session.
func (r *relay) handleTag(tag string) {
	r.tag = tag
	switch {
	case tag == "COMMIT":
		r.committed = true
	case tag == "DISCARD ALL":
		r.conn.forget()
	case strings.HasPrefix(tag, "DEALLOCATE"):
		r.conn.prepared.clear()
	case tag == "SET" || tag == "RESET":
		r.conn.settingsUnknown = true
	}
}

// pass hands what is buffered to the conversation.
func (r *relay) pass() error {
	if len(r.buf) == 0 {
		return nil
	}
	if !r.gated {
		r.gated = true
		if r.x.BeforeFirstByte != nil {
			if err := r.x.BeforeFirstByte(r.ctx); err != nil {
				return r.abort(err)
			}
		}
	}
	if err := r.conv.Answer(r.ctx, r.buf); err != nil {
		return r.abort(err)
	}
	r.buf = r.buf[:0]
	return nil
}

// abort notes an error of the caller's side as the result of the exchange.
func (r *relay) abort(err error) error {
	r.aborted = err
	return err
}

// finish completes the exchange and passes on what was held back.
func (r *relay) finish(position *reply) (backend.Result, error) {
	a := backend.Result{Tx: r.conn.txStatus(), SQLState: r.state, ReadOnlyRefused: r.refused, Committed: r.hasCommitted()}
	if a.Tx == backend.TxIdle && position.err == nil && len(position.rows) == 1 {
		a.Position = parsePosition(position.rows[0])
	}
	return a, r.deliver(a)
}

// ended reports that the server has nothing more to run.
func (r *relay) ended() {
	if r.x.OnBatchEnd != nil {
		r.x.OnBatchEnd()
	}
}

// deliver passes the held answer on unless the caller's side forbids it.
func (r *relay) deliver(a backend.Result) error {
	r.ended()
	if r.refused {
		return nil
	}
	err := r.release(a)
	if err == nil {
		err = r.pass()
	}
	if err == nil {
		return nil
	}
	_ = r.conn.link.close()
	return err
}

func (r *relay) release(a backend.Result) error {
	if !r.x.BufferResponse || r.x.BeforeFlush == nil {
		return nil
	}
	return r.x.BeforeFlush(r.ctx, a)
}

// hasCommitted reports whether the exchange ended a transaction that may have written.
func (r *relay) hasCommitted() bool {
	switch {
	case r.conn.link.status != 'I' || !r.conn.wrote || r.refused:
		return false
	case r.state != "":
		return r.committed
	default:
		return r.tag != "ROLLBACK"
	}
}

// mayHaveCommitted reports whether a batch whose answer is missing may have
// taken effect.
func (r *relay) mayHaveCommitted() bool {
	b := r.x.Batch
	if r.recording {
		return r.commitSent
	}
	if r.complete && r.state != "" && !r.committed {
		return false
	}
	if r.conn.cannotWrite(b) && !r.conn.wrote {
		return false
	}
	inBlock := r.wasOpen || b.Class == statement.ClassBegin
	return !inBlock || mayEndTransaction(b)
}

// failure is the error for an answer that cannot be delivered although the
// connection is in order.
func (r *relay) failure(code errcode.Code, step string) error {
	return errcode.New(code, step, string(r.conn.link.server.ID))
}
