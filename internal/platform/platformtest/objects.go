package platformtest

import (
	"bytes"
	"context"
	"slices"
	"sync"

	"github.com/rattancove/rattancove/internal/platform"
)

// Objects is a platform.Objects in memory.
type Objects struct {
	Faults
	mu   sync.Mutex
	data map[string][]byte
}

var _ platform.Objects = (*Objects)(nil)

// NewObjects returns an empty object store.
func NewObjects() *Objects { return &Objects{data: map[string][]byte{}} }

// Put implements platform.Objects.
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

// Get implements platform.Objects.
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
		return nil, platform.ErrNotFound
	}
	return bytes.Clone(data), nil
}

// VMList is a platform.VMList in memory.
type VMList struct {
	Faults
	mu  sync.Mutex
	vms []platform.VM
}

var _ platform.VMList = (*VMList)(nil)

// Set replaces the list.
func (l *VMList) Set(vms ...platform.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.vms = slices.Clone(vms)
}

// VMs implements platform.VMList.
func (l *VMList) VMs(ctx context.Context) ([]platform.VM, error) {
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
