package document

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/rattancove/rattancove/internal/environment"
	"github.com/rattancove/rattancove/internal/provider"
)

// Store reads and changes the documents of all environments. It caches the pieces
// of the most recently loaded documents, which are immutable. It is safe for
// concurrent use.
type Store struct {
	table   provider.Table
	objects provider.ObjectStore
	cache   pieceCache
	parser  *environment.Parser
}

// NewStore returns a store on the platform's table and object services.
func NewStore(table provider.Table, objects provider.ObjectStore) *Store {
	return &Store{table: table, objects: objects, parser: environment.NewParser()}
}

// Current returns the revision in force, or provider.ErrNotFound.
func (s *Store) Current(ctx context.Context, env string) (Revision, error) {
	r, _, err := s.pointer(ctx, env)
	return r, err
}

// History returns all revisions of an environment, oldest first.
func (s *Store) History(ctx context.Context, env string) ([]Revision, error) {
	rows, err := s.table.List(ctx, historyPrefix(env))
	if err != nil {
		return nil, err
	}
	revisions := make([]Revision, 0, len(rows))
	for _, row := range rows {
		r, err := decodeRevision(row.Value)
		if err != nil {
			return nil, err
		}
		revisions = append(revisions, r)
	}
	return revisions, nil
}

// Revision returns one revision of an environment, or provider.ErrNotFound.
func (s *Store) Revision(ctx context.Context, env string, revision uint64) (Revision, error) {
	row, err := s.table.Get(ctx, historyKey(env, revision))
	if err != nil {
		return Revision{}, err
	}
	return decodeRevision(row.Value)
}

// Parser returns the parser of the Store, which shares its cache with other users.
func (s *Store) Parser() *environment.Parser { return s.parser }

// Bytes returns the text of the document with a digest and verifies the digest.
func (s *Store) Bytes(ctx context.Context, env, digest string) ([]byte, error) {
	return s.Update(ctx, env, digest, environment.SplitText{})
}

// Update returns the same text as Bytes, but fetches only the pieces that base does
// not contain.
func (s *Store) Update(ctx context.Context, env, digest string, base environment.SplitText) ([]byte, error) {
	t, _, err := s.loadText(ctx, env, digest, base)
	return t.Bytes(), err
}

// loadText returns the split text of a document, and its stored object: the text
// itself or a manifest.
func (s *Store) loadText(ctx context.Context, env, digest string, base environment.SplitText) (environment.SplitText, []byte, error) {
	object, err := s.objects.Get(ctx, objectKey(env, digest))
	if err != nil {
		return environment.SplitText{}, nil, err
	}
	data, err := s.assemble(ctx, env, object, base)
	if err != nil {
		return environment.SplitText{}, nil, err
	}
	if environment.Digest(data) != digest {
		return environment.SplitText{}, nil, eris.Wrapf(ErrDigest, "document %s of %s", digest, env)
	}
	t := environment.Split(data)
	s.cache.add(t)
	return t, object, nil
}

// Document returns the revision in force with its document, or
// provider.ErrNotFound.
func (s *Store) Document(ctx context.Context, env string) (Revision, *environment.Document, error) {
	r, err := s.Current(ctx, env)
	if err != nil {
		return Revision{}, nil, err
	}
	d, _, err := s.loadDocument(ctx, env, r.Digest)
	return r, d, err
}

// loadDocument returns a document and its stored object.
func (s *Store) loadDocument(ctx context.Context, env, digest string) (*environment.Document, []byte, error) {
	t, object, err := s.loadText(ctx, env, digest, environment.SplitText{})
	if err != nil {
		return nil, nil, err
	}
	d, err := s.parser.ParseSplit(t)
	return d, object, err
}

// Plan returns the revision in force and the changes that publishing data would
// make. The error is environment.Faults when data is invalid or may not replace
// the document in force.
func (s *Store) Plan(ctx context.Context, env string, data []byte) (Revision, environment.Plan, error) {
	next, err := s.parser.Parse(data)
	if err != nil {
		return Revision{}, nil, err
	}
	r, current, err := s.Document(ctx, env)
	if errors.Is(err, provider.ErrNotFound) {
		return Revision{}, environment.Diff(nil, next), nil
	}
	if err != nil {
		return Revision{}, nil, err
	}
	return r, environment.Diff(current, next), environment.CheckChange(current, next)
}

// Publish makes data the document in force in the change's environment.
//
// The error is environment.Faults, *RequestError, *WindowError or *ConflictError
// when the change had no effect, and *UnknownError when it may have had one.
func (s *Store) Publish(ctx context.Context, c Change, data []byte) (Revision, error) {
	return s.apply(ctx, c, target{kind: KindPublish, data: data})
}

// Promote publishes the document in force in another environment. It returns the
// same errors as Publish.
func (s *Store) Promote(ctx context.Context, c Change, from string) (Revision, error) {
	if applied, done, err := s.findApplied(ctx, c, target{kind: KindPromote, source: from}); done || err != nil {
		return applied, err
	}
	source, err := s.Current(ctx, from)
	if err != nil {
		return Revision{}, eris.Wrapf(err, "environment %s", from)
	}
	if c.IfDigest != "" && c.IfDigest != source.Digest {
		return Revision{}, &ConflictError{Current: source}
	}
	data, err := s.Bytes(ctx, from, source.Digest)
	if err != nil {
		return Revision{}, err
	}
	return s.apply(ctx, c, target{kind: KindPromote, source: from, data: data})
}

// Rollback publishes the document of an earlier revision. It returns the same errors
// as Publish.
func (s *Store) Rollback(ctx context.Context, c Change, to uint64) (Revision, error) {
	source := strconv.FormatUint(to, 10)
	if applied, done, err := s.findApplied(ctx, c, target{kind: KindRollback, source: source}); done || err != nil {
		return applied, err
	}
	earlier, err := s.Revision(ctx, c.Environment, to)
	if err != nil {
		return Revision{}, eris.Wrapf(err, "revision %d of %s", to, c.Environment)
	}
	data, err := s.Bytes(ctx, c.Environment, earlier.Digest)
	if err != nil {
		return Revision{}, err
	}
	return s.apply(ctx, c, target{kind: KindRollback, source: source, data: data})
}

// target is the document that a change puts in force, and where it comes from.
type target struct {
	kind   Kind
	source string
	// data is nil until the document of the source has been read.
	data []byte
}

// matches reports whether r is the result of a change to this target.
func (t target) matches(r Revision) bool {
	if r.Kind != t.kind || r.Source != t.source {
		return false
	}
	return t.kind != KindPublish || r.Digest == environment.Digest(t.data)
}

// pointer returns the revision in force and the version of its row.
func (s *Store) pointer(ctx context.Context, env string) (Revision, uint64, error) {
	row, err := s.table.Get(ctx, pointerKey(env))
	if err != nil {
		return Revision{}, 0, err
	}
	r, err := decodeRevision(row.Value)
	return r, row.Version, err
}

// findApplied returns the revision that an earlier call with the same change id
// created, if any. An id that was used for a different change is refused.
func (s *Store) findApplied(ctx context.Context, c Change, t target) (Revision, bool, error) {
	if err := c.validate(); err != nil {
		return Revision{}, false, err
	}
	row, err := s.table.Get(ctx, changeKey(c.Environment, c.ID))
	if errors.Is(err, provider.ErrNotFound) {
		return Revision{}, false, nil
	}
	if err != nil {
		return Revision{}, false, err
	}
	r, err := decodeRevision(row.Value)
	if err != nil {
		return Revision{}, false, err
	}
	if !t.matches(r) {
		return Revision{}, false, &RequestError{Field: "change_id", Message: "was used for another change"}
	}
	return r, true, nil
}

// newRevision returns the revision that follows current.
func newRevision(c Change, t target, current Revision) Revision {
	return Revision{
		Environment: c.Environment,
		Revision:    current.Revision + 1,
		Digest:      environment.Digest(t.data),
		Previous:    current.Revision,
		Kind:        t.kind,
		Source:      t.source,
		ChangeID:    c.ID,
		Who:         c.Who,
		Why:         c.Why,
		Time:        time.Now().UTC(),
		Override:    c.Override,
	}
}

// String describes the revision in messages.
func (r Revision) String() string {
	return fmt.Sprintf("revision %d of %s", r.Revision, r.Environment)
}
