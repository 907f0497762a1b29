package home

import (
	"context"
	"sync/atomic"

	"github.com/rattancove/rattancove/internal/statement"
)

// conversation notes whether anything was passed to the caller. After that an
// attempt cannot be repeated.
type conversation struct {
	statement.Conversation
	passed atomic.Bool
	// left is set when the caller could not be reached.
	left atomic.Bool
}

// Answer implements statement.Conversation.
func (c *conversation) Answer(ctx context.Context, data []byte) error {
	c.passed.Store(true)
	err := c.Conversation.Answer(ctx, data)
	if err != nil {
		c.left.Store(true)
	}
	return err
}

// Next implements statement.Conversation.
func (c *conversation) Next(ctx context.Context) (*statement.Batch, error) {
	// A batch that was taken from the caller is not there for another attempt.
	c.passed.Store(true)
	return c.Conversation.Next(ctx)
}
