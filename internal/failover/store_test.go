package failover

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/rattancove/rattancove/internal/platform/platformtest"
)

func intent(holder string) Intent { return Intent{Term: 2, Holder: holder} }

func TestAnnounce(t *testing.T) {
	tests := []struct {
		name    string
		prepare func(t *testing.T, table *platformtest.Table, s *Store)
		want    IntentOutcome
	}{
		{"free", func(*testing.T, *platformtest.Table, *Store) {}, IntentGranted},
		{"own again", func(t *testing.T, _ *platformtest.Table, s *Store) { s.Announce(t.Context(), "g", intent("a/1")) }, IntentGranted},
		{"recent intent of another", func(t *testing.T, table *platformtest.Table, _ *Store) {
			NewStore(table).Announce(t.Context(), "g", intent("b/1"))
		}, IntentConflict},
		{"old intent of another", func(t *testing.T, table *platformtest.Table, s *Store) {
			NewStore(table).Announce(t.Context(), "g", intent("b/1"))
			s.Announce(t.Context(), "g", intent("a/1"))
			time.Sleep(intentFor)
		}, IntentGranted},
		{"finished intent of another", func(t *testing.T, table *platformtest.Table, _ *Store) {
			other := NewStore(table)
			other.Announce(t.Context(), "g", intent("b/1"))
			other.Keep(Record{Group: "g", Term: 2, Holder: "b/1"})
			if err := other.Flush(t.Context()); err != nil {
				t.Fatal(err)
			}
		}, IntentGranted},
		{"lost race", func(t *testing.T, table *platformtest.Table, _ *Store) {
			table.BeforeNextWrite(func() { NewStore(table).Announce(t.Context(), "g", intent("b/1")) })
		}, IntentConflict},
		{"down", func(_ *testing.T, table *platformtest.Table, _ *Store) { table.SetDown(true) }, IntentUnreachable},
		{"slow", func(_ *testing.T, table *platformtest.Table, _ *Store) { table.SetDelay(time.Minute) }, IntentUnreachable},
		{"lost answer", func(_ *testing.T, table *platformtest.Table, _ *Store) { table.LoseAnswers(1) }, IntentUnreachable},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				table := platformtest.NewTable()
				store := NewStore(table)
				tt.prepare(t, table, store)
				began := time.Now()
				if got := store.Announce(t.Context(), "g", intent("a/1")); got.Outcome != tt.want {
					t.Errorf("outcome %s, want %s", got.Outcome, tt.want)
				}
				if took := time.Since(began); took > intentTimeout {
					t.Errorf("took %v", took)
				}
			})
		})
	}
}

func TestRecordsOutlastAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := platformtest.NewTable()
		store := NewStore(table)
		table.SetDown(true)
		for i := range recordsKept + 5 {
			store.Keep(Record{Group: "g", Term: 2, OldPrimary: "s1", Position: positionAt(i)})
		}
		if err := store.Flush(t.Context()); err == nil {
			t.Fatal("wrote to a table service that is down")
		}
		table.SetDown(false)
		table.LoseAnswers(1)
		_ = store.Flush(t.Context()) // the answer to the first write is lost
		if err := store.Flush(t.Context()); err != nil {
			t.Fatal(err)
		}
		records, err := store.Records(t.Context(), "g")
		if err != nil || len(records) != recordsKept {
			t.Fatalf("%d records, error %v", len(records), err)
		}
		if got := records[recordsKept-1].Position; got != positionAt(recordsKept+4) {
			t.Errorf("last record at %v", got)
		}
	})
}

func TestWaitingRecordsAreBounded(t *testing.T) {
	store := NewStore(platformtest.NewTable())
	for i := range recordsWaiting + 10 {
		store.Keep(Record{Group: "g", Position: positionAt(i)})
	}
	if len(store.waiting) != recordsWaiting || store.waiting[0].Position != positionAt(10) {
		t.Errorf("%d records wait, the first at %v", len(store.waiting), store.waiting[0].Position)
	}
}
