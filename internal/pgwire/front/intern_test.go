package front

import (
	"runtime"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
)

func TestEqualStatementsAreInterned(t *testing.T) {
	parse := func(sql string) *preparedStatement {
		d, err := newPreparedStatement(&pgproto3.Parse{Name: "s", Query: sql})
		if err != nil {
			t.Fatal(err)
		}
		return d
	}
	s := newStatementInterner(int64(len(parse("select 1").parseMessage)))
	func() {
		first, ok := s.intern(parse("select 1"))
		if !ok {
			t.Fatal("the first statement exceeds the limit")
		}
		if second, ok := s.intern(parse("select 1")); !ok || second != first {
			t.Error("an equal statement is not shared")
		}
		if _, ok := s.intern(parse("select 2")); ok {
			t.Error("a second statement exceeds the limit and was accepted")
		}
		runtime.KeepAlive(first)
	}()
	for s.usedBytes.Load() != 0 {
		runtime.GC()
	}
	if _, ok := s.intern(parse("select 2")); !ok {
		t.Error("a collected statement still counts towards the limit")
	}
}
