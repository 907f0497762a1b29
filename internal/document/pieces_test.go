package document

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"github.com/rattancove/rattancove/internal/environment"
	"github.com/rattancove/rattancove/internal/environment/environmenttest"
	"github.com/rattancove/rattancove/internal/provider"
)

const largeGroups = 300

func largeDocument(slots int) []byte { return environmenttest.WithSlots(largeGroups, slots) }

// publishLarge publishes a large document and returns its revision.
func (f fixture) publishLarge(t *testing.T, id string, slots int) Revision {
	t.Helper()
	r, err := f.Publish(t.Context(), change(id), largeDocument(slots))
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// objectCalls returns the number of calls to the object store made by do.
func (f fixture) objectCalls(t *testing.T, do func() error) (gets, puts int) {
	t.Helper()
	before := f.calls()
	if err := do(); err != nil {
		t.Fatal(err)
	}
	after := f.calls()
	return after.ObjectGets - before.ObjectGets, after.ObjectPuts - before.ObjectPuts
}

// TestAChangeWritesAndReadsOnePiece checks that a change of one group writes one piece and
// the manifest, and that an update with the previous text reads the same two.
func TestAChangeWritesAndReadsOnePiece(t *testing.T) {
	f := newFixture()
	pieces := len(environment.Split(largeDocument(2)).Pieces)
	if _, puts := f.objectCalls(t, func() error { f.publishLarge(t, "c1", 2); return nil }); puts != pieces+1 {
		t.Errorf("the first document took %d writes, want %d", puts, pieces+1)
	}
	var second Revision
	if gets, puts := f.objectCalls(t, func() error { second = f.publishLarge(t, "c2", 3); return nil }); gets > pieces+1 || puts != 2 {
		t.Errorf("a change took %d reads and %d writes", gets, puts)
	}
	if gets, puts := f.objectCalls(t, func() error { f.publishLarge(t, "c3", 4); return nil }); gets > 2 || puts != 2 {
		t.Errorf("the next change took %d reads and %d writes", gets, puts)
	}
	if second.Digest != environment.Digest(largeDocument(3)) {
		t.Errorf("the revision names %s", second.Digest)
	}
	other := NewStore(f.table, f.objects)
	var data []byte
	gets, _ := f.objectCalls(t, func() (err error) {
		data, err = other.Update(t.Context(), env, second.Digest, environment.Split(largeDocument(2)))
		return err
	})
	if gets != 2 || !bytes.Equal(data, largeDocument(3)) {
		t.Errorf("an update took %d reads and has %d bytes", gets, len(data))
	}
}

func TestLargeDocumentsArePromotedAndRolledBack(t *testing.T) {
	f := newFixture()
	f.publishLarge(t, "c1", 2)
	f.publishLarge(t, "c2", 3)
	c := change("p")
	c.Environment = "other"
	promoted, err := f.Promote(t.Context(), c, env)
	if err != nil {
		t.Fatal(err)
	}
	back, err := f.Rollback(t.Context(), change("r"), 1)
	if err != nil {
		t.Fatal(err)
	}
	fresh := NewStore(f.table, f.objects)
	for _, c := range []struct {
		env      string
		revision Revision
		want     []byte
	}{{"other", promoted, largeDocument(3)}, {env, back, largeDocument(2)}} {
		if data, err := fresh.Bytes(t.Context(), c.env, c.revision.Digest); err != nil || !bytes.Equal(data, c.want) {
			t.Errorf("%s: %d bytes, %v", c.env, len(data), err)
		}
	}
}

// TestWholeObjectsOfLargeDocumentsStayReadable checks compatibility with earlier
// versions, which stored a large document as one object.
func TestWholeObjectsOfLargeDocumentsStayReadable(t *testing.T) {
	f := newFixture()
	r := f.publishLarge(t, "c1", 2)
	if err := f.objects.Put(t.Context(), objectKey(env, r.Digest), largeDocument(2)); err != nil {
		t.Fatal(err)
	}
	for _, p := range environment.Split(largeDocument(2)).Pieces {
		if err := f.objects.Put(t.Context(), pieceKey(env, p.Digest), nil); err != nil {
			t.Fatal(err)
		}
	}
	fresh := fixture{Store: NewStore(f.table, f.objects), table: f.table, objects: f.objects}
	if _, doc, err := fresh.Document(t.Context(), env); err != nil || len(doc.Groups) != largeGroups {
		t.Fatal(err)
	}
	next := fresh.publishLarge(t, "c2", 3)
	if data, err := NewStore(f.table, f.objects).Bytes(t.Context(), env, next.Digest); err != nil || !bytes.Equal(data, largeDocument(3)) {
		t.Errorf("the next document has %d bytes, %v", len(data), err)
	}
}

// TestBrokenPiecesAreRefused replaces a piece by another text, and a manifest by that
// of another document.
func TestBrokenPiecesAreRefused(t *testing.T) {
	for name, object := range map[string][]byte{"forged": []byte("  - name: forged\n"), "empty": nil} {
		f := newFixture()
		r := f.publishLarge(t, "c1", 2)
		if err := f.objects.Put(t.Context(), pieceKey(env, environment.Split(largeDocument(2)).Pieces[2].Digest), object); err != nil {
			t.Fatal(err)
		}
		if _, err := NewStore(f.table, f.objects).Bytes(t.Context(), env, r.Digest); !errors.Is(err, environment.ErrManifest) {
			t.Errorf("%s: %v", name, err)
		}
	}
	f := newFixture()
	r := f.publishLarge(t, "c1", 2)
	another := environment.Split(largeDocument(3)).Manifest()
	if err := f.objects.Put(t.Context(), objectKey(env, r.Digest), another); err != nil {
		t.Fatal(err)
	}
	f.publishPieces(t, largeDocument(3))
	if _, err := NewStore(f.table, f.objects).Bytes(t.Context(), env, r.Digest); !errors.Is(err, ErrDigest) {
		t.Errorf("the manifest of another document: %v", err)
	}
}

func (f fixture) publishPieces(t *testing.T, data []byte) {
	t.Helper()
	for _, p := range environment.Split(data).Pieces {
		if err := f.objects.Put(t.Context(), pieceKey(env, p.Digest), p.Data); err != nil {
			t.Fatal(err)
		}
	}
}

// TestNothingChangesWhenThePiecesCannotBeWritten checks that a change has no effect
// while the object store is unavailable.
func TestNothingChangesWhenThePiecesCannotBeWritten(t *testing.T) {
	f := newFixture()
	f.publishLarge(t, "c1", 2)
	f.objects.SetDown(true)
	if _, err := f.Publish(t.Context(), change("c2"), largeDocument(3)); err == nil {
		t.Error("a document without pieces was accepted")
	}
	f.objects.SetDown(false)
	if r, err := f.Current(t.Context(), env); err != nil || r.Revision != 1 {
		t.Errorf("%s, %v", r, err)
	}
}

func TestFaultsOfLargeDocumentsNameTheirLine(t *testing.T) {
	f := newFixture()
	data := strings.Replace(string(largeDocument(2)), environmenttest.SlotsText(largeGroups/2, 2), environmenttest.SlotsText(largeGroups/2, 0), 1)
	_, err := f.Publish(t.Context(), change("c1"), []byte(data))
	var faults environment.Faults
	if !errors.As(err, &faults) || faults[0].Line < largeGroups {
		t.Errorf("error is %v", err)
	}
	if _, err := f.Current(t.Context(), env); !errors.Is(err, provider.ErrNotFound) {
		t.Errorf("the environment has a document: %v", err)
	}
}

func TestLargeDocumentsOverTheAdapters(t *testing.T) {
	store := newAdapterStore(t)
	for slots := 2; slots <= 4; slots++ {
		id := string(rune('a' + slots))
		r, err := store.Publish(t.Context(), change(id), largeDocument(slots))
		if err != nil {
			t.Fatal(err)
		}
		fresh := NewStore(store.table, store.objects)
		if data, err := fresh.Bytes(t.Context(), env, r.Digest); err != nil || !bytes.Equal(data, largeDocument(slots)) {
			t.Errorf("%s has %d bytes, %v", r, len(data), err)
		}
	}
}
