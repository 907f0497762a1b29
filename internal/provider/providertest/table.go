package providertest

import (
	"bytes"
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/rattancove/rattancove/internal/provider"
)

// Table is an in-memory provider.Table.
type Table struct {
	Faults
	mu sync.Mutex
	// rows holds the rows with the numbers of their versions in era.
	rows map[string]provider.Row
	era  uint64
}

var _ provider.Table = (*Table)(nil)

// NewTable returns an empty table.
func NewTable() *Table { return &Table{rows: map[string]provider.Row{}} }

// NewRestorableTable returns an empty table that can be restored from a copy.
func NewRestorableTable() *Table { return &Table{rows: map[string]provider.Row{}, era: 1} }

// Copy returns a copy of the rows.
func (t *Table) Copy() map[string]provider.Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.rows)
}

// Restore brings the table back from a copy in a new era.
func (t *Table) Restore(rows map[string]provider.Row) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rows = maps.Clone(rows)
	t.era++
}

// Get implements provider.Table.
func (t *Table) Get(ctx context.Context, key string) (provider.Row, error) {
	if err := t.beginCall(ctx, "get"); err != nil {
		return provider.Row{}, err
	}
	t.mu.Lock()
	row, ok := t.rows[key]
	row = t.present(row)
	t.mu.Unlock()
	if err := t.endCall(ctx, false); err != nil {
		return provider.Row{}, err
	}
	if !ok {
		return provider.Row{Key: key, Version: row.Version}, provider.ErrNotFound
	}
	return row, nil
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
			rows = append(rows, t.present(row))
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
	versions, applyErr := t.apply(writes)
	if err := t.endCall(ctx, true); err != nil {
		return nil, err
	}
	return versions, applyErr
}

// apply applies writes whose conditions hold. A condition of an earlier era holds by chance if
// its number does; such a call returns no result, like one whose response is lost.
func (t *Table) apply(writes []provider.Write) ([]uint64, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var lost error
	for _, w := range writes {
		era, number := provider.SplitVersion(w.IfVersion)
		if t.rows[w.Key].Version != number {
			return nil, provider.ErrConflict
		}
		if w.IfVersion != 0 && era != t.era {
			lost = ErrResponseLost
		}
	}
	versions := make([]uint64, len(writes))
	for i, w := range writes {
		if w.Delete {
			delete(t.rows, w.Key)
			continue
		}
		row := provider.Row{Key: w.Key, Version: t.rows[w.Key].Version + 1, Value: bytes.Clone(w.Value)}
		t.rows[w.Key] = row
		versions[i] = t.present(row).Version
	}
	if lost != nil {
		return nil, lost
	}
	return versions, nil
}

// present returns a copy of a row with its version in the present era. The caller holds mu.
func (t *Table) present(row provider.Row) provider.Row {
	row.Version, row.Value = provider.JoinVersion(t.era, row.Version), bytes.Clone(row.Value)
	return row
}
