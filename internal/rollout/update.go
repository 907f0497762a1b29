package rollout

import (
	"github.com/rattancove/rattancove/internal/environment"
)

// pastKept is the number of documents that were in force before for which
// updates can be made. Peers are seldom further behind.
const pastKept = 8

// Update is what a process that holds one document needs for another.
type Update struct {
	// Manifest names the pieces of the document.
	Manifest []byte
	// Pieces are those that the process lacks.
	Pieces [][]byte
}

// pastDocument is what is kept of a document that was in force.
type pastDocument struct {
	digest string
	pieces map[string]bool
}

// remember keeps what updates from a document need. The caller holds the lock.
func (w *Watcher) remember(d *InForce) {
	if d == nil || d.Text.Whole() {
		return
	}
	past := pastDocument{digest: d.Version.Digest, pieces: map[string]bool{}}
	for _, p := range d.Text.Pieces {
		past.pieces[p.Digest] = true
	}
	w.past = append(w.past, past)
	if extra := len(w.past) - pastKept; extra > 0 {
		w.past = w.past[extra:]
	}
}

// UpdateFrom returns the document in force and the update that leads to it
// from the document of a digest. The last result is false when the whole
// document is needed.
func (w *Watcher) UpdateFrom(digest string) (*InForce, Update, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.inForce == nil || w.inForce.Text.Whole() {
		return w.inForce, Update{}, false
	}
	for _, past := range w.past {
		if past.digest == digest {
			return w.inForce, w.inForce.updateFrom(past), true
		}
	}
	return w.inForce, Update{}, false
}

func (d *InForce) updateFrom(past pastDocument) Update {
	u := Update{Manifest: d.Text.Manifest()}
	for _, p := range d.Text.Pieces {
		if !past.pieces[p.Digest] {
			u.Pieces = append(u.Pieces, p.Data)
		}
	}
	return u
}

// Apply returns the document that an update leads to from this one.
func (d *InForce) Apply(u Update) ([]byte, error) {
	digests, _, err := environment.PieceDigests(u.Manifest)
	if err != nil {
		return nil, err
	}
	known := d.Text.ByDigest()
	for _, data := range u.Pieces {
		known[environment.Digest(data)] = data
	}
	return environment.Join(digests, known)
}
