package failover

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/provider/providertest"
)

func intent(holder string) Intent { return Intent{Term: 2, Holder: holder} }

func TestDeclareIntent(t *testing.T) {
	tests := []struct {
		name    string
		prepare func(t *testing.T, table *providertest.Table, s *RecordStore)
		want    IntentOutcome
	}{
		{"free", func(*testing.T, *providertest.Table, *RecordStore) {}, IntentGranted},
		{"own intent repeated", func(t *testing.T, _ *providertest.Table, s *RecordStore) {
			s.DeclareIntent(t.Context(), "g", intent("a/1"))
		}, IntentGranted},
		{"recent intent of another warden", func(t *testing.T, table *providertest.Table, _ *RecordStore) {
			NewRecordStore(table).DeclareIntent(t.Context(), "g", intent("b/1"))
		}, IntentConflict},
		{"expired intent of another warden", func(t *testing.T, table *providertest.Table, s *RecordStore) {
			NewRecordStore(table).DeclareIntent(t.Context(), "g", intent("b/1"))
			s.DeclareIntent(t.Context(), "g", intent("a/1"))
			time.Sleep(intentValidity)
		}, IntentGranted},
		{"completed intent of another warden", func(t *testing.T, table *providertest.Table, _ *RecordStore) {
			other := NewRecordStore(table)
			other.DeclareIntent(t.Context(), "g", intent("b/1"))
			other.Enqueue(Record{Group: "g", Term: 2, Holder: "b/1"})
			if err := other.Flush(t.Context()); err != nil {
				t.Fatal(err)
			}
		}, IntentGranted},
		{"concurrent write", func(t *testing.T, table *providertest.Table, _ *RecordStore) {
			table.BeforeNextWrite(func() { NewRecordStore(table).DeclareIntent(t.Context(), "g", intent("b/1")) })
		}, IntentConflict},
		{"down", func(_ *testing.T, table *providertest.Table, _ *RecordStore) { table.SetDown(true) }, IntentUnreachable},
		{"slow", func(_ *testing.T, table *providertest.Table, _ *RecordStore) { table.SetDelay(time.Minute) }, IntentUnreachable},
		{"lost response", func(_ *testing.T, table *providertest.Table, _ *RecordStore) { table.LoseResponses(1) }, IntentUnreachable},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				table := providertest.NewTable()
				store := NewRecordStore(table)
				tt.prepare(t, table, store)
				began := time.Now()
				if got := store.DeclareIntent(t.Context(), "g", intent("a/1")); got.Outcome != tt.want {
					t.Errorf("outcome %s, want %s", got.Outcome, tt.want)
				}
				if took := time.Since(began); took > intentTimeout {
					t.Errorf("took %v", took)
				}
			})
		})
	}
}

// TestTermWithoutMajorityIsGrantedOnce lets a holder pause after it was granted a term
// and checks that no other holder is ever granted the same term.
func TestTermWithoutMajorityIsGrantedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := providertest.NewTable()
		store := NewRecordStore(table)
		declare := func(holder string, term cluster.Term, withoutMajority bool) IntentResult {
			return store.DeclareIntent(t.Context(), "g", Intent{Term: term, Holder: holder, WithoutMajority: withoutMajority})
		}
		steps := []struct {
			holder          string
			term            cluster.Term
			withoutMajority bool
			want            IntentOutcome
		}{
			{"a/1", 3, true, IntentGranted},
			{"a/1", 3, true, IntentGranted},
			{"b/1", 2, false, IntentGranted},
			{"c/1", 3, true, IntentConflict},
			{"c/2", 5, true, IntentGranted},
		}
		for _, step := range steps {
			declare(step.holder, step.term, step.withoutMajority)
			time.Sleep(intentValidity) // the intent of another holder blocks until then
			got := declare(step.holder, step.term, step.withoutMajority)
			if got.Outcome != step.want {
				t.Errorf("%s at %d: %s, want %s", step.holder, step.term, got.Outcome, step.want)
			}
		}
	})
}

func TestRecordsOutlastAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := providertest.NewTable()
		store := NewRecordStore(table)
		table.SetDown(true)
		for i := range maxRecordsPerRow + 5 {
			store.Enqueue(Record{Group: "g", Term: 2, OldPrimary: "s1", Position: positionAt(i)})
		}
		if err := store.Flush(t.Context()); err == nil {
			t.Fatal("flush succeeded while the table service was down")
		}
		table.SetDown(false)
		table.LoseResponses(1)
		_ = store.Flush(t.Context()) // the response to the first write is lost
		if err := store.Flush(t.Context()); err != nil {
			t.Fatal(err)
		}
		records, err := store.Records(t.Context(), "g")
		if err != nil || len(records) != maxRecordsPerRow {
			t.Fatalf("%d records, error %v", len(records), err)
		}
		if got := records[maxRecordsPerRow-1].Position; got != positionAt(maxRecordsPerRow+4) {
			t.Errorf("last record at %v", got)
		}
	})
}

func TestPendingRecordsAreBounded(t *testing.T) {
	store := NewRecordStore(providertest.NewTable())
	for i := range maxPendingRecords + 10 {
		store.Enqueue(Record{Group: "g", Position: positionAt(i)})
	}
	if len(store.pending) != maxPendingRecords || store.pending[0].Position != positionAt(10) {
		t.Errorf("%d records pending, the first at %v", len(store.pending), store.pending[0].Position)
	}
}
