package providertest

import (
	"bytes"
	"context"
	"slices"
	"sync"

	"github.com/rattancove/rattancove/internal/provider"
)

// Objects is a provider.Objects in memory.
type Objects struct {
	Faults
	mu   sync.Mutex
	data map[string][]byte
}

var _ provider.Objects = (*Objects)(nil)

// NewObjects returns an empty object store.
func NewObjects() *Objects { return &Objects{data: map[string][]byte{}} }

// Put implements provider.Objects.
func (o *Objects) Put(ctx context.Context, key string, data []byte) error {
	if err := o.enter(ctx, "put"); err != nil {
		return err
	}
	o.runBefore()
	o.mu.Lock()
	o.data[key] = bytes.Clone(data)
	o.mu.Unlock()
	return o.leave(ctx, true)
}

// Get implements provider.Objects.
func (o *Objects) Get(ctx context.Context, key string) ([]byte, error) {
	if err := o.enter(ctx, "get"); err != nil {
		return nil, err
	}
	o.mu.Lock()
	data, ok := o.data[key]
	o.mu.Unlock()
	if err := o.leave(ctx, false); err != nil {
		return nil, err
	}
	if !ok {
		return nil, provider.ErrNotFound
	}
	return bytes.Clone(data), nil
}

// VMList is a provider.VMList in memory.
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
	if err := l.enter(ctx, "vms"); err != nil {
		return nil, err
	}
	l.mu.Lock()
	vms := slices.Clone(l.vms)
	l.mu.Unlock()
	if err := l.leave(ctx, false); err != nil {
		return nil, err
	}
	return vms, nil
}
