package dbserver

import (
	"context"
	"sync"
	"time"
)

// lockTimeout bounds the wait for another transaction's lock.
const lockTimeout = 5 * time.Second

// lockTable makes writes with the same key wait for each other. Locks are held
// until the end of the transaction.
type lockTable struct {
	mu   sync.Mutex
	held map[string]*lock
}

type lock struct {
	owner *transaction
	freed chan struct{}
}

// lockKey names what c writes: its text and its first argument.
func lockKey(c command) string {
	if len(c.Args) == 0 {
		return c.SQL
	}
	return c.SQL + "\x00" + c.Args[0].String()
}

func (l *lockTable) acquire(ctx context.Context, t *transaction, key string) error {
	deadline := time.NewTimer(lockTimeout)
	defer deadline.Stop()
	for {
		freed, ok := l.try(t, key)
		if ok {
			return nil
		}
		select {
		case <-freed:
		case <-ctx.Done():
			return ctx.Err()
		case <-deadline.C:
			return newError("40P01", "deadlock or lock timeout")
		}
	}
}

func (l *lockTable) try(t *transaction, key string) (<-chan struct{}, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.held == nil {
		l.held = map[string]*lock{}
	}
	if held := l.held[key]; held != nil && held.owner != t {
		return held.freed, false
	}
	if l.held[key] == nil {
		l.held[key] = &lock{owner: t, freed: make(chan struct{})}
	}
	return nil, true
}

func (l *lockTable) release(t *transaction) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, held := range l.held {
		if held.owner == t {
			close(held.freed)
			delete(l.held, key)
		}
	}
}
