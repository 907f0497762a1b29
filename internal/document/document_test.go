package document

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rattancove/rattancove/internal/environment"
	"github.com/rattancove/rattancove/internal/provider"
	"github.com/rattancove/rattancove/internal/provider/providertest"
)

const env = "cotopaxi-production"

// variant returns a valid document that depends on n. Its change window is on
// Wednesday, because the virtual clock of the tests starts on a Friday evening.
func variant(t testing.TB, n int) []byte {
	t.Helper()
	data, err := os.ReadFile("../../examples/cotopaxi.yaml")
	if err != nil {
		t.Fatal(err)
	}
	edit := strings.NewReplacer("queue: 2000", fmt.Sprintf("queue: %d", 2000+n), "day: friday", "day: wednesday")
	return []byte(edit.Replace(string(data)))
}

type fixture struct {
	*Store
	table   *providertest.Table
	objects *providertest.ObjectStore
}

func newFixture() fixture {
	table, objects := providertest.NewTable(), providertest.NewObjectStore()
	return fixture{Store: NewStore(table, objects), table: table, objects: objects}
}

func change(id string) Change {
	return Change{Environment: env, ID: id, Who: "rosa", Why: "more room for orders"}
}

func (f fixture) publish(t *testing.T, id string, n int) Revision {
	t.Helper()
	r, err := f.Publish(t.Context(), change(id), variant(t, n))
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func TestLifecycle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		first := f.publish(t, "c1", 1)
		second := f.publish(t, "c2", 2)
		back, err := f.Rollback(t.Context(), change("c3"), 1)
		if err != nil {
			t.Fatal(err)
		}
		if first.Revision != 1 || second.Revision != 2 || back.Revision != 3 || back.Previous != 2 {
			t.Errorf("revisions %d %d %d", first.Revision, second.Revision, back.Revision)
		}
		if back.Digest != first.Digest || back.Kind != KindRollback || back.Source != "1" {
			t.Errorf("roll back is %+v", back)
		}
		history, err := f.History(t.Context(), env)
		if err != nil || len(history) != 3 || history[2] != back {
			t.Errorf("history %+v, %v", history, err)
		}
	})
}

func TestPromoteCarriesTheSameDocument(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		trial := Change{Environment: "cotopaxi-trial", ID: "t1", Who: "rosa", Why: "try"}
		tried, err := f.Publish(t.Context(), trial, variant(t, 1))
		if err != nil {
			t.Fatal(err)
		}
		other := change("p0")
		other.IfDigest = environment.Digest(variant(t, 9))
		var conflict *ConflictError
		if _, err := f.Promote(t.Context(), other, "cotopaxi-trial"); !errors.As(err, &conflict) {
			t.Errorf("another document than the reviewed one: %v", err)
		}
		r, err := f.Promote(t.Context(), change("p1"), "cotopaxi-trial")
		if err != nil || r.Digest != tried.Digest || r.Source != "cotopaxi-trial" {
			t.Fatalf("promoted %+v, %v", r, err)
		}
		if _, d, err := f.Document(t.Context(), env); err != nil || d.Ranks.Urgent.Queue != 2001 {
			t.Errorf("document in force: %v", err)
		}
	})
}

// TestLostAnswerIsRecognisedAsSuccess loses the answer to a commit that took effect.
func TestLostAnswerIsRecognisedAsSuccess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		f.table.LoseResponses(1)
		if r := f.publish(t, "c1", 1); r.Revision != 1 {
			t.Errorf("revision %d", r.Revision)
		}
		// Another change follows before the first is repeated.
		f.publish(t, "c2", 2)
		if r := f.publish(t, "c1", 1); r.Revision != 1 {
			t.Errorf("repeat made revision %d", r.Revision)
		}
		if r, _ := f.Current(t.Context(), env); r.Revision != 2 {
			t.Errorf("in force is %d", r.Revision)
		}
	})
}

func TestLostRaceNamesTheWinner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		f.publish(t, "c1", 1)
		f.table.BeforeNextWrite(func() {
			winner := change("c2")
			winner.Who = "mateo"
			if _, err := f.Publish(t.Context(), winner, variant(t, 2)); err != nil {
				t.Error(err)
			}
		})
		_, err := f.Publish(t.Context(), change("c3"), variant(t, 3))
		var conflict *ConflictError
		if !errors.As(err, &conflict) || conflict.Current.Who != "mateo" || conflict.Current.Revision != 2 {
			t.Errorf("error is %v", err)
		}
	})
}

func TestStaleBaseIsAConflict(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		f.publish(t, "c1", 1)
		f.publish(t, "c2", 2)
		stale := change("c3")
		base := uint64(1)
		stale.IfRevision = &base
		_, err := f.Publish(t.Context(), stale, variant(t, 3))
		var conflict *ConflictError
		if !errors.As(err, &conflict) || conflict.Current.Revision != 2 {
			t.Errorf("error is %v", err)
		}
	})
}

// TestOutageAfterCommitLeavesTheOutcomeUnknown makes the table unavailable after a
// commit took effect and before its answer arrives.
func TestOutageAfterCommitLeavesTheOutcomeUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		f.table.SetDelay(2 * time.Second)
		go func() {
			time.Sleep(5500 * time.Millisecond) // during the commit, after it took effect
			f.table.SetDown(true)
		}()
		_, err := f.Publish(t.Context(), change("c1"), variant(t, 1))
		var unknown *UnknownError
		if !errors.As(err, &unknown) || unknown.ChangeID != "c1" {
			t.Fatalf("error is %v", err)
		}
		f.table.SetDown(false)
		if r := f.publish(t, "c1", 1); r.Revision != 1 {
			t.Errorf("repeat made revision %d", r.Revision)
		}
	})
}

func TestChangeWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		f.publish(t, "c1", 1)
		time.Sleep(time.Until(time.Date(2026, 12, 2, 20, 0, 0, 0, time.UTC)))
		_, err := f.Publish(t.Context(), change("c2"), variant(t, 2))
		var closed *WindowError
		if !errors.As(err, &closed) || closed.Window.Name != "quiet-friday" {
			t.Fatalf("error is %v", err)
		}
		override := change("c2")
		override.Override = "the truck waits"
		r, err := f.Publish(t.Context(), override, variant(t, 2))
		if err != nil || r.Override != "the truck waits" {
			t.Errorf("override: %+v, %v", r, err)
		}
	})
}

func TestRefusedChangesHaveNoEffect(t *testing.T) {
	other := strings.Replace(string(variant(t, 1)), "name: cotopaxi\n", "name: consorzio\n", 1)
	tests := []struct {
		name string
		edit func(*Change)
		data []byte
		want any
	}{
		{"invalid document", nil, []byte("name: x"), &environment.Faults{}},
		{"other document", nil, []byte(other), &environment.Faults{}},
		{"no reason", func(c *Change) { c.Why = "" }, variant(t, 2), new(*RequestError)},
		{"change id of another change", func(c *Change) { c.ID = "c1" }, variant(t, 2), new(*RequestError)},
		{"bad change id", func(c *Change) { c.ID = "a/b" }, variant(t, 2), new(*RequestError)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture()
				f.publish(t, "c1", 1)
				c := change("c2")
				if test.edit != nil {
					test.edit(&c)
				}
				if _, err := f.Publish(t.Context(), c, test.data); !errors.As(err, test.want) {
					t.Errorf("error is %v", err)
				}
				if r, _ := f.Current(t.Context(), env); r.Revision != 1 {
					t.Errorf("in force is %d", r.Revision)
				}
			})
		})
	}
}

func TestCorruptObjectIsRefused(t *testing.T) {
	f := newFixture()
	r := f.publish(t, "c1", 1)
	if err := f.objects.Put(t.Context(), objectKey(env, r.Digest), []byte("x")); err != nil {
		t.Fatal(err)
	}
	if _, err := f.Bytes(context.Background(), env, r.Digest); !errors.Is(err, ErrDigest) {
		t.Errorf("error is %v", err)
	}
	if _, err := f.Bytes(context.Background(), env, "none"); !errors.Is(err, provider.ErrNotFound) {
		t.Errorf("error is %v", err)
	}
}
