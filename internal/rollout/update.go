package rollout

import (
	"github.com/rattancove/rattancove/internal/environment"
)

// maxPreviousDocuments is the number of documents previously in force from which
// updates can be computed. Peers are rarely further behind.
const maxPreviousDocuments = 8

// Update is the difference between two documents.
type Update struct {
	// Manifest lists the digests of the new document's pieces.
	Manifest []byte
	// Pieces are the pieces that the previous document does not contain.
	Pieces [][]byte
}

// previousDocument is what is kept of a document that was previously in force.
type previousDocument struct {
	digest string
	pieces map[string]bool
}

// retain keeps the digests that are needed to compute updates from a document.
// The caller holds the lock.
func (w *Watcher) retain(d *DocumentInForce) {
	if d == nil || d.Text.SinglePiece() {
		return
	}
	previous := previousDocument{digest: d.Version.Digest, pieces: map[string]bool{}}
	for _, p := range d.Text.Pieces {
		previous.pieces[p.Digest] = true
	}
	w.previous = append(w.previous, previous)
	if extra := len(w.previous) - maxPreviousDocuments; extra > 0 {
		w.previous = w.previous[extra:]
	}
}

// UpdateFrom returns the document in force and the update to it from the document
// with the given digest. The last result is false when no update can be computed
// and the whole document is needed.
func (w *Watcher) UpdateFrom(digest string) (*DocumentInForce, Update, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.inForce == nil || w.inForce.Text.SinglePiece() {
		return w.inForce, Update{}, false
	}
	for _, previous := range w.previous {
		if previous.digest == digest {
			return w.inForce, w.inForce.updateFor(previous), true
		}
	}
	return w.inForce, Update{}, false
}

func (d *DocumentInForce) updateFor(previous previousDocument) Update {
	u := Update{Manifest: d.Text.Manifest()}
	for _, p := range d.Text.Pieces {
		if !previous.pieces[p.Digest] {
			u.Pieces = append(u.Pieces, p.Data)
		}
	}
	return u
}

// Apply returns the document that results from applying an update to this one.
func (d *DocumentInForce) Apply(u Update) ([]byte, error) {
	digests, _, err := environment.ParseManifest(u.Manifest)
	if err != nil {
		return nil, err
	}
	pieces := d.Text.ByDigest()
	for _, data := range u.Pieces {
		pieces[environment.Digest(data)] = data
	}
	return environment.Join(digests, pieces)
}
