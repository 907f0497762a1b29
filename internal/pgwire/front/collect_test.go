package front

import (
	"errors"
	"io"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/environment"
	"github.com/rattancove/rattancove/internal/errcode"
	"github.com/rattancove/rattancove/internal/statement"
)

type emptyDirectory struct{}

func (emptyDirectory) Account(string, cluster.GroupName) (Account, bool) { return Account{}, true }
func (emptyDirectory) Limits() environment.Limits                        { return environment.Limits{} }
func (emptyDirectory) Freshness(string) (f statement.Freshness, ok bool) { return }

// FuzzCollect collects batches from arbitrary messages and checks that a batch for
// the home consists of complete messages and ends with the message of its boundary.
func FuzzCollect(f *testing.F) {
	for _, messages := range [][]pgproto3.FrontendMessage{
		{&pgproto3.Query{String: "set rattancove.rank to urgent; select 1"}},
		{&pgproto3.Parse{Name: "s", Query: "set x = E'a', $$b$$"}, &pgproto3.Bind{PreparedStatement: "s"}, &pgproto3.Execute{}, &pgproto3.Sync{}},
		{&pgproto3.Parse{Query: "select $1"}, &pgproto3.Describe{ObjectType: 'S'}, &pgproto3.Flush{}, &pgproto3.Bind{}, &pgproto3.Close{ObjectType: 'S'}, &pgproto3.Sync{}},
	} {
		var data []byte
		for _, m := range messages {
			data, _ = m.Encode(data)
		}
		f.Add(data)
	}
	server := New(Config{MaxBufferBytes: 1 << 40, MaxPreparedBytes: 1 << 40}, nil, emptyDirectory{})
	f.Fuzz(func(t *testing.T, data []byte) {
		c := server.newCaller(nil, map[string]string{"user": "clerk"})
		c.maxMessageBytes = DefaultMaxMessageBytes
		for message, rest, ok := cutMessage(data); ok; message, rest, ok = cutMessage(rest) {
			done, err := c.addMessage(message[0], message)
			var coded *errcode.Error
			if err != nil {
				if !errors.Is(err, io.EOF) && !errors.As(err, &coded) {
					t.Fatalf("error without a code: %v", err)
				}
				return
			}
			if done {
				checkBatch(t, c.takeBatch())
			}
		}
	})
}

func checkBatch(t *testing.T, b *batch) {
	t.Helper()
	if b.err != nil {
		return
	}
	lastType := byte(0)
	for rest := b.Messages; len(rest) > 0; {
		message, after, ok := cutMessage(rest)
		if !ok {
			t.Fatalf("incomplete message at %q", rest)
		}
		lastType, rest = message[0], after
	}
	endsWithBoundary := map[boundary]bool{
		boundaryQuery: lastType == msgQuery || lastType == msgFunctionCall || b.serverMessages == 0,
		boundarySync:  lastType == msgSync, boundaryFlush: lastType == msgSync,
	}
	if !endsWithBoundary[b.boundary] {
		t.Fatalf("boundary %d after message %q", b.boundary, lastType)
	}
	if b.Class == statement.ClassRead && b.executesUnknownText {
		t.Fatal("a batch that executes an unknown text is classified as a read")
	}
}
