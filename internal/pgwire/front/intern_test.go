package front

import (
	"runtime"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
)

func TestDefinitionsAreShared(t *testing.T) {
	parse := func(sql string) *definition {
		d, err := newDefinition(&pgproto3.Parse{Name: "s", Query: sql})
		if err != nil {
			t.Fatal(err)
		}
		return d
	}
	s := newDefinitions(int64(len(parse("select 1").parse)))
	func() {
		first, ok := s.share(parse("select 1"))
		if !ok {
			t.Fatal("no room for the first")
		}
		if second, ok := s.share(parse("select 1")); !ok || second != first {
			t.Error("an equal definition is not shared")
		}
		if _, ok := s.share(parse("select 2")); ok {
			t.Error("the limit is not kept")
		}
		runtime.KeepAlive(first)
	}()
	for s.bytes.Load() != 0 {
		runtime.GC()
	}
	if _, ok := s.share(parse("select 2")); !ok {
		t.Error("a dropped definition still counts")
	}
}
