package front

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/rattancove/rattancove/internal/errcode"
)

// loseTransaction puts the caller into a failed transaction block that exists only
// in this proxy. The caller must end it before anything else runs, as after an
// error of the server, so that no statement that was meant for the transaction runs
// outside it.
func (c *caller) loseTransaction(lostErr error) {
	c.txStatus = txFailed
	c.lostErr = lostErr
	c.fireEvent(sessionEventTransactionLost)
}

// respondInLostTransaction responds to a batch that arrives after the transaction was
// lost.
func (c *caller) respondInLostTransaction(b *batch) {
	commit, ends := b.endsTransaction()
	lostErr := c.lostErr
	c.lostErr = nil
	switch {
	case ends && commit && lostErr != nil:
		c.endLostTransaction()
		c.refuseBatch(b, lostErr)
	case ends:
		c.endLostTransaction()
		c.respondToRollback(b)
	case lostErr != nil:
		c.refuseBatch(b, lostErr)
	case b.serverMessages == 0 && b.err == nil:
		c.respondToLocalBatch(b)
	default:
		c.refuseBatch(b, errTransactionAborted)
	}
}

func (c *caller) endLostTransaction() {
	c.txStatus = txIdle
	c.fireEvent(sessionEventRolledBack)
}

var errTransactionAborted = &sqlError{
	sqlState: "25P02",
	message:  "current transaction is aborted, commands ignored until end of transaction block",
	outcome:  errcode.OutcomeNotRun,
}

// respondToRollback responds to a batch that does nothing but end the lost transaction.
func (c *caller) respondToRollback(b *batch) {
	complete := &pgproto3.CommandComplete{CommandTag: []byte("ROLLBACK")}
	if b.boundary == boundaryQuery {
		c.writer.writeMessage(complete)
	}
	for _, messageType := range b.extendedTypes {
		switch messageType {
		case msgParse:
			c.writer.writeMessage(&pgproto3.ParseComplete{})
		case msgBind:
			c.writer.writeMessage(&pgproto3.BindComplete{})
		case extendedDescribeStatement:
			c.writer.writeMessage(&pgproto3.ParameterDescription{})
			c.writer.writeMessage(&pgproto3.NoData{})
		case extendedDescribePortal:
			c.writer.writeMessage(&pgproto3.NoData{})
		case msgExecute:
			c.writer.writeMessage(complete)
		case msgClose:
			c.writer.writeMessage(&pgproto3.CloseComplete{})
		}
	}
	if b.boundary != boundaryFlush {
		c.sendReady(txIdle)
	}
}
