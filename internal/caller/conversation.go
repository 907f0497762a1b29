package caller

import (
	"context"
	"errors"
	"io"

	"github.com/rattancove/rattancove/internal/errcode"
	"github.com/rattancove/rattancove/internal/statement"
)

// conversation is the session's side of one request: a single statement or a
// transaction.
type conversation struct {
	session *Session
	// organisation is the organisation for which the request began.
	organisation string
	// pending is the statement that awaits an answer; nil between statements.
	pending *Statement
	// explicit is set when the caller began a transaction.
	explicit bool
	// readOnly is set when the transaction began as read-only. wrote is set once the
	// transaction has forwarded a write.
	readOnly, wrote bool
	// settingsChanged is set while changed settings have not been sent to the server.
	settingsChanged bool
	// writeErr is the error of the last write to the caller.
	writeErr error
}

// SendResponse implements statement.Conversation. It refuses an answer that no statement
// awaits, or that is not whole, so that the statement fails instead.
func (c *conversation) SendResponse(_ context.Context, data []byte) error {
	s := c.session
	if c.pending == nil {
		return errcode.Wrap(ErrInvalidAnswer, errcode.ConnectionLost, "second answer", "")
	}
	after := StateIdle
	if c.explicit && c.pending.Kind != KindCommit {
		after = StateOpen
	}
	err := s.conn.Answer(data, after)
	if errors.Is(err, ErrInvalidAnswer) {
		return errcode.Wrap(err, c.unansweredCode(), "answer", "")
	}
	s.state, c.pending, c.writeErr = after, nil, err
	return err
}

// unansweredCode returns the error code of a pending statement that was run and got no
// valid answer.
func (c *conversation) unansweredCode() errcode.Code {
	if c.wrote && (!c.explicit || c.pending.Kind == KindCommit) {
		return errcode.Unknown
	}
	return errcode.ConnectionLost
}

// Next implements statement.Conversation. It returns the next statement of the
// caller that a server must run, and io.EOF to roll the transaction back.
func (c *conversation) Next(ctx context.Context) (*statement.Batch, error) {
	if c.pending != nil {
		return nil, errcode.New(c.unansweredCode(), "no answer", "")
	}
	for {
		next, err := c.receive(ctx)
		if err != nil {
			return nil, err
		}
		batch, err := c.process(next)
		if batch != nil || err != nil {
			return batch, err
		}
	}
}

func (c *conversation) receive(ctx context.Context) (*Statement, error) {
	select {
	case next, ok := <-c.session.statements:
		if !ok {
			return nil, io.EOF
		}
		return next, nil
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	case <-c.session.drain.transactions:
		if next := c.session.lastStatement(); next != nil {
			return next, nil
		}
		return nil, io.EOF
	}
}

// process handles a statement inside a transaction that is open at a server. It
// returns neither a batch nor an error when the session answered the statement
// itself.
func (c *conversation) process(next *Statement) (*statement.Batch, error) {
	s := c.session
	switch next.Kind {
	case KindRollback:
		s.state = StateIdle
		if c.writeErr = s.conn.Done(s.state); c.writeErr != nil {
			return nil, c.writeErr
		}
		return nil, io.EOF
	case KindMalformed, KindTooLong, KindNoMemory:
		return nil, c.refuse(next, decodeError(next.Kind))
	case KindBegin, KindBeginReadOnly:
		return nil, c.refuse(next, errcode.New(errcode.Malformed, "transaction", ""))
	case KindSet, KindPrepare, KindDeallocate:
		if err := s.updateSession(next); err != nil {
			return nil, c.refuse(next, err)
		}
		c.settingsChanged = c.settingsChanged || next.Kind == KindSet
		c.writeErr = s.conn.Done(s.state)
		return nil, c.writeErr
	}
	if refusal := c.authorize(next); refusal != nil {
		return nil, c.refuse(next, refusal)
	}
	batch, refusal := s.batch(next)
	if refusal != nil {
		return nil, c.refuse(next, refusal)
	}
	c.pending = next
	c.classify(next, batch)
	if c.settingsChanged {
		batch.Settings = s.settings
		c.settingsChanged = false
	}
	return batch, nil
}

// classify records writes. The commit of a transaction without writes is classed
// as a read, because it changes nothing.
func (c *conversation) classify(next *Statement, batch *statement.Batch) {
	switch {
	case next.Kind == KindCommit && (c.readOnly || !c.wrote):
		batch.Class = statement.ClassRead
	case batch.Class == statement.ClassWrite:
		c.wrote = true
	}
}

// refuse answers a statement with an error and ends the transaction.
func (c *conversation) refuse(next *Statement, refusal *errcode.Error) error {
	if c.writeErr = c.session.fail(next, refusal); c.writeErr != nil {
		return c.writeErr
	}
	return io.EOF
}
