package back

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/rattancove/rattancove/internal/backend"
	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/errcode"
)

// Control is a control connection.
type Control struct {
	proto *protocolConn
}

var _ backend.Control = (*Control)(nil)

// Status returns the status of the server.
func (c *Control) Status(ctx context.Context) (cluster.ServerStatus, error) {
	return c.call(ctx, FuncStatus)
}

// Claim makes claim the highest home claim. The error is superseded if the server
// has accepted a higher one.
func (c *Control) Claim(ctx context.Context, claim backend.Claim) (cluster.ServerStatus, error) {
	return c.call(ctx, FuncClaim, claim.Epoch, claim.Home)
}

// Seal makes the server accept term for holder.
func (c *Control) Seal(ctx context.Context, term cluster.Term, holder string) (cluster.ServerStatus, error) {
	return c.call(ctx, FuncSeal, term, holder)
}

// Promote makes the server the primary of term.
func (c *Control) Promote(ctx context.Context, term cluster.Term, holder string) (cluster.ServerStatus, error) {
	return c.call(ctx, FuncPromote, term, holder)
}

// Follow makes the server a replica of leader at term.
func (c *Control) Follow(ctx context.Context, term cluster.Term, leader cluster.Server) (cluster.ServerStatus, error) {
	return c.call(ctx, FuncFollow, term, leader.ID, leader.Address)
}

// Close closes the connection.
func (c *Control) Close() error { return c.proto.close() }

// call runs one control function. An error reported by the server leaves the
// connection usable; any other closes it.
func (c *Control) call(ctx context.Context, name string, args ...any) (cluster.ServerStatus, error) {
	var st cluster.ServerStatus
	ctx, cancel := context.WithTimeout(ctx, c.proto.cfg.ControlTimeout)
	defer cancel()
	if err := c.proto.checkIdle(); err != nil {
		_ = c.proto.close()
		return st, wrapError(err, unsentErrorCode(err), strings.TrimPrefix(name, "rattan_"), c.proto.server)
	}
	var r queryResponse
	if err := c.proto.pipeline(ctx, r.segment(query(callQuery(name, args)))); err != nil {
		return st, c.wrap(err, errcode.Unknown, name)
	}
	if err := r.serverError(); err != nil {
		return st, c.wrap(err, controlErrorCode(r.err), name)
	}
	if len(r.rows) != 1 || len(r.rows[0]) != 1 {
		return st, c.wrap(eris.New("one row expected"), errcode.Unknown, name)
	}
	if err := json.Unmarshal(r.rows[0][0], &st); err != nil {
		return st, c.wrap(err, errcode.Unknown, name)
	}
	return st, nil
}

func (c *Control) wrap(err error, code errcode.Code, step string) error {
	if errors.Is(err, context.DeadlineExceeded) {
		code = errcode.Unknown
	}
	return wrapError(err, code, strings.TrimPrefix(step, "rattan_"), c.proto.server)
}

// controlErrorCode distinguishes a refusal, after which nothing has changed, from
// other errors, after which the outcome is unknown.
func controlErrorCode(e *ServerError) errcode.Code {
	if e.Code == SQLStateRefused || e.Code == SQLStateSuperseded {
		return errcode.Superseded
	}
	return errcode.Unknown
}

func callQuery(name string, args []any) string {
	quoted := make([]string, len(args))
	for i, a := range args {
		quoted[i] = quoteLiteral(fmt.Sprint(a))
	}
	return "SELECT " + name + "(" + strings.Join(quoted, ", ") + ")"
}

// quoteLiteral returns s as a string literal.
func quoteLiteral(s string) string { return "'" + strings.ReplaceAll(s, "'", "''") + "'" }

// quoteIdentifier returns s as a quoted identifier.
func quoteIdentifier(s string) string { return `"` + strings.ReplaceAll(s, `"`, `""`) + `"` }
