package providerclient

import (
	"context"
	"time"

	"github.com/rattancove/rattancove/internal/provider"
)

type countedTable struct {
	inner             provider.Table
	timeout           time.Duration
	get, list, commit *call
}

// Table bounds each call to inner by timeout and counts it.
func Table(inner provider.Table, timeout time.Duration) provider.Table {
	const service = "table"
	return &countedTable{
		inner: inner, timeout: timeout,
		get: newCall(service, "get"), list: newCall(service, "list"), commit: newCall(service, "commit"),
	}
}

func (t *countedTable) Get(ctx context.Context, key string) (row provider.Row, err error) {
	err = t.get.run(ctx, t.timeout, func(ctx context.Context) error {
		row, err = t.inner.Get(ctx, key)
		return err
	})
	return row, err
}

func (t *countedTable) List(ctx context.Context, prefix string) (rows []provider.Row, err error) {
	err = t.list.run(ctx, t.timeout, func(ctx context.Context) error {
		rows, err = t.inner.List(ctx, prefix)
		return err
	})
	return rows, err
}

func (t *countedTable) Commit(ctx context.Context, writes ...provider.Write) ([]uint64, error) {
	var versions []uint64
	err := t.commit.run(ctx, t.timeout, func(ctx context.Context) error {
		var err error
		versions, err = t.inner.Commit(ctx, writes...)
		return err
	})
	return versions, err
}

type countedObjects struct {
	inner    provider.Objects
	timeout  time.Duration
	get, put *call
}

// Objects bounds each call to inner by timeout and counts it.
func Objects(inner provider.Objects, timeout time.Duration) provider.Objects {
	const service = "objects"
	return &countedObjects{inner: inner, timeout: timeout, get: newCall(service, "get"), put: newCall(service, "put")}
}

func (o *countedObjects) Get(ctx context.Context, key string) (data []byte, err error) {
	err = o.get.run(ctx, o.timeout, func(ctx context.Context) error {
		data, err = o.inner.Get(ctx, key)
		return err
	})
	return data, err
}

func (o *countedObjects) Put(ctx context.Context, key string, data []byte) error {
	return o.put.run(ctx, o.timeout, func(ctx context.Context) error {
		return o.inner.Put(ctx, key, data)
	})
}

type countedVMs struct {
	inner   provider.VMList
	timeout time.Duration
	vms     *call
}

// VMList bounds each call to inner by timeout and counts it.
func VMList(inner provider.VMList, timeout time.Duration) provider.VMList {
	return &countedVMs{inner: inner, timeout: timeout, vms: newCall("vms", "vms")}
}

func (l *countedVMs) VMs(ctx context.Context) (vms []provider.VM, err error) {
	err = l.vms.run(ctx, l.timeout, func(ctx context.Context) error {
		vms, err = l.inner.VMs(ctx)
		return err
	})
	return vms, err
}
