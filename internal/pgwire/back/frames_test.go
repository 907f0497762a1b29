package back

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/rattancove/rattancove/internal/statement"
)

func FuzzFrames(f *testing.F) {
	f.Add(encode(&pgproto3.Query{String: "COMMIT"}, &pgproto3.CopyDone{}))
	f.Add([]byte{'Q', 0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{'c', 0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, data []byte) {
		length := 0
		for _, body := range frames(data) {
			length += frameHeaderBytes + len(body)
		}
		if length > len(data) {
			t.Errorf("%d bytes of messages in %d bytes", length, len(data))
		}
		endsCopy(data)
		commitResponse(data)
		addToDigest(nil, &statement.Batch{Messages: data})
	})
}

func TestPreparedSetIsBounded(t *testing.T) {
	s := newPreparedSet(2)
	define := func(names ...string) (closes, parses int) {
		var wanted []statement.Prepared
		for _, n := range names {
			wanted = append(wanted, statement.Prepared{Name: n})
		}
		p := s.definitionsFor(wanted)
		closes, parses = p.closes, len(p.parses)
		for p.consume(typeCloseComplete) || p.consume(typeParseComplete) {
			continue
		}
		return closes, parses
	}
	steps := []struct {
		names          []string
		closes, parses int
	}{
		{[]string{"a"}, 0, 1},
		{[]string{"b"}, 0, 1},
		{[]string{"a"}, 0, 0},
		{[]string{"c"}, 1, 1}, // closes b, the least recently used
		{[]string{"a", "c"}, 0, 0},
		{[]string{"b"}, 1, 1},
		{[]string{"x", "y", "z"}, 2, 3},
	}
	for i, step := range steps {
		closes, parses := define(step.names...)
		if closes != step.closes || parses != step.parses {
			t.Errorf("step %d: %d closes and %d parses", i, closes, parses)
		}
	}
}

func TestSettingCommands(t *testing.T) {
	a, b := statement.Setting{Name: "a", Value: "1"}, statement.Setting{Name: "x.b", Value: "it's"}
	cases := []struct {
		current, wanted []statement.Setting
		unknown         bool
		want            []string
	}{
		{nil, []statement.Setting{a, b}, false, []string{`SET "a" TO '1'`, `SET "x"."b" TO 'it''s'`}},
		{[]statement.Setting{a, b}, []statement.Setting{a}, false, []string{`RESET "x"."b"`}},
		{[]statement.Setting{a}, []statement.Setting{a}, true, []string{"RESET ALL", `SET "a" TO '1'`}},
	}
	for _, tc := range cases {
		if diff := cmp.Diff(tc.want, settingCommands(tc.current, tc.wanted, tc.unknown)); diff != "" {
			t.Error(diff)
		}
	}
}

func TestDigestCoversExecutedMessages(t *testing.T) {
	digest := func(batches ...*statement.Batch) string {
		h := addToDigest(nil, &statement.Batch{})
		for _, b := range batches {
			h = addToDigest(h, b)
		}
		return digestText(h)
	}
	batch := func(ms ...pgproto3.FrontendMessage) *statement.Batch {
		return &statement.Batch{Messages: encode(ms...)}
	}
	parse := &pgproto3.Parse{Name: "s", Query: "INSERT INTO rolls VALUES ($1)"}
	describe := &pgproto3.Describe{ObjectType: 'S', Name: "s"}
	bind := &pgproto3.Bind{PreparedStatement: "s", Parameters: [][]byte{[]byte("1")}}
	other := &pgproto3.Bind{PreparedStatement: "s", Parameters: [][]byte{[]byte("2")}}
	first := digest(batch(parse, describe, &pgproto3.Sync{}), batch(bind, &pgproto3.Execute{}, &pgproto3.Sync{}))
	if first != digest(batch(bind, &pgproto3.Execute{}, &pgproto3.Sync{})) {
		t.Error("preparing the statement changed the digest")
	}
	if first == digest(batch(other, &pgproto3.Execute{}, &pgproto3.Sync{})) {
		t.Error("a different argument did not change the digest")
	}
}
