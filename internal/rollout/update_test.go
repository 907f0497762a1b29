package rollout

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rattancove/rattancove/internal/document"
	"github.com/rattancove/rattancove/internal/environment"
	"github.com/rattancove/rattancove/internal/environment/environmenttest"
)

// publishLarge publishes a large document whose revision is n.
func (s *testStore) publishLarge(t *testing.T, n int) Version {
	t.Helper()
	c := document.Change{Environment: env, ID: fmt.Sprintf("c%d", n), Who: "rosa", Why: "test"}
	r, err := s.documents.Publish(t.Context(), c, largeDocument(n))
	if err != nil {
		t.Fatal(err)
	}
	return Version{Revision: r.Revision, Digest: r.Digest}
}

func largeDocument(n int) []byte { return environmenttest.WithSlots(300, n) }

func updateSize(u Update) int {
	bytes := len(u.Manifest)
	for _, p := range u.Pieces {
		bytes += len(p)
	}
	return bytes
}

func TestUpdateHasOnlyChangedPieces(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newTestStore()
		w := store.start(t, 1)
		var installed []*DocumentInForce
		for n := 1; n <= 2+maxPreviousDocuments; n++ {
			store.publishLarge(t, n)
			w.Refresh()
			synctest.Wait()
			installed = append(installed, w.Current())
		}
		newest := installed[len(installed)-1]
		for i, old := range installed[:len(installed)-1] {
			current, u, ok := w.UpdateFrom(old.Version.Digest)
			if i == 0 {
				if ok {
					t.Error("got an update from a document that should no longer be retained")
				}
				continue
			}
			data, err := old.Apply(u)
			if !ok || err != nil || current != newest || !bytes.Equal(data, newest.Text.Bytes()) {
				t.Errorf("from revision %d: %t, %v", old.Version.Revision, ok, err)
			}
			if len(u.Pieces) != 1 || updateSize(u) > len(data)/10 {
				t.Errorf("from revision %d: %d pieces, %d of %d bytes", old.Version.Revision, len(u.Pieces), updateSize(u), len(data))
			}
		}
		u := newest.updateFor(previousDocument{digest: installed[0].Version.Digest})
		u.Pieces[1] = []byte("  - name: forged\n")
		if _, err := (&DocumentInForce{}).Apply(u); !errors.Is(err, environment.ErrManifest) {
			t.Errorf("a forged piece: %v", err)
		}
	})
}

// TestWatcherReadsOnlyNewPieces checks that a watcher reads only the changed
// pieces of a new revision from the object store.
func TestWatcherReadsOnlyNewPieces(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newTestStore()
		store.publishLarge(t, 1)
		store.documents = document.NewStore(store.table, store.objects) // another process
		w := store.start(t, 1)
		synctest.Wait()
		publisher := &testStore{table: store.table, objects: store.objects, documents: document.NewStore(store.table, store.objects)}
		v := publisher.publishLarge(t, 2)
		before := store.objects.CallCount("get")
		w.Refresh()
		synctest.Wait()
		if gets := store.objects.CallCount("get") - before; w.Current().Version != v || gets != 2 {
			t.Errorf("revision %d is in force after %d reads", revisionInForce(w), gets)
		}
	})
}

// TestInvalidUpdateFallsBackToStore offers an update with a forged piece.
func TestInvalidUpdateFallsBackToStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newTestStore()
		store.publishLarge(t, 1)
		w := store.start(t, 3)
		synctest.Wait()
		v := store.publishLarge(t, 2)
		next := environment.Split(largeDocument(2))
		w.Offer("entry-2", v, func(context.Context) ([]byte, error) {
			return w.Current().Apply(Update{Manifest: next.Manifest(), Pieces: [][]byte{[]byte("  - name: forged\n")}})
		})
		time.Sleep(time.Second)
		if w.Current().Version != v {
			t.Errorf("state %+v", w.State())
		}
	})
}
