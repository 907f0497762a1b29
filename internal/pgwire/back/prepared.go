package back

import (
	"container/list"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/rattancove/rattancove/internal/statement"
)

// preparedSet tracks the named prepared statements of a connection in order of
// last use.
type preparedSet struct {
	limit    int
	lru      *list.List
	elements map[string]*list.Element
}

func newPreparedSet(limit int) *preparedSet {
	return &preparedSet{limit: limit, lru: list.New(), elements: map[string]*list.Element{}}
}

func (s *preparedSet) clear() {
	s.lru.Init()
	clear(s.elements)
}

func (s *preparedSet) add(name string) {
	s.elements[name] = s.lru.PushFront(name)
}

// definitionsFor returns the messages that define those of the wanted statements
// that the connection lacks, preceded by messages that close the least recently
// used statements beyond the limit.
func (s *preparedSet) definitionsFor(wanted []statement.Prepared) prefix {
	p := prefix{set: s}
	for _, w := range wanted {
		if element, ok := s.elements[w.Name]; ok {
			s.lru.MoveToFront(element)
			continue
		}
		p.parses = append(p.parses, w)
	}
	room := s.limit - len(p.parses)
	for s.lru.Len() > max(room, len(wanted)-len(p.parses)) {
		oldest := s.lru.Back()
		name, _ := s.lru.Remove(oldest).(string)
		delete(s.elements, name)
		p.data = append(p.data, encode(&pgproto3.Close{ObjectType: 'S', Name: name})...)
		p.closes++
	}
	for _, w := range p.parses {
		p.data = append(p.data, w.Parse...)
	}
	return p
}

// prefix holds the messages sent before a batch. The responses to them arrive
// before those to the batch.
type prefix struct {
	set    *preparedSet
	data   []byte
	closes int
	parses []statement.Prepared
}

// consume reports whether a message is a response to the prefix and updates the
// set. After an error the server skips the rest of the prefix and the batch.
func (p *prefix) consume(kind byte) bool {
	switch {
	case kind == typeError:
		p.closes, p.parses = 0, nil
		return false
	case p.closes > 0 && kind == typeCloseComplete:
		p.closes--
		return true
	case len(p.parses) > 0 && kind == typeParseComplete:
		p.set.add(p.parses[0].Name)
		p.parses = p.parses[1:]
		return true
	default:
		return false
	}
}
