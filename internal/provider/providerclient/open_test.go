package providerclient

import (
	"errors"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"github.com/rattancove/rattancove/internal/provider"
	"github.com/rattancove/rattancove/internal/provider/providertest"
	"github.com/rattancove/rattancove/internal/settings"
	standin "github.com/rattancove/rattancove/internal/standin/platform"
)

func TestObjectsAndVMs(t *testing.T) {
	objects := httptest.NewServer(standin.NewObjectStore().Handler())
	defer objects.Close()
	want := []provider.VM{{Address: "10.0.0.1"}, {Address: "10.0.0.2", Leaving: true}}
	vms := httptest.NewServer(standin.NewVMList(want...).Handler())
	defer vms.Close()
	services, err := Open(settings.Platform{
		Timeout: 5 * time.Second,
		Table:   settings.Table{Address: "127.0.0.1:1", User: "u", Database: "d"},
		Objects: settings.Objects{
			Endpoint: strings.TrimPrefix(objects.URL, "http://"), Bucket: "rattancove",
			AccessKey: "access", SecretKey: "secret",
		},
		VMs: settings.VMs{URL: vms.URL},
	}, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	defer services.Close()

	ctx := t.Context()
	if _, err := services.Objects.Get(ctx, "doc/x"); !errors.Is(err, provider.ErrNotFound) {
		t.Errorf("missing object: %v", err)
	}
	data := []byte("name: cotopaxi\n")
	if err := services.Objects.Put(ctx, "doc/x", data); err != nil {
		t.Fatal(err)
	}
	if got, err := services.Objects.Get(ctx, "doc/x"); err != nil || !cmp.Equal(got, data) {
		t.Errorf("object is %q, %v", got, err)
	}
	if got, err := services.VMs.VMs(ctx); err != nil || !cmp.Equal(got, want) {
		t.Errorf("list is %v, %v", got, err)
	}
	if _, err := services.Table.Get(ctx, "k"); err == nil {
		t.Error("a call to an unreachable table service succeeded")
	}
}

func TestCallsTimeOut(t *testing.T) {
	inner := providertest.NewTable()
	inner.SetDelay(time.Hour)
	table := InstrumentTable(inner, time.Millisecond)
	if _, err := table.Get(t.Context(), "k"); err == nil {
		t.Error("a call beyond the timeout succeeded")
	}
	if _, err := table.Commit(t.Context(), provider.Write{Key: "k"}); err == nil {
		t.Error("a call beyond the timeout succeeded")
	}
}
