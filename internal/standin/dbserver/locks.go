package dbserver

import (
	"context"
	"regexp"
	"strconv"
	"strings"
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

var (
	rowPattern    = regexp.MustCompile(`(?is)(?:\bFROM|^\s*UPDATE)\s+"?(\w+)"?.*?\bWHERE\b(.*?)(?:\bRETURNING\b.*)?$`)
	newRowPattern = regexp.MustCompile(`(?is)^\s*INSERT\s+INTO\s+"?(\w+)"?.*?\bVALUES\s*\(([^,)]+)`)
)

// lockKey names the rows that c writes: the table with the condition of the
// statement or with the first value of a new row.
func lockKey(c command) string {
	for _, pattern := range []*regexp.Regexp{rowPattern, newRowPattern} {
		if m := pattern.FindStringSubmatch(c.SQL); m != nil {
			return strings.ToLower(m[1]) + "|" + strings.Join(strings.Fields(withArgs(m[2], c.Args)), " ")
		}
	}
	return withArgs(c.SQL, c.Args)
}

// withArgs puts the arguments in the place of their parameters.
func withArgs(text string, args []value) string {
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
