package document

import (
	"errors"
	"net"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/rattancove/rattancove/internal/provider/providerclient"
	"github.com/rattancove/rattancove/internal/settings"
	"github.com/rattancove/rattancove/internal/standin/dbserver"
	standin "github.com/rattancove/rattancove/internal/standin/platform"
)

// newAdapterStore returns a store that uses the platform adapters against stand-in
// services on loopback.
func newAdapterStore(t *testing.T) *Store {
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
	objects := httptest.NewServer(standin.NewObjectStore().Handler())
	t.Cleanup(objects.Close)
	services, err := providerclient.Open(settings.Platform{
		Timeout: 10 * time.Second,
		Table:   settings.Table{Address: listener.Addr().String(), User: "u", Database: "d"},
		Objects: settings.Objects{Endpoint: strings.TrimPrefix(objects.URL, "http://"), Bucket: "rattancove", AccessKey: "a", SecretKey: "s"},
	}, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(services.Close)
	return NewStore(services.Table, services.Objects)
}

// variantWithoutWindow returns variant without change windows, as this test runs on
// the real clock and on any day.
func variantWithoutWindow(t *testing.T, n int) []byte {
	whole, _, _ := strings.Cut(string(variant(t, n)), "change_windows:")
	return []byte(whole)
}

// TestOperatorsRaceOverTheAdapters checks that exactly one of several concurrent
// changes of the same revision succeeds and that the others learn the revision in force.
func TestOperatorsRaceOverTheAdapters(t *testing.T) {
	const operators = 4
	store := newAdapterStore(t)
	if _, err := store.Publish(t.Context(), change("first"), variantWithoutWindow(t, 0)); err != nil {
		t.Fatal(err)
	}
	base := uint64(1)
	var wg sync.WaitGroup
	winners := make(chan Revision, operators)
	for i := range operators {
		wg.Go(func() {
			c := change("race-" + string(rune('a'+i)))
			c.IfRevision = &base
			r, err := store.Publish(t.Context(), c, variantWithoutWindow(t, i+1))
			var conflict *ConflictError
			switch {
			case err == nil:
				winners <- r
			case !errors.As(err, &conflict) || conflict.Current.Revision != 2:
				t.Errorf("error is %v", err)
			}
		})
	}
	wg.Wait()
	close(winners)
	winner, ok := <-winners
	if _, second := <-winners; !ok || second {
		t.Fatal("want exactly one winner")
	}
	back, err := store.Rollback(t.Context(), change("back"), 1)
	if err != nil || back.Revision != 3 {
		t.Fatalf("roll back: %+v, %v", back, err)
	}
	history, err := store.History(t.Context(), env)
	if err != nil || len(history) != 3 || history[1] != winner {
		t.Errorf("history %+v, %v", history, err)
	}
}
