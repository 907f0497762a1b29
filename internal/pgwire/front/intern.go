package front

import (
	"runtime"
	"sync"
	"sync/atomic"
	"weak"
)

// statementInterner shares equal prepared statements between callers, because most
// callers of a group run the same program. A statement is removed when no caller
// refers to it.
type statementInterner struct {
	// maxBytes bounds the total size of the Parse messages.
	maxBytes  int64
	usedBytes atomic.Int64

	mu     sync.Mutex
	byName map[string]weak.Pointer[preparedStatement]
}

func newStatementInterner(maxBytes int64) *statementInterner {
	return &statementInterner{maxBytes: maxBytes, byName: make(map[string]weak.Pointer[preparedStatement])}
}

// intern returns the shared statement that equals stmt, which is stmt
// itself if there is none yet. The second result is false if a new statement would exceed maxBytes.
func (s *statementInterner) intern(stmt *preparedStatement) (*preparedStatement, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if interned := s.byName[stmt.serverName].Value(); interned != nil {
		return interned, true
	}
	size := int64(len(stmt.parseMessage))
	if s.usedBytes.Load()+size > s.maxBytes {
		return nil, false
	}
	s.usedBytes.Add(size)
	pointer := weak.Make(stmt)
	s.byName[stmt.serverName] = pointer
	runtime.AddCleanup(stmt, s.removeCollected, collectedStatement{name: stmt.serverName, weakPointer: pointer, size: size})
	return stmt, true
}

// collectedStatement identifies a statement that was garbage-collected because no
// caller refers to it.
type collectedStatement struct {
	name        string
	weakPointer weak.Pointer[preparedStatement]
	size        int64
}

func (s *statementInterner) removeCollected(collected collectedStatement) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.usedBytes.Add(-collected.size)
	if s.byName[collected.name] == collected.weakPointer {
		delete(s.byName, collected.name)
	}
}
