package home

import (
	"errors"

	"github.com/rattancove/rattancove/internal/backend"
)

// reportOutOfStep counts and logs an answer out of step, if err reports one.
func (n *node) reportOutOfStep(err error) {
	var mismatch *backend.OutOfStepError
	if !errors.As(err, &mismatch) {
		return
	}
	outOfStepTotal.Inc()
	eventOutOfStep.Log(n.owner.home.log).Str("group", string(n.owner.name)).Str("server", string(n.server.ID)).
		Str("expected", mismatch.Expected).Str("received", mismatch.Received).Send()
}
