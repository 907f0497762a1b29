package home

import (
	"context"
	"sync/atomic"

	"github.com/rattancove/rattancove/internal/statement"
)

// trackedConversation records the events that exclude a retry.
type trackedConversation struct {
	statement.Conversation
	// started is set once anything was sent to or taken from the caller.
	started atomic.Bool
	// disconnected is set once sending to the caller has failed.
	disconnected atomic.Bool
}

// SendResponse implements statement.Conversation.
func (c *trackedConversation) SendResponse(ctx context.Context, data []byte) error {
	c.started.Store(true)
	err := c.Conversation.SendResponse(ctx, data)
	if err != nil {
		c.disconnected.Store(true)
	}
	return err
}

// Next implements statement.Conversation.
func (c *trackedConversation) Next(ctx context.Context) (*statement.Batch, error) {
	// A batch that was taken from the caller is not available to another attempt.
	c.started.Store(true)
	return c.Conversation.Next(ctx)
}
