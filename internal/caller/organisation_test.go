package caller

import (
	"fmt"
	"testing"
	"testing/synctest"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"github.com/rattancove/rattancove/internal/catalog"
	"github.com/rattancove/rattancove/internal/errcode"
)

// keyRoute is a route that may be public.
type keyRoute struct{ public bool }

func (r keyRoute) Route(database string) (catalog.Route, bool) {
	return catalog.Route{Database: database, Group: "g", Public: r.public}, true
}

// authorizer returns an Authorize for a key that belongs to owner, to none if that is
// empty. Without a recent confirmation, owner is "unconfirmed".
func authorizer(owner *string) Authorize {
	return func(route catalog.Route) (string, *errcode.Error) {
		switch {
		case route.Public && *owner == "unconfirmed":
			return "", nil
		case *owner == "unconfirmed":
			return "", errcode.New(errcode.OldDocument, "key", "")
		case *owner == "" && !route.Public:
			return "", errcode.New(errcode.Denied, "key", "")
		}
		return *owner, nil
	}
}

// TestKeyIsCheckedForEachStatement guards against statements that run for a key which was
// withdrawn or moved after its session, transaction or prepared statement began. owners
// holds the organisation of the key before each statement.
func TestKeyIsCheckedForEachStatement(t *testing.T) {
	begin, commit := transactionStatement(KindBegin), transactionStatement(KindCommit)
	prepare, execute := &Statement{Kind: KindPrepare, Name: "q", Definition: "d"}, &Statement{Kind: KindExecute, Name: "q"}
	set, x := &Statement{Kind: KindSet, Name: "n", Value: "v"}, read("x")
	name := newPreparedStatement(prepare).serverName
	for _, tt := range []struct {
		name       string
		public     bool
		statements []*Statement
		owners     []string
		answers    []string
		// requests holds the organisations of the requests, left counts the transactions
		// that were rolled back at the server.
		requests []string
		left     int
	}{
		{"idle", false, []*Statement{x, x, x}, []string{"red", "", "blue"}, []string{"x I", "denied I", "x I"}, []string{"red", "blue"}, 0},
		{"prepared", false, []*Statement{prepare, execute, execute}, []string{"red", "red", ""}, []string{"done I", name + " I", "denied I"}, []string{"red"}, 0},
		{"begun", false, []*Statement{begin, x, commit}, []string{"red", "", ""}, []string{"done T", "denied E", "rolled_back I"}, nil, 0},
		{"in a transaction", false, []*Statement{begin, x, set, x, x}, []string{"red", "red", "", "", "red"}, []string{"done T", "x T", "done T", "denied E", "malformed E"}, []string{"red"}, 1},
		{"at the commit", false, []*Statement{begin, x, commit, x}, []string{"red", "red", "", "red"}, []string{"done T", "x T", "denied I", "x I"}, []string{"red", "red"}, 1},
		{"moved", false, []*Statement{begin, x, x, commit, x}, []string{"red", "red", "blue", "blue", "blue"}, []string{"done T", "x T", "denied E", "rolled_back I", "x I"}, []string{"red", "blue"}, 1},
		{"unconfirmed", false, []*Statement{x, begin, x, x}, []string{"red", "red", "red", "unconfirmed"}, []string{"x I", "done T", "x T", "old_document E"}, []string{"red", "red"}, 1},
		{"public", true, []*Statement{begin, x, x, commit}, []string{"", "", "red", "unconfirmed"}, []string{"done T", "x T", "x T", "COMMIT I"}, []string{""}, 0},
		{"public with a key", true, []*Statement{begin, x, x, x}, []string{"red", "red", "", ""}, []string{"done T", "x T", "denied E", "malformed E"}, []string{"red"}, 1},
		{"public, unconfirmed", true, []*Statement{begin, x, x}, []string{"red", "red", "unconfirmed"}, []string{"done T", "x T", "old_document E"}, []string{"red"}, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log, conn, home, owner := zerolog.Nop(), newScriptedConn(), &fakeHome{}, ""
				config := Config{Routes: keyRoute{tt.public}, Runner: home, Log: &log, Authorize: authorizer(&owner)}
				go New(config, conn, "db", NewDrain()).Serve(t.Context())
				for i, next := range tt.statements {
					owner, next.ID = tt.owners[i], fmt.Sprint("r", i)
					conn.statements <- next
					synctest.Wait()
				}
				left := 0
				for _, b := range home.batches {
					if b == "left" {
						left++
					}
				}
				close(conn.statements)
				synctest.Wait()
				if diff := cmp.Diff(tt.answers, conn.answers) + cmp.Diff(tt.requests, home.organisations) + cmp.Diff(tt.left, left); diff != "" {
					t.Errorf("answers, organisations of requests and rollbacks (-want +got):\n%s", diff)
				}
			})
		})
	}
}
