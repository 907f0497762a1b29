package dbserver

import (
	"context"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"time"
)

// lockTimeout is the maximum wait for a lock.
const lockTimeout = 5 * time.Second

// lockTable serializes writes with the same key. Locks are held until the end of
// the transaction.
type lockTable struct {
	mu    sync.Mutex
	locks map[string]*rowLock
}

type rowLock struct {
	owner    *transaction
	released chan struct{}
}

var (
	whereClausePattern  = regexp.MustCompile(`(?is)(?:\bFROM|^\s*UPDATE)\s+"?(\w+)"?.*?\bWHERE\b(.*?)(?:\bRETURNING\b.*)?$`)
	insertValuesPattern = regexp.MustCompile(`(?is)^\s*INSERT\s+INTO\s+"?(\w+)"?.*?\bVALUES\s*\(([^,)]+)`)
)

// lockKey returns the lock key for the rows that c writes: the table name with
// the WHERE condition, or with the first value of an inserted row.
func lockKey(c command) string {
	for _, pattern := range []*regexp.Regexp{whereClausePattern, insertValuesPattern} {
		if m := pattern.FindStringSubmatch(c.SQL); m != nil {
			return strings.ToLower(m[1]) + "|" + strings.Join(strings.Fields(substituteArgs(m[2], c.Args)), " ")
		}
	}
	return substituteArgs(c.SQL, c.Args)
}

// substituteArgs replaces the parameters in text by their arguments.
func substituteArgs(text string, args []value) string {
	return paramPattern.ReplaceAllStringFunc(text, func(ref string) string {
		n, _ := strconv.Atoi(ref[1:])
		if n < 1 || n > len(args) {
			return ref
		}
		return args[n-1].String()
	})
}

func (l *lockTable) acquire(ctx context.Context, t *transaction, key string) error {
	deadline := time.NewTimer(lockTimeout)
	defer deadline.Stop()
	for {
		released, ok := l.tryAcquire(t, key)
		if ok {
			return nil
		}
		select {
		case <-released:
		case <-ctx.Done():
			return ctx.Err()
		case <-deadline.C:
			return newError("40P01", "deadlock or lock timeout")
		}
	}
}

func (l *lockTable) tryAcquire(t *transaction, key string) (<-chan struct{}, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.locks == nil {
		l.locks = map[string]*rowLock{}
	}
	if held := l.locks[key]; held != nil && held.owner != t {
		return held.released, false
	}
	if l.locks[key] == nil {
		l.locks[key] = &rowLock{owner: t, released: make(chan struct{})}
	}
	return nil, true
}

func (l *lockTable) release(t *transaction) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, held := range l.locks {
		if held.owner == t {
			close(held.released)
			delete(l.locks, key)
		}
	}
}
