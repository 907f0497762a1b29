package environment

import (
	"slices"
	"sync"

	"github.com/rattancove/rattancove/internal/strictyaml"
)

// cachedDocuments is the number of documents whose parsed pieces a Parser caches.
const cachedDocuments = 2

// Parser parses documents incrementally: it caches the parsed pieces of the last
// documents, so that only the pieces touched by a change are parsed again. It is
// safe for concurrent use. The documents that it returns share groups and must not
// be modified.
type Parser struct {
	mu sync.Mutex
	// groups holds the groups of the pieces in the middle by the digest of the piece.
	groups map[string][]Group
	// outerDocuments holds the documents parsed from the first and the last piece alone,
	// without the groups of the pieces in the middle, by the digests of both pieces.
	outerDocuments map[string]*Document
	// recent holds the keys of both maps that are used by each of the last documents.
	recent [][]string
}

// NewParser returns a parser with empty caches.
func NewParser() *Parser {
	return &Parser{groups: map[string][]Group{}, outerDocuments: map[string]*Document{}}
}

// Parse returns the same result as the function Parse.
func (p *Parser) Parse(data []byte) (*Document, error) {
	return p.ParseSplit(Split(data))
}

// ParseSplit is like Parse for a text that has been split.
func (p *Parser) ParseSplit(t SplitText) (*Document, error) {
	if t.SinglePiece() || len(t.data) > strictyaml.MaxBytes {
		return Parse(t.data)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if d, ok := p.parsePieces(t); ok {
		return d, nil
	}
	return Parse(t.data) // reports the errors with their positions
}

// parsePieces assembles a document from its pieces and validates it. The second
// result is false when there are errors.
func (p *Parser) parsePieces(t SplitText) (*Document, bool) {
	first, last := t.Pieces[0], t.Pieces[len(t.Pieces)-1]
	outer, ok := p.parseOuter(first, last)
	if !ok {
		return nil, false
	}
	d := *outer
	d.Groups = slices.Clone(outer.Groups)
	used := []string{outerKey(first, last)}
	for _, piece := range t.Pieces[1 : len(t.Pieces)-1] {
		groups, ok := p.parsePiece(piece)
		if !ok {
			return nil, false
		}
		d.Groups = append(d.Groups, groups...)
		used = append(used, piece.Digest)
	}
	c := checker{source: strictyaml.NewSource()}
	c.check(&d)
	if len(c.faults) > 0 {
		return nil, false
	}
	p.evict(used)
	return &d, true
}

func outerKey(first, last Piece) string { return first.Digest + last.Digest }

// parseOuter parses the first and the last piece, which together are a document.
func (p *Parser) parseOuter(first, last Piece) (*Document, bool) {
	key := outerKey(first, last)
	if d, ok := p.outerDocuments[key]; ok {
		return d, true
	}
	d, err := Parse(slices.Concat(first.Data, last.Data))
	if err != nil {
		return nil, false
	}
	p.outerDocuments[key] = d
	return d, true
}

// parsePiece parses a piece between the first and the last.
func (p *Parser) parsePiece(piece Piece) ([]Group, bool) {
	if groups, ok := p.groups[piece.Digest]; ok {
		return groups, true
	}
	var body struct {
		Groups []Group `yaml:"groups" validate:"required,min=1,dive"`
	}
	source, faults := strictyaml.Decode(slices.Concat([]byte("groups:\n"), piece.Data), &body)
	faults = append(faults, source.Validate(strictyaml.NewValidator(), &body)...)
	if faults.Err() != nil {
		return nil, false
	}
	p.groups[piece.Digest] = body.Groups
	return body.Groups, true
}

// evict records the keys used by a document and drops the entries that none of the
// last cachedDocuments documents uses.
func (p *Parser) evict(used []string) {
	p.recent = append(p.recent, used)
	if extra := len(p.recent) - cachedDocuments; extra > 0 {
		p.recent = slices.Delete(p.recent, 0, extra)
	}
	kept := map[string]bool{}
	for _, keys := range p.recent {
		for _, key := range keys {
			kept[key] = true
		}
	}
	for key := range p.groups {
		if !kept[key] {
			delete(p.groups, key)
		}
	}
	for key := range p.outerDocuments {
		if !kept[key] {
			delete(p.outerDocuments, key)
		}
	}
}
