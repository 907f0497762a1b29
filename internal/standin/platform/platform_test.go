package platform

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/rattancove/rattancove/internal/provider"
	"github.com/rattancove/rattancove/internal/provider/httpvms"
	"github.com/rattancove/rattancove/internal/provider/pgtable"
	"github.com/rattancove/rattancove/internal/provider/s3objects"
	"github.com/rattancove/rattancove/internal/settings"
	"github.com/rattancove/rattancove/internal/standin/dbserver"
)

func openTable(t *testing.T) (*dbserver.Server, provider.Table) {
	t.Helper()
	s, err := dbserver.New(dbserver.Config{ID: "table", Primary: true})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Serve(l) }()
	table, err := pgtable.Open(settings.Table{Address: l.Addr().String(), User: "u", Database: "d"}, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(table.Close)
	return s, table
}

func TestTableService(t *testing.T) {
	s, table := openTable(t)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	value := []byte{0, '\\', 'x', 0xff}
	if _, err := table.Commit(ctx, provider.Write{Key: "a/1", Value: value}, provider.Write{Key: "a/2", Value: []byte("two")}); err != nil {
		t.Fatal(err)
	}
	_, err := table.Commit(ctx, provider.Write{Key: "a/1", IfVersion: 1, Value: []byte("x")}, provider.Write{Key: "a/2", IfVersion: 9})
	if !errors.Is(err, provider.ErrConflict) {
		t.Errorf("stale write: %v", err)
	}
	if _, err := table.Commit(ctx, provider.Write{Key: "a/2", IfVersion: 1, Value: []byte("second")}); err != nil {
		t.Fatal(err)
	}
	rows, err := table.List(ctx, "a/")
	want := []provider.Row{{Key: "a/1", Version: 1, Value: value}, {Key: "a/2", Version: 2, Value: []byte("second")}}
	if diff := cmp.Diff(want, rows); diff != "" || err != nil {
		t.Errorf("%v %s", err, diff)
	}
	s.DropResponses(1)
	if _, err := table.Commit(ctx, provider.Write{Key: "b", Value: []byte("kept")}); err == nil {
		t.Error("commit got a response that should have been dropped")
	}
	if row, err := table.Get(ctx, "b"); err != nil || string(row.Value) != "kept" {
		t.Errorf("write whose response was dropped: %v, error %v", row, err)
	}
	if _, err := table.Get(ctx, "absent"); !errors.Is(err, provider.ErrNotFound) {
		t.Errorf("got %v", err)
	}
}

func TestObjectStore(t *testing.T) {
	server := httptest.NewServer(NewObjectStore("rattancove").Handler())
	defer server.Close()
	store, err := s3objects.Open(settings.Objects{
		Endpoint: strings.TrimPrefix(server.URL, "http://"), Bucket: "rattancove", AccessKey: "key", SecretKey: "secret",
	}, nil)
	if err != nil {
		t.Fatal(err)
	}
	if err := store.Put(t.Context(), "documents/1", []byte("text")); err != nil {
		t.Fatal(err)
	}
	data, err := store.Get(t.Context(), "documents/1")
	if err != nil || string(data) != "text" {
		t.Errorf("%q %v", data, err)
	}
	if _, err := store.Get(t.Context(), "documents/2"); !errors.Is(err, provider.ErrNotFound) {
		t.Errorf("got %v", err)
	}
}

func TestReadSignedChunks(t *testing.T) {
	body := "5;chunk-signature=00\r\nhello\r\n6;chunk-signature=00\r\n world\r\n0;chunk-signature=00\r\n\r\n"
	r := httptest.NewRequest(http.MethodPut, "/b/k", strings.NewReader(body))
	r.Header.Set("X-Amz-Content-Sha256", "STREAMING-AWS4-HMAC-SHA256-PAYLOAD")
	if data, err := readBody(r); err != nil || string(data) != "hello world" {
		t.Errorf("%q %v", data, err)
	}
}

func TestVMListAndFaults(t *testing.T) {
	server := httptest.NewServer(NewVMList(provider.VM{Address: "10.0.0.1"}).Handler())
	defer server.Close()
	vms := httpvms.Open(server.URL, nil)
	put := func(path, query, body string) error {
		r, err := http.NewRequest(http.MethodPut, server.URL+path+"?"+query, strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		response, err := http.DefaultClient.Do(r)
		if err == nil {
			_ = response.Body.Close()
		}
		return err
	}
	setFault := func(name, value string) {
		if err := put(FaultPath, url.Values{name: {value}}.Encode(), ""); err != nil {
			t.Fatal(err)
		}
	}
	setFault("down", "true")
	if _, err := vms.VMs(t.Context()); err == nil {
		t.Error("service responded while down")
	}
	setFault("down", "false")
	setFault("lose", "1")
	if err := put("/", "", `[{"address":"10.0.0.2","leaving":true}]`); err == nil {
		t.Error("PUT got a response that should have been dropped")
	}
	got, err := vms.VMs(t.Context())
	if diff := cmp.Diff([]provider.VM{{Address: "10.0.0.2", Leaving: true}}, got); diff != "" || err != nil {
		t.Errorf("%v %s", err, diff)
	}
}
