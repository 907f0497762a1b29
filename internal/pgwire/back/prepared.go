package back

import (
	"container/list"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/rattancove/rattancove/internal/statement"
)

// preparedSet is the set of named statements that a connection has, in the
// order of their last use.
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

// definitionsFor returns the messages that define what the connection lacks and
// close the statements that must make room.
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

// prefix is what is sent before a batch. Its answers come first.
type prefix struct {
	set    *preparedSet
	data   []byte
	closes int
	parses []statement.Prepared
}

// consume reports whether a message answers the prefix. After an error the
// server skips the rest of the prefix and the batch.
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
