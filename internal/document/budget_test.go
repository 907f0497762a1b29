package document

import (
	"testing"
	"testing/synctest"

	"github.com/google/go-cmp/cmp"
)

// platformCalls counts calls to the platform by kind.
type platformCalls struct {
	TableGets, TableCommits, ObjectGets, ObjectPuts int
}

func (f fixture) calls() platformCalls {
	return platformCalls{
		TableGets: f.table.CallCount("get"), TableCommits: f.table.CallCount("commit"),
		ObjectGets: f.objects.CallCount("get"), ObjectPuts: f.objects.CallCount("put"),
	}
}

// TestPlatformCallsOfAChange checks the number of platform calls of each operation
// against the budget in docs/design/documents.md.
func TestPlatformCallsOfAChange(t *testing.T) {
	tests := []struct {
		name string
		do   func(*testing.T, fixture) error
		want platformCalls
	}{
		{"publish", func(t *testing.T, f fixture) error {
			_, err := f.Publish(t.Context(), change("c2"), variant(t, 2))
			return err
		}, platformCalls{TableGets: 2, TableCommits: 1, ObjectGets: 1, ObjectPuts: 1}},
		{"promote", func(t *testing.T, f fixture) error {
			_, err := f.Promote(t.Context(), change("c2"), env)
			return err
		}, platformCalls{TableGets: 4, TableCommits: 1, ObjectGets: 2, ObjectPuts: 1}},
		{"roll back", func(t *testing.T, f fixture) error {
			_, err := f.Rollback(t.Context(), change("c2"), 1)
			return err
		}, platformCalls{TableGets: 4, TableCommits: 1, ObjectGets: 2, ObjectPuts: 1}},
		{"repeat", func(t *testing.T, f fixture) error {
			_, err := f.Publish(t.Context(), change("c1"), variant(t, 1))
			return err
		}, platformCalls{TableGets: 1}},
		{"look", func(t *testing.T, f fixture) error {
			_, err := f.Current(t.Context(), env)
			return err
		}, platformCalls{TableGets: 1}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture()
				f.publish(t, "c1", 1)
				before := f.calls()
				if err := test.do(t, f); err != nil {
					t.Fatal(err)
				}
				after := f.calls()
				got := platformCalls{
					TableGets: after.TableGets - before.TableGets, TableCommits: after.TableCommits - before.TableCommits,
					ObjectGets: after.ObjectGets - before.ObjectGets, ObjectPuts: after.ObjectPuts - before.ObjectPuts,
				}
				if diff := cmp.Diff(test.want, got); diff != "" {
					t.Error(diff)
				}
			})
		})
	}
}
