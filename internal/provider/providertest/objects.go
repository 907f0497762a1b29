package providertest

import (
	"bytes"
	"context"
	"slices"
	"sync"

	"github.com/rattancove/rattancove/internal/provider"
)

// ObjectStore is an in-memory provider.ObjectStore.
type ObjectStore struct {
	Faults
	mu   sync.Mutex
	data map[string][]byte
}

var _ provider.ObjectStore = (*ObjectStore)(nil)

// NewObjectStore returns an empty object store.
func NewObjectStore() *ObjectStore { return &ObjectStore{data: map[string][]byte{}} }

// Put implements provider.ObjectStore.
func (o *ObjectStore) Put(ctx context.Context, key string, data []byte) error {
	if err := o.beginCall(ctx, "put"); err != nil {
		return err
	}
	o.runBeforeWrite()
	o.mu.Lock()
	o.data[key] = bytes.Clone(data)
	o.mu.Unlock()
	return o.endCall(ctx, true)
}

// Get implements provider.ObjectStore.
func (o *ObjectStore) Get(ctx context.Context, key string) ([]byte, error) {
	if err := o.beginCall(ctx, "get"); err != nil {
		return nil, err
	}
	o.mu.Lock()
	data, ok := o.data[key]
	o.mu.Unlock()
	if err := o.endCall(ctx, false); err != nil {
		return nil, err
	}
	if !ok {
		return nil, provider.ErrNotFound
	}
	return bytes.Clone(data), nil
}

// VMList is an in-memory provider.VMList.
type VMList struct {
	Faults
	mu  sync.Mutex
	vms []provider.VM
}

var _ provider.VMList = (*VMList)(nil)

// Set replaces the list.
func (l *VMList) Set(vms ...provider.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.vms = slices.Clone(vms)
}

// VMs implements provider.VMList.
func (l *VMList) VMs(ctx context.Context) ([]provider.VM, error) {
	if err := l.beginCall(ctx, "vms"); err != nil {
		return nil, err
	}
	l.mu.Lock()
	vms := slices.Clone(l.vms)
	l.mu.Unlock()
	if err := l.endCall(ctx, false); err != nil {
		return nil, err
	}
	return vms, nil
}
