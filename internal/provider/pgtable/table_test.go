package pgtable

import (
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/rattancove/rattancove/internal/provider"
	"github.com/rattancove/rattancove/internal/settings"
	"github.com/rattancove/rattancove/internal/standin/dbserver"
)

// openTestTable returns a table client connected to a stand-in server.
func openTestTable(t *testing.T) *Table {
	t.Helper()
	server, err := dbserver.New(dbserver.Config{ID: "table", Primary: true})
	if err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Close)
	table, err := Open(settings.Table{Address: listener.Addr().String(), User: "rattan", Database: "platform"}, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(table.Close)
	return table
}

func TestRows(t *testing.T) {
	table, ctx := openTestTable(t), t.Context()
	if _, err := table.Get(ctx, "a/1"); !errors.Is(err, provider.ErrNotFound) {
		t.Fatalf("missing row: %v", err)
	}
	value := []byte("it's\x00\xff")
	steps := []struct {
		name   string
		writes []provider.Write
		want   error
	}{
		{"insert two", []provider.Write{{Key: "a/2", Value: value}, {Key: "a/1", Value: value}}, nil},
		{"insert a row that exists", []provider.Write{{Key: "b/1"}, {Key: "a/1"}}, provider.ErrConflict},
		{"update", []provider.Write{{Key: "a/1", IfVersion: 1, Value: []byte("new")}}, nil},
		{"update an old version", []provider.Write{{Key: "a/1", IfVersion: 1}}, provider.ErrConflict},
		{"all or none", []provider.Write{{Key: "a/2", IfVersion: 1, Delete: true}, {Key: "a/3", IfVersion: 7}}, provider.ErrConflict},
		{"delete", []provider.Write{{Key: "a/2", IfVersion: 1, Delete: true}}, nil},
		{"require absence", []provider.Write{{Key: "a/1", Delete: true}}, provider.ErrConflict},
		{"other prefix", []provider.Write{{Key: "ab"}}, nil},
	}
	for _, step := range steps {
		if _, err := table.Commit(ctx, step.writes...); !errors.Is(err, step.want) {
			t.Fatalf("%s: %v", step.name, err)
		}
	}
	rows, err := table.List(ctx, "a/")
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]provider.Row{{Key: "a/1", Version: 2, Value: []byte("new")}}, rows); diff != "" {
		t.Error(diff)
	}
}

func TestConcurrentUpdatesConflict(t *testing.T) {
	table := openTestTable(t)
	if _, err := table.Commit(t.Context(), provider.Write{Key: "k"}); err != nil {
		t.Fatal(err)
	}
	var successes atomic.Int32
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			_, err := table.Commit(t.Context(), provider.Write{Key: "k", IfVersion: 1, Value: []byte("x")})
			if err == nil {
				successes.Add(1)
			} else if !errors.Is(err, provider.ErrConflict) {
				t.Error(err)
			}
		})
	}
	wg.Wait()
	if successes.Load() != 1 {
		t.Errorf("%d writers succeeded, want 1", successes.Load())
	}
}

func TestOpenDoesNotPrintThePassword(t *testing.T) {
	_, err := Open(settings.Table{DSN: "host=h password=hunter2 port=x"}, nil)
	if err == nil || strings.Contains(fmt.Sprintf("%v %+v", err, err), "hunter2") {
		t.Errorf("error is %v", err)
	}
}
