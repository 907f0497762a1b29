package front

import (
	"runtime"
	"sync"
	"sync/atomic"
	"weak"
)

// definitions shares equal prepared statements between callers: most callers
// of a group run the same program. An entry goes when its last caller has
// dropped it.
type definitions struct {
	// limit bounds the bytes of all definitions.
	limit int64
	bytes atomic.Int64

	mu     sync.Mutex
	byName map[string]weak.Pointer[definition]
}

func newDefinitions(limit int64) *definitions {
	return &definitions{limit: limit, byName: make(map[string]weak.Pointer[definition])}
}

// share returns the definition that callers with an equal one use. It reports
// false when there is no room for a new one.
func (s *definitions) share(d *definition) (*definition, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if known := s.byName[d.name].Value(); known != nil {
		return known, true
	}
	size := int64(len(d.parse))
	if s.bytes.Load()+size > s.limit {
		return nil, false
	}
	s.bytes.Add(size)
	p := weak.Make(d)
	s.byName[d.name] = p
	runtime.AddCleanup(d, s.drop, dropped{name: d.name, pointer: p, size: size})
	return d, true
}

// dropped names a definition that no caller holds any more.
type dropped struct {
	name    string
	pointer weak.Pointer[definition]
	size    int64
}

func (s *definitions) drop(d dropped) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bytes.Add(-d.size)
	if s.byName[d.name] == d.pointer {
		delete(s.byName, d.name)
	}
}
