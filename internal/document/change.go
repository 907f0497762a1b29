package document

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/rattancove/rattancove/internal/environment"
	"github.com/rattancove/rattancove/internal/provider"
)

const (
	// commitTimeout bounds all attempts to commit a change and learn its outcome.
	commitTimeout     = 20 * time.Second
	initialRetryDelay = 50 * time.Millisecond
	maxRetryDelay     = 2 * time.Second
)

// apply validates a change, stores its document and commits the new revision. A
// change that has been applied before returns its revision.
func (s *Store) apply(ctx context.Context, c Change, t target) (Revision, error) {
	if applied, done, err := s.findApplied(ctx, c, t); done || err != nil {
		return applied, err
	}
	text := environment.Split(t.data)
	doc, err := s.parser.ParseSplit(text)
	if err != nil {
		return Revision{}, err
	}
	current, version, err := s.pointer(ctx, c.Environment)
	if err != nil && !errors.Is(err, provider.ErrNotFound) {
		return Revision{}, err
	}
	if c.IfRevision != nil && *c.IfRevision != current.Revision {
		return Revision{}, &ConflictError{Current: current}
	}
	inForce, err := s.checkAllowed(ctx, c, current, doc)
	if err != nil {
		return Revision{}, err
	}
	r := newRevision(c, t, current)
	if err := s.storeText(ctx, c.Environment, text, inForce); err != nil {
		return Revision{}, err
	}
	return s.commit(ctx, r, version)
}

// checkAllowed refuses a change inside a change window of the document in force,
// and a document that may not replace the one in force. It returns the stored
// object of the document in force; nil when there is none.
func (s *Store) checkAllowed(ctx context.Context, c Change, current Revision, next *environment.Document) ([]byte, error) {
	if current.Revision == 0 {
		return nil, nil
	}
	inForce, object, err := s.loadDocument(ctx, c.Environment, current.Digest)
	if err != nil {
		return nil, err
	}
	if window, closed := inForce.WindowAt(time.Now()); closed && c.Override == "" {
		return nil, &WindowError{Window: window}
	}
	return object, environment.CheckChange(inForce, next)
}

// commit updates the pointer row if it still has the given version. All attempts
// have the same preconditions, so that at most one of them takes effect.
func (s *Store) commit(ctx context.Context, r Revision, version uint64) (Revision, error) {
	value, err := encodeRevision(r)
	if err != nil {
		return Revision{}, err
	}
	writes := []provider.Write{
		{Key: pointerKey(r.Environment), IfVersion: version, Value: value},
		{Key: historyKey(r.Environment, r.Revision), Value: value},
		{Key: changeKey(r.Environment, r.ChangeID), Value: value},
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	attempt := func() (Revision, error) {
		_, err := s.table.Commit(ctx, writes...)
		switch {
		case err == nil:
			return r, nil
		case errors.Is(err, provider.ErrConflict):
			return s.resolveConflict(ctx, r)
		default:
			return Revision{}, &UnknownError{ChangeID: r.ChangeID, Cause: err}
		}
	}
	return retry(ctx, r.ChangeID, attempt)
}

// resolveConflict determines after a conflict whether an earlier attempt of the same
// change took effect. If not, it returns the revision in force as a ConflictError.
func (s *Store) resolveConflict(ctx context.Context, r Revision) (Revision, error) {
	row, err := s.table.Get(ctx, changeKey(r.Environment, r.ChangeID))
	if err == nil {
		return decodeRevision(row.Value)
	}
	if !errors.Is(err, provider.ErrNotFound) {
		return Revision{}, &UnknownError{ChangeID: r.ChangeID, Cause: err}
	}
	current, _, err := s.pointer(ctx, r.Environment)
	if err != nil && !errors.Is(err, provider.ErrNotFound) {
		return Revision{}, &UnknownError{ChangeID: r.ChangeID, Cause: err}
	}
	return Revision{}, &ConflictError{Current: current}
}

// retry repeats attempt while its outcome is unknown, for up to commitTimeout.
func retry(ctx context.Context, changeID string, attempt func() (Revision, error)) (Revision, error) {
	policy := backoff.NewExponentialBackOff()
	policy.InitialInterval, policy.MaxInterval = initialRetryDelay, maxRetryDelay
	var unknown *UnknownError
	r, err := backoff.Retry(ctx, func() (Revision, error) {
		r, err := attempt()
		if err != nil && !errors.As(err, &unknown) {
			return r, backoff.Permanent(err)
		}
		return r, err
	}, backoff.WithBackOff(policy), backoff.WithMaxElapsedTime(commitTimeout))
	if err == nil {
		return r, nil
	}
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		return Revision{}, &UnknownError{ChangeID: changeID, Cause: err}
	}
	return Revision{}, err
}
