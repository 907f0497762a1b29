package rollout

import (
	"github.com/rattancove/rattancove/internal/environment"
)

// maxPreviousDocuments is the number of documents that were in force before for which
// updates can be made. Peers are seldom further behind.
const maxPreviousDocuments = 8

// Update is what a process that holds one document needs for another.
type Update struct {
	// Manifest names the pieces of the document.
	Manifest []byte
	// Pieces are those that the process lacks.
	Pieces [][]byte
}

// previousDocument is what is kept of a document that was in force.
type previousDocument struct {
	digest string
	pieces map[string]bool
}

// retain keeps what updates from a document need. The caller holds the lock.
func (w *Watcher) retain(d *ActiveDocument) {
	if d == nil || d.Text.Whole() {
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

// UpdateFrom returns the document in force and the update that leads to it
// from the document of a digest. The last result is false when the whole
// document is needed.
func (w *Watcher) UpdateFrom(digest string) (*ActiveDocument, Update, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.active == nil || w.active.Text.Whole() {
		return w.active, Update{}, false
	}
	for _, previous := range w.previous {
		if previous.digest == digest {
			return w.active, w.active.updateFor(previous), true
		}
	}
	return w.active, Update{}, false
}

func (d *ActiveDocument) updateFor(previous previousDocument) Update {
	u := Update{Manifest: d.Text.Manifest()}
	for _, p := range d.Text.Pieces {
		if !previous.pieces[p.Digest] {
			u.Pieces = append(u.Pieces, p.Data)
		}
	}
	return u
}

// Apply returns the document that an update leads to from this one.
func (d *ActiveDocument) Apply(u Update) ([]byte, error) {
	digests, _, err := environment.PieceDigests(u.Manifest)
	if err != nil {
		return nil, err
	}
	pieces := d.Text.ByDigest()
	for _, data := range u.Pieces {
		pieces[environment.Digest(data)] = data
	}
	return environment.Join(digests, pieces)
}
