package back_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/rattancove/rattancove/internal/backend"
	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/errcode"
	"github.com/rattancove/rattancove/internal/standin/dbserver"
	"github.com/rattancove/rattancove/internal/statement"
)

func insertExchange(id string) *backend.Exchange {
	return &backend.Exchange{Batch: simpleQuery(statement.ClassWrite, "INSERT INTO rolls VALUES ('"+id+"', 1)"), WantPosition: true}
}

func rowIDs(t *testing.T, c backend.Conn) []string {
	t.Helper()
	got, _ := run(t, c, &backend.Exchange{Batch: simpleQuery(statement.ClassRead, "SELECT id FROM rolls ORDER BY id")})
	return got[:len(got)-2]
}

func TestReplicationAndReadOnlyReplica(t *testing.T) {
	g := newGroup(t, 2, func(cfg *dbserver.Config) { cfg.ReplayLag = 30 * time.Millisecond })
	_, result := run(t, g.conn(0, backend.Claim{}), insertExchange("fern"))
	waitUntil(t, "received", func() bool { return g.servers[1].Status().Received == result.Position })
	waitUntil(t, "replayed", func() bool { return g.servers[1].Status().Replayed == result.Position })
	replica := g.conn(1, backend.Claim{})
	if diff := cmp.Diff([]string{"fern"}, rowIDs(t, replica)); diff != "" {
		t.Error(diff)
	}
	x := insertExchange("moss")
	x.Batch.Class = statement.ClassRead
	got, result := run(t, replica, x)
	if !result.ReadOnlyRefused || len(got) != 0 {
		t.Errorf("got %v %+v", got, result)
	}
	got, result = run(t, replica, insertExchange("moss"))
	if result.SQLState != "25006" || result.Committed || len(got) != 2 {
		t.Errorf("got %v %+v", got, result)
	}
}

func TestPromotionKeepsReceivedRecords(t *testing.T) {
	g := newGroup(t, 3, func(cfg *dbserver.Config) { cfg.ReplayLag = time.Hour })
	old := g.conn(0, backend.Claim{})
	_, result := run(t, old, insertExchange("fern"))
	waitUntil(t, "received", func() bool { return g.servers[1].Status().Received == result.Position })
	// An open transaction on the old primary must not commit after the seal.
	run(t, old, &backend.Exchange{Batch: simpleQuery(statement.ClassBegin, "BEGIN")})
	run(t, old, insertExchange("lost"))

	ctx := t.Context()
	for i := range 3 {
		if st, err := g.control(i).Seal(ctx, 2, "w1"); err != nil || st.Role != cluster.RoleSealed || st.Term != 2 {
			t.Fatalf("seal %d: %+v %v", i, st, err)
		}
	}
	_, commitResult := run(t, old, &backend.Exchange{Batch: simpleQuery(statement.ClassWrite, "COMMIT")})
	if commitResult.Committed || commitResult.SQLState == "" {
		t.Errorf("a transaction of the old term committed after the seal: %+v", commitResult)
	}
	second := g.control(1)
	if _, err := second.Seal(ctx, 2, "w2"); !errcode.Is(err, errcode.Superseded) {
		t.Errorf("seal of the same term by a second holder: %v", err)
	}
	if _, err := second.Promote(ctx, 2, "w2"); !errcode.Is(err, errcode.Superseded) {
		t.Errorf("promotion by a holder without the seal: %v", err)
	}
	for range 2 {
		if st, err := second.Promote(ctx, 2, "w1"); err != nil || st.Role != cluster.RolePrimary || st.Received.Term != 2 {
			t.Fatalf("promote: %+v %v", st, err)
		}
		if st := g.servers[1].Status(); st.TermStart != result.Position {
			t.Errorf("term 2 began after %v, want %v", st.TermStart, result.Position)
		}
	}
	for _, i := range []int{0, 2} {
		if _, err := g.control(i).Follow(ctx, 2, g.server(1)); err != nil {
			t.Fatal(err)
		}
	}
	_, result = run(t, g.conn(1, backend.Claim{}), insertExchange("moss"))
	waitUntil(t, "old primary catches up", func() bool { return g.servers[0].Status().Received == result.Position })
	if diff := cmp.Diff([]string{"fern", "moss"}, rowIDs(t, g.conn(1, backend.Claim{}))); diff != "" {
		t.Error(diff)
	}
}

func TestFollowDiscardsRecordsMissingOnLeader(t *testing.T) {
	g := newGroup(t, 2, nil)
	_, result := run(t, g.conn(0, backend.Claim{}), insertExchange("fern"))
	waitUntil(t, "replayed", func() bool { return g.servers[1].Status().Replayed == result.Position })
	ctx := t.Context()
	if _, err := g.control(1).Seal(ctx, 2, "w"); err != nil {
		t.Fatal(err)
	}
	if _, err := g.control(1).Promote(ctx, 2, "w"); err != nil {
		t.Fatal(err)
	}
	// The old primary has not learned of term 2 and continues to accept writes.
	run(t, g.conn(0, backend.Claim{}), insertExchange("alone"))
	_, result = run(t, g.conn(1, backend.Claim{}), insertExchange("moss"))
	if _, err := g.control(0).Follow(ctx, 2, g.server(1)); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "replayed", func() bool { return g.servers[0].Status().Replayed == result.Position })
	if diff := cmp.Diff([]string{"fern", "moss"}, rowIDs(t, g.conn(0, backend.Claim{}))); diff != "" {
		t.Error(diff)
	}
}

func TestClaimEndsLowerEpochs(t *testing.T) {
	g := newGroup(t, 1, nil)
	ctx := t.Context()
	old := g.conn(0, backend.Claim{Epoch: 1, Home: "p1"})
	run(t, old, &backend.Exchange{Batch: simpleQuery(statement.ClassBegin, "BEGIN")})
	run(t, old, insertExchange("fern"))
	control := g.control(0)
	for range 2 {
		if st, err := control.Claim(ctx, backend.Claim{Epoch: 2, Home: "p2"}); err != nil || st.Epoch != 2 {
			t.Fatalf("claim: %+v %v", st, err)
		}
	}
	if _, err := control.Claim(ctx, backend.Claim{Epoch: 2, Home: "p3"}); !errcode.Is(err, errcode.Superseded) {
		t.Errorf("claim of an epoch held by another home: %v", err)
	}
	if _, err := g.dialer.Dial(ctx, g.server(0), "rolls", "", backend.Claim{Epoch: 1, Home: "p1"}); !errcode.Is(err, errcode.Superseded) {
		t.Errorf("dial with an old epoch: %v", err)
	}
	_, err := old.Exchange(ctx, &backend.Exchange{Batch: simpleQuery(statement.ClassWrite, "COMMIT")}, &caller{})
	if !errcode.Is(err, errcode.Superseded) {
		t.Errorf("commit of an old epoch: %v", err)
	}
	if e := errcode.From(err); e.Peer != "p2" {
		t.Errorf("the home to ask is %q", e.Peer)
	}
	// The claim rolled back the old transaction, so its key can be inserted at once.
	_, result := run(t, g.conn(0, backend.Claim{Epoch: 2, Home: "p2"}), insertExchange("fern"))
	if !result.Committed {
		t.Errorf("got %+v", result)
	}
}

func TestClaimClosesUnresponsiveConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 1, nil)
		old := g.conn(0, backend.Claim{Epoch: 1, Home: "p1"})
		run(t, old, &backend.Exchange{Batch: simpleQuery(statement.ClassBegin, "BEGIN")})
		run(t, old, insertExchange("fern"))
		g.servers[0].StallOpenConnections()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if _, err := old.Exchange(ctx, insertExchange("moss"), &caller{}); !errcode.Is(err, errcode.DeadlinePassed) {
			t.Errorf("an exchange inside a transaction on an unresponsive connection: %v", err)
		}
		if n := g.servers[0].DataConnections(); n != 1 {
			t.Errorf("the server has %d connections, want 1", n)
		}
		if _, err := g.control(0).Claim(t.Context(), backend.Claim{Epoch: 2, Home: "p2"}); err != nil {
			t.Fatal(err)
		}
		if _, result := run(t, g.conn(0, backend.Claim{Epoch: 2, Home: "p2"}), insertExchange("fern")); !result.Committed {
			t.Errorf("got %+v", result)
		}
		if n := g.servers[0].DataConnections(); n != 1 {
			t.Errorf("the server has %d connections, want 1", n)
		}
	})
}

func TestControlConnectionBeyondConnectionLimit(t *testing.T) {
	g := newGroup(t, 1, func(cfg *dbserver.Config) { cfg.Connections = 1; cfg.Slots = 1 })
	busy := g.conn(0, backend.Claim{})
	go func() {
		_, _ = busy.Exchange(t.Context(), &backend.Exchange{Batch: simpleQuery(statement.ClassRead, "SELECT pg_sleep(60)")}, &caller{})
	}()
	if _, err := g.dialer.Dial(t.Context(), g.server(0), "rolls", "", backend.Claim{}); !errcode.Is(err, errcode.Overloaded) {
		t.Errorf("data connection beyond the connection limit: %v", err)
	}
	if _, err := g.control(0).Status(t.Context()); err != nil {
		t.Error(err)
	}
}

func TestAuthentication(t *testing.T) {
	for _, auth := range []dbserver.Auth{dbserver.AuthCleartext, dbserver.AuthSCRAM} {
		for password, ok := range map[string]bool{"secret": true, "wrong": false} {
			g := newGroup(t, 1, func(cfg *dbserver.Config) { cfg.Auth, cfg.User, cfg.Password = auth, "clerk", password })
			_, err := g.dialer.Dial(t.Context(), g.server(0), "rolls", "", backend.Claim{})
			if (err == nil) != ok {
				t.Errorf("%s with %q: %v", auth, password, err)
			}
		}
	}
}
