package providertest

import (
	"bytes"
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"

	"github.com/rattancove/rattancove/internal/provider"
)

// Table is an in-memory provider.Table.
type Table struct {
	Faults
	mu   sync.Mutex
	rows map[string]provider.Row
}

var _ provider.Table = (*Table)(nil)

// NewTable returns an empty table.
func NewTable() *Table { return &Table{rows: map[string]provider.Row{}} }

// Get implements provider.Table.
func (t *Table) Get(ctx context.Context, key string) (provider.Row, error) {
	if err := t.beginCall(ctx, "get"); err != nil {
		return provider.Row{}, err
	}
	t.mu.Lock()
	row, ok := t.rows[key]
	t.mu.Unlock()
	if err := t.endCall(ctx, false); err != nil {
		return provider.Row{}, err
	}
	if !ok {
		return provider.Row{}, provider.ErrNotFound
	}
	return cloneRow(row), nil
}

// List implements provider.Table.
func (t *Table) List(ctx context.Context, prefix string) ([]provider.Row, error) {
	if err := t.beginCall(ctx, "list"); err != nil {
		return nil, err
	}
	rows := t.list(prefix)
	if err := t.endCall(ctx, false); err != nil {
		return nil, err
	}
	return rows, nil
}

func (t *Table) list(prefix string) []provider.Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	var rows []provider.Row
	for key, row := range t.rows {
		if strings.HasPrefix(key, prefix) {
			rows = append(rows, cloneRow(row))
		}
	}
	slices.SortFunc(rows, func(a, b provider.Row) int { return strings.Compare(a.Key, b.Key) })
	return rows
}

// Commit implements provider.Table.
func (t *Table) Commit(ctx context.Context, writes ...provider.Write) ([]uint64, error) {
	if len(writes) > provider.MaxWrites {
		return nil, fmt.Errorf("%d writes in one commit", len(writes))
	}
	if err := t.beginCall(ctx, "commit"); err != nil {
		return nil, err
	}
	t.runBeforeWrite()
	applyErr := t.apply(writes)
	if err := t.endCall(ctx, true); err != nil {
		return nil, err
	}
	if applyErr != nil {
		return nil, applyErr
	}
	return provider.NextVersions(writes), nil
}

func (t *Table) apply(writes []provider.Write) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, w := range writes {
		if t.rows[w.Key].Version != w.IfVersion {
			return provider.ErrConflict
		}
	}
	for _, w := range writes {
		if w.Delete {
			delete(t.rows, w.Key)
			continue
		}
		t.rows[w.Key] = provider.Row{Key: w.Key, Version: w.IfVersion + 1, Value: bytes.Clone(w.Value)}
	}
	return nil
}

func cloneRow(row provider.Row) provider.Row {
	row.Value = bytes.Clone(row.Value)
	return row
}
