package document

import (
	"context"
	"sync"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/rattancove/rattancove/internal/environment"
)

const (
	// maxPieceCalls bounds the concurrent calls to the object store for one document.
	maxPieceCalls = 16
	// cachedTexts is the number of documents whose pieces a Store caches.
	cachedTexts = 2
)

// pieceCache caches the pieces of the most recently loaded documents. Pieces are
// addressed by their digests and never change.
type pieceCache struct {
	mu    sync.Mutex
	texts []map[string][]byte
}

// add caches the pieces of a text and evicts those of the oldest.
func (c *pieceCache) add(t environment.SplitText) {
	if t.SinglePiece() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.texts = append(c.texts, t.ByDigest())
	if extra := len(c.texts) - cachedTexts; extra > 0 {
		c.texts = c.texts[extra:]
	}
}

func (c *pieceCache) get(digest string) ([]byte, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, pieces := range c.texts {
		if data, ok := pieces[digest]; ok {
			return data, true
		}
	}
	return nil, false
}

// storeText stores a document: first its pieces, except those listed in the object
// of the document in force, and then the manifest that lists them.
func (s *Store) storeText(ctx context.Context, env string, t environment.SplitText, inForce []byte) error {
	if !t.SinglePiece() {
		digests, _, _ := environment.ParseManifest(inForce)
		if err := s.storePieces(ctx, env, t, digests); err != nil {
			return err
		}
	}
	return s.objects.Put(ctx, objectKey(env, environment.Digest(t.Bytes())), t.Manifest())
}

func (s *Store) storePieces(ctx context.Context, env string, t environment.SplitText, stored []string) error {
	missing := t.ByDigest()
	for _, digest := range stored {
		delete(missing, digest)
	}
	calls, ctx := errgroup.WithContext(ctx)
	calls.SetLimit(maxPieceCalls)
	for digest, data := range missing {
		calls.Go(func() error { return s.objects.Put(ctx, pieceKey(env, digest), data) })
	}
	return calls.Wait()
}

// assemble returns the text of a document from its stored object, which is the text
// itself or a manifest. Pieces that base contains are not fetched.
func (s *Store) assemble(ctx context.Context, env string, object []byte, base environment.SplitText) ([]byte, error) {
	digests, manifest, err := environment.ParseManifest(object)
	if err != nil || !manifest {
		return object, err
	}
	known, err := s.fetchPieces(ctx, env, digests, base.ByDigest())
	if err != nil {
		return nil, err
	}
	return environment.Join(digests, known)
}

// fetchPieces adds the missing pieces to known.
func (s *Store) fetchPieces(ctx context.Context, env string, digests []string, known map[string][]byte) (map[string][]byte, error) {
	var mu sync.Mutex
	calls, ctx := errgroup.WithContext(ctx)
	calls.SetLimit(maxPieceCalls)
	for _, digest := range digests {
		mu.Lock()
		_, ok := known[digest]
		mu.Unlock()
		if ok {
			continue
		}
		calls.Go(func() error {
			data, err := s.fetchPiece(ctx, env, digest)
			mu.Lock()
			defer mu.Unlock()
			known[digest] = data
			return err
		})
	}
	return known, calls.Wait()
}

func (s *Store) fetchPiece(ctx context.Context, env, digest string) ([]byte, error) {
	if data, ok := s.cache.get(digest); ok {
		return data, nil
	}
	data, err := s.objects.Get(ctx, pieceKey(env, digest))
	return data, eris.Wrapf(err, "piece %s of %s", digest, env)
}
