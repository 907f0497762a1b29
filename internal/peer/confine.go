package peer

import (
	"errors"

	"github.com/rs/zerolog"
	"storj.io/drpc"

	"github.com/rattancove/rattancove/internal/panics"
)

// confinedHandler serves calls so that a panic fails only the call that caused it. The
// calling process treats it like a lost connection: whether the call took effect is
// unknown.
type confinedHandler struct {
	drpc.Handler
	log *zerolog.Logger
}

// HandleRPC implements drpc.Handler.
func (h confinedHandler) HandleRPC(stream drpc.Stream, rpc string) error {
	err := panics.Recover(func() error { return h.Handler.HandleRPC(stream, rpc) })
	var panicked *panics.Error
	if errors.As(err, &panicked) {
		eventPeerCallPanicked.Log(h.log).Str("call", rpc).Interface("reason", panicked.Reason).Bytes("stack", panicked.Stack).Send()
	}
	return err
}
