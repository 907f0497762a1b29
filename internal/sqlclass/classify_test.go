package sqlclass

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/rattancove/rattancove/internal/statement"
)

func TestClass(t *testing.T) {
	cases := map[statement.Class][]string{
		statement.ClassRead: {
			"", " ;; ", "-- ping", "select 1", "SELECT * FROM patterns WHERE id = $1;",
			"select count(*), max(a) from t where b in (1, 2) group by c having count(*) > 1",
			"select 'update', \"delete\", $$insert$$, E'it\\'s' /* drop */ -- truncate",
			"with x as (select 1) select * from x", "values (1), (2)", "table orders",
			"select pg_catalog.lower(a)::varchar(10) from t", "select 1.5e-3 + 2e5",
			"show work_mem", "set work_mem = '4MB'", "reset work_mem", "select substring(a from 1 for 2) from t",
			"select /* a /* nested */ update */ 1", "select count(*) over (partition by a) from t",
		},
		statement.ClassBegin: {
			"begin", "START TRANSACTION", "begin isolation level serializable",
			"begin read only, read write",
		},
		statement.ClassBeginReadOnly: {"begin read only", "start transaction isolation level repeatable read, read only"},
		statement.ClassWrite: {
			"insert into t values (1)", "select 1; select 2", "select * from t for update",
			"select * from t for no key update", "select * from t for share", "select 1 into t",
			"select 1into t", "select $1into t", "select nextval('s')", "select f(1)", "select \"f\"(1)",
			"select other.count(1)", "select pg_catalog.set_config('a', 'b', false)",
			"with x as (delete from t returning *) select * from x", "explain analyze select 1",
			"select 'a\\', ' into t --'", "select 'open", "select 1 /* open", "commit", "copy t from stdin",
			"select $a$ $b$ into t", "do $$ begin end $$", "begin; select 1",
			"create temp table a(b int) on commit drop", "prepare transaction 'x'",
			"select " + strings.Repeat(" ", maxTextBytes),
		},
	}
	for want, texts := range cases {
		for _, sql := range texts {
			if got := Analyze(sql).Class; got != want {
				t.Errorf("%q: class %d, want %d", sql, got, want)
			}
		}
	}
}

func TestSessionStatements(t *testing.T) {
	cases := map[string]Statement{
		"set Search_Path to a, \"B\", 'c d'":                   {Kind: KindSet, Name: "search_path", Value: `a, "B", "c d"`},
		"set session x = 'it''s'":                              {Kind: KindSet, Name: "x", Value: "it's"},
		"set x = -1":                                           {Kind: KindSet, Name: "x", Value: "-1"},
		"set x to default":                                     {Kind: KindSet, Name: "x", Default: true},
		"set time zone 'America/Guayaquil'":                    {Kind: KindSet, Name: "timezone", Value: "America/Guayaquil"},
		"set names 'LATIN1'":                                   {Kind: KindSet, Name: "client_encoding", Value: "LATIN1"},
		"set rattancove.rank = 'urgent'":                       {Kind: KindSet, Name: "rattancove.rank", Value: "urgent"},
		"set local x = 1":                                      {Kind: KindSetLocal},
		"set transaction read only":                            {Kind: KindSetLocal},
		"set session authorization bob":                        {Kind: KindSessionBound, Name: "SET SESSION AUTHORIZATION"},
		"set x = 'a' 'b'":                                      {Kind: KindSessionBound, Name: "this form of SET"},
		"set session characteristics as transaction read only": {Kind: KindSet, Name: "default_transaction_read_only", Value: "on"},
		"set session characteristics as transaction isolation level repeatable read": {
			Kind: KindSet, Name: "default_transaction_isolation", Value: "repeatable read",
		},
		"reset all":                               {Kind: KindReset, Name: AllNames},
		"show rattancove.token":                   {Kind: KindShow, Name: "rattancove.token"},
		"discard all":                             {Kind: KindDiscardAll},
		"deallocate prepare \"Q\"":                {Kind: KindDeallocate, Name: "Q"},
		"listen news":                             {Kind: KindSessionBound, Name: "LISTEN"},
		"create temp table a(b int)":              {Kind: KindSessionBound, Name: "temporary object"},
		"declare c cursor with hold for select 1": {Kind: KindSessionBound, Name: "WITH HOLD"},
		"select pg_advisory_lock(1)":              {Kind: KindSessionBound, Name: "pg_advisory_lock"},
		"commit work":                             {Kind: KindCommit},
		"rollback":                                {Kind: KindRollback},
		"rollback to savepoint a":                 {},
		"commit and chain":                        {},
	}
	for sql, want := range cases {
		a := Analyze(sql)
		got, ok := a.Single()
		got.Start, got.End = 0, 0
		if !ok || got != want {
			t.Errorf("%q:\n got %+v\nwant %+v", sql, got, want)
		}
	}
}

func TestHints(t *testing.T) {
	cases := map[string]Hints{
		"select 1": {},
		" /*rattancove.rank='urgent',traceparent='00-ab-cd-01',route='%2Fmenu'*/ select 1": {
			TraceParent: "00-ab-cd-01", Keys: []Hint{{Key: "rank", Value: "urgent"}},
		},
		"/* rattancove.order_id='a%27b' */ insert": {Keys: []Hint{{Key: "order_id", Value: "a'b"}}},
		"/*rattancove.rank=urgent*/ select 1":      {Malformed: true},
		"select 1 /*rattancove.rank='urgent'*/":    {},
		"/* plain words, a=b */ select 1":          {},
	}
	for sql, want := range cases {
		if diff := cmp.Diff(want, Analyze(sql).Hints); diff != "" {
			t.Errorf("%q: %s", sql, diff)
		}
	}
}

// FuzzNoChangeIsRead puts a word that changes data between random texts that cannot
// quote it or comment it out. The result must not be classified as a read.
func FuzzNoChangeIsRead(f *testing.F) {
	words := []string{"insert", "UPDATE", "delete", "Merge", "into", "truncate", "nextval('s')", "call", "drop", "copy"}
	f.Add("select 1", "a'b", "/*", "where x = 1", uint8(0))
	f.Add("with x as (", "$$", "--\n", ")", uint8(7))
	f.Fuzz(func(t *testing.T, plain, quoted, comment, after string, n uint8) {
		Analyze("set x = " + plain + quoted)
		Analyze(comment + after)
		sql := strings.Join([]string{
			removeQuotes(plain), "'" + strings.NewReplacer("'", "''", `\`, "").Replace(quoted) + "'",
			"/*" + strings.NewReplacer("*", "", "/", "").Replace(comment) + "*/",
			words[int(n)%len(words)], removeQuotes(after),
		}, " ")
		if a := Analyze(sql); a.Class != statement.ClassWrite && a.Class != statement.ClassBegin {
			t.Errorf("%q: class %d", sql, a.Class)
		}
	})
}

// removeQuotes removes the characters that could start a quote or a comment.
func removeQuotes(s string) string {
	return strings.NewReplacer("'", "", `"`, "", "$", "", "/", "", "-", "", `\`, "").Replace(s)
}
