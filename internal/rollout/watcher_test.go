package rollout

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/rattancove/rattancove/internal/document"
	"github.com/rattancove/rattancove/internal/environment"
	"github.com/rattancove/rattancove/internal/provider"
	"github.com/rattancove/rattancove/internal/provider/providertest"
)

const env = "cotopaxi-production"

type testStore struct {
	table     *providertest.Table
	objects   *providertest.ObjectStore
	documents *document.Store
}

func newTestStore() *testStore {
	s := &testStore{table: providertest.NewTable(), objects: providertest.NewObjectStore()}
	s.documents = document.NewStore(s.table, s.objects)
	return s
}

func (s *testStore) setDown(down bool) {
	s.table.SetDown(down)
	s.objects.SetDown(down)
}

func documentText(t *testing.T, n int) []byte {
	t.Helper()
	data, err := os.ReadFile("../../examples/cotopaxi.yaml")
	if err != nil {
		t.Fatal(err)
	}
	edit := strings.NewReplacer("queue: 2000", fmt.Sprintf("queue: %d", 2000+n), "day: friday", "day: wednesday")
	return []byte(edit.Replace(string(data)))
}

func (s *testStore) publish(t *testing.T, n int) Version {
	t.Helper()
	c := document.Change{Environment: env, ID: fmt.Sprintf("c%d", n), Who: "rosa", Why: "test"}
	r, err := s.documents.Publish(t.Context(), c, documentText(t, n))
	if err != nil {
		t.Fatal(err)
	}
	return Version{Revision: r.Revision, Digest: r.Digest}
}

// start runs a watcher until the test ends.
func (s *testStore) start(t *testing.T, members int) *Watcher {
	config := Config{Environment: env, Poll: 30 * time.Second, MaxProofAge: 5 * time.Minute, Members: func() int { return members }}
	w := NewWatcher(config, s.documents, zerolog.Nop())
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error)
	go func() { done <- w.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return w
}

func offerOf(data []byte) FetchFunc {
	return func(context.Context) ([]byte, error) { return data, nil }
}

func revisionInForce(w *Watcher) uint64 {
	if inForce := w.Current(); inForce != nil {
		return inForce.Version.Revision
	}
	return 0
}

func TestWatcherFindsDocumentsByPolling(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newTestStore()
		store.publish(t, 1)
		w := store.start(t, 1)
		time.Sleep(time.Second)
		if revisionInForce(w) != 1 || w.ProofExpired() {
			t.Fatalf("state %+v", w.State())
		}
		store.publish(t, 2)
		time.Sleep(46 * time.Second)
		if revisionInForce(w) != 2 {
			t.Errorf("state %+v", w.State())
		}
	})
}

func TestOfferedDocumentIsActivatedImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newTestStore()
		store.publish(t, 1)
		w := store.start(t, 3)
		changes, unsubscribe := w.Subscribe()
		defer unsubscribe()
		if first := <-changes; first.Version.Revision != 1 {
			t.Errorf("first version %+v", first.Version)
		}
		v := store.publish(t, 2)
		begun := time.Now()
		w.Offer("entry-2", v, offerOf(documentText(t, 2)))
		if second := <-changes; second.Version != v || time.Since(begun) > 0 {
			t.Errorf("second version %+v after %s", second.Version, time.Since(begun))
		}
	})
}

// Peers that do not answer must not delay the fetch from another peer until they
// time out.
func TestUnresponsivePeersDoNotBlockFetch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newTestStore()
		store.publish(t, 1)
		w := store.start(t, 4)
		synctest.Wait()
		store.setDown(true)
		v := Version{Revision: 2, Digest: environment.Digest(documentText(t, 2))}
		unresponsive := func(ctx context.Context) ([]byte, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		w.Offer("entry-2", v, unresponsive)
		w.Offer("entry-3", v, unresponsive)
		w.Offer("entry-4", v, offerOf(documentText(t, 2)))
		time.Sleep(time.Second)
		if got := revisionInForce(w); got != 2 {
			t.Errorf("revision %d a second after a peer offered 2", got)
		}
	})
}

func TestRefreshPollsImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newTestStore()
		w := store.start(t, 1)
		synctest.Wait()
		v := store.publish(t, 1)
		w.Refresh()
		synctest.Wait()
		if got := w.State(); got.InForce != v || got.Status != StatusCurrent {
			t.Errorf("in force %+v, status %s, want %+v", got.InForce, got.Status, v)
		}
	})
}

func TestInvalidPeerDataFallsBackToStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newTestStore()
		v := store.publish(t, 1)
		w := store.start(t, 3)
		w.Offer("entry-2", v, offerOf([]byte("forged")))
		w.Offer("entry-3", v, func(context.Context) ([]byte, error) { return nil, errors.New("gone") })
		time.Sleep(time.Second)
		if revisionInForce(w) != 1 {
			t.Errorf("state %+v", w.State())
		}
	})
}

func TestStartDuringOutageFetchesFromPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newTestStore()
		v := store.publish(t, 1)
		store.setDown(true)
		w := store.start(t, 3)
		time.Sleep(10 * time.Second)
		if !w.ProofExpired() {
			t.Error("a process without a document accepts callers")
		}
		w.Offer("entry-2", v, offerOf(documentText(t, 1)))
		time.Sleep(time.Second)
		w.Offer("entry-2", v, nil)
		if revisionInForce(w) != 1 || w.ProofExpired() {
			t.Errorf("state %+v", w.State())
		}
	})
}

func TestProofExpiresDuringLongOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newTestStore()
		store.publish(t, 1)
		w := store.start(t, 8)
		time.Sleep(time.Second)
		store.setDown(true)
		time.Sleep(4 * time.Minute)
		if w.ProofExpired() || w.State().Status != StatusUnproven {
			t.Errorf("state %+v before the limit", w.State())
		}
		time.Sleep(2 * time.Minute)
		if age, ok := w.ProofAge(); !w.ProofExpired() || !ok || age < 5*time.Minute {
			t.Errorf("state %+v after the limit", w.State())
		}
		store.setDown(false)
		time.Sleep(46 * time.Second)
		if w.ProofExpired() || revisionInForce(w) != 1 {
			t.Errorf("state %+v after the outage", w.State())
		}
	})
}

func TestPeerMajorityProvesDocumentDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newTestStore()
		v := store.publish(t, 1)
		w := store.start(t, 3)
		time.Sleep(time.Second)
		store.setDown(true)
		for range 60 {
			w.Offer("entry-2", v, nil)
			time.Sleep(time.Minute)
		}
		if w.ProofExpired() {
			t.Errorf("state %+v", w.State())
		}
	})
}

// restorePointer sets the pointer row back to a revision, like the restore of a
// backup.
func (s *testStore) restorePointer(t *testing.T, revision uint64) {
	t.Helper()
	old, err := s.table.Get(t.Context(), fmt.Sprintf("hist/%s/%020d", env, revision))
	if err != nil {
		t.Fatal(err)
	}
	row, err := s.table.Get(t.Context(), "env/"+env)
	if err != nil {
		t.Fatal(err)
	}
	write := provider.Write{Key: row.Key, IfVersion: row.Version, Value: old.Value}
	if _, err := s.table.Commit(t.Context(), write); err != nil {
		t.Fatal(err)
	}
}

func TestPointerRegressionIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newTestStore()
		store.publish(t, 1)
		v := store.publish(t, 2)
		w := store.start(t, 1)
		time.Sleep(time.Second)
		store.restorePointer(t, 1)
		time.Sleep(2 * time.Minute)
		if w.Current().Version != v {
			t.Errorf("state %+v", w.State())
		}
	})
}

func TestBootstrap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newTestStore()
		w := NewWatcher(Config{Environment: env, Poll: time.Second, MaxProofAge: time.Minute}, store.documents, zerolog.Nop())
		if err := w.Bootstrap([]byte("name: x")); !errors.As(err, &environment.Faults{}) {
			t.Errorf("error is %v", err)
		}
		if err := w.Bootstrap(documentText(t, 0)); err != nil || w.Current() == nil {
			t.Errorf("error is %v", err)
		}
	})
}
