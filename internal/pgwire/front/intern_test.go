package front

import (
	"runtime"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
)

func TestEqualStatementsAreInterned(t *testing.T) {
	prepare := func(sql string) *preparedStatement {
		stmt, err := newPreparedStatement(&pgproto3.Parse{Name: "s", Query: sql})
		if err != nil {
			t.Fatal(err)
		}
		return stmt
	}
	interner := newStatementInterner(int64(len(prepare("select 1").parseMessage)))
	func() {
		first, ok := interner.intern(prepare("select 1"))
		if !ok {
			t.Fatal("the first statement exceeds the limit")
		}
		if second, ok := interner.intern(prepare("select 1")); !ok || second != first {
			t.Error("an equal statement is not shared")
		}
		if _, ok := interner.intern(prepare("select 2")); ok {
			t.Error("a second statement exceeds the limit and was accepted")
		}
		runtime.KeepAlive(first)
	}()
	for interner.usedBytes.Load() != 0 {
		runtime.GC()
	}
	if _, ok := interner.intern(prepare("select 2")); !ok {
		t.Error("a collected statement still counts towards the limit")
	}
}
