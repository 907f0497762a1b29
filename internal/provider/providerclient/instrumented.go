package providerclient

import (
	"context"
	"time"

	"github.com/rattancove/rattancove/internal/provider"
)

type instrumentedTable struct {
	inner             provider.Table
	timeout           time.Duration
	get, list, commit *callMetrics
}

// InstrumentTable returns a Table that limits each call to inner to timeout and
// records metrics.
func InstrumentTable(inner provider.Table, timeout time.Duration) provider.Table {
	const service = "table"
	return &instrumentedTable{
		inner: inner, timeout: timeout,
		get: newCallMetrics(service, "get"), list: newCallMetrics(service, "list"), commit: newCallMetrics(service, "commit"),
	}
}

func (t *instrumentedTable) Get(ctx context.Context, key string) (row provider.Row, err error) {
	err = t.get.run(ctx, t.timeout, func(ctx context.Context) error {
		row, err = t.inner.Get(ctx, key)
		return err
	})
	return row, err
}

func (t *instrumentedTable) List(ctx context.Context, prefix string) (rows []provider.Row, err error) {
	err = t.list.run(ctx, t.timeout, func(ctx context.Context) error {
		rows, err = t.inner.List(ctx, prefix)
		return err
	})
	return rows, err
}

func (t *instrumentedTable) Commit(ctx context.Context, writes ...provider.Write) ([]uint64, error) {
	var versions []uint64
	err := t.commit.run(ctx, t.timeout, func(ctx context.Context) error {
		var err error
		versions, err = t.inner.Commit(ctx, writes...)
		return err
	})
	return versions, err
}

type instrumentedObjectStore struct {
	inner    provider.ObjectStore
	timeout  time.Duration
	get, put *callMetrics
}

// InstrumentObjectStore returns an ObjectStore that limits each call to inner to
// timeout and records metrics.
func InstrumentObjectStore(inner provider.ObjectStore, timeout time.Duration) provider.ObjectStore {
	const service = "objects"
	return &instrumentedObjectStore{inner: inner, timeout: timeout, get: newCallMetrics(service, "get"), put: newCallMetrics(service, "put")}
}

func (o *instrumentedObjectStore) Get(ctx context.Context, key string) (data []byte, err error) {
	err = o.get.run(ctx, o.timeout, func(ctx context.Context) error {
		data, err = o.inner.Get(ctx, key)
		return err
	})
	return data, err
}

func (o *instrumentedObjectStore) Put(ctx context.Context, key string, data []byte) error {
	return o.put.run(ctx, o.timeout, func(ctx context.Context) error {
		return o.inner.Put(ctx, key, data)
	})
}

type instrumentedVMList struct {
	inner   provider.VMList
	timeout time.Duration
	vms     *callMetrics
}

// InstrumentVMList returns a VMList that limits each call to inner to timeout and
// records metrics.
func InstrumentVMList(inner provider.VMList, timeout time.Duration) provider.VMList {
	return &instrumentedVMList{inner: inner, timeout: timeout, vms: newCallMetrics("vms", "vms")}
}

func (l *instrumentedVMList) VMs(ctx context.Context) (vms []provider.VM, err error) {
	err = l.vms.run(ctx, l.timeout, func(ctx context.Context) error {
		vms, err = l.inner.VMs(ctx)
		return err
	})
	return vms, err
}
