package front

import (
	"runtime"
	"sync"
	"sync/atomic"
	"weak"
)

// statementInterner shares equal prepared statements between callers: most callers
// of a group run the same program. An entry goes when its last caller has
// dropped it.
type statementInterner struct {
	// maxBytes bounds the bytes of all definitions.
	maxBytes  int64
	usedBytes atomic.Int64

	mu     sync.Mutex
	byName map[string]weak.Pointer[preparedStatement]
}

func newStatementInterner(maxBytes int64) *statementInterner {
	return &statementInterner{maxBytes: maxBytes, byName: make(map[string]weak.Pointer[preparedStatement])}
}

// intern returns the definition that callers with an equal one use. It reports
// false when there is no room for a new one.
func (s *statementInterner) intern(d *preparedStatement) (*preparedStatement, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if interned := s.byName[d.serverName].Value(); interned != nil {
		return interned, true
	}
	size := int64(len(d.parseMessage))
	if s.usedBytes.Load()+size > s.maxBytes {
		return nil, false
	}
	s.usedBytes.Add(size)
	p := weak.Make(d)
	s.byName[d.serverName] = p
	runtime.AddCleanup(d, s.removeCollected, collectedStatement{name: d.serverName, weakPointer: p, size: size})
	return d, true
}

// collectedStatement names a definition that no caller holds any more.
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
