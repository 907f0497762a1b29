package environment

import (
	"slices"
	"sync"

	"github.com/rattancove/rattancove/internal/strictyaml"
)

// cachedDocuments is the number of documents whose parsed pieces a Parser keeps.
const cachedDocuments = 2

// Parser reads documents and keeps the groups of the last ones, so that a
// change costs the reading of the pieces that it touches. It is safe for
// concurrent use. Documents that it returns share groups and are not to be
// changed.
type Parser struct {
	mu sync.Mutex
	// groups holds the groups of a piece by its digest.
	groups map[string][]Group
	// envelopes holds the first group and what is not a group, by the digests of
	// the first and the last piece.
	envelopes map[string]*Document
	// recent holds the keys of both maps that the last documents use.
	recent [][]string
}

// NewParser returns a parser that has read nothing.
func NewParser() *Parser {
	return &Parser{groups: map[string][]Group{}, envelopes: map[string]*Document{}}
}

// Parse returns what the function Parse returns.
func (p *Parser) Parse(data []byte) (*Document, error) {
	return p.ParseSplit(Split(data))
}

// ParseSplit returns what Parse returns for a text in pieces.
func (p *Parser) ParseSplit(t SplitText) (*Document, error) {
	if t.SinglePiece() || len(t.data) > strictyaml.MaxBytes {
		return Parse(t.data)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if d, ok := p.parsePieces(t); ok {
		return d, nil
	}
	return Parse(t.data) // finds the faults and their places
}

// parsePieces joins the groups of the pieces and checks the whole. The second
// result is false when there are faults.
func (p *Parser) parsePieces(t SplitText) (*Document, bool) {
	first, last := t.Pieces[0], t.Pieces[len(t.Pieces)-1]
	envelope, ok := p.envelope(first, last)
	if !ok {
		return nil, false
	}
	d := *envelope
	d.Groups = slices.Clone(envelope.Groups)
	used := []string{envelopeKey(first, last)}
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

func envelopeKey(first, last Piece) string { return first.Digest + last.Digest }

// envelope reads the first and the last piece, which together are a document.
func (p *Parser) envelope(first, last Piece) (*Document, bool) {
	key := envelopeKey(first, last)
	if d, ok := p.envelopes[key]; ok {
		return d, true
	}
	d, err := Parse(slices.Concat(first.Data, last.Data))
	if err != nil {
		return nil, false
	}
	p.envelopes[key] = d
	return d, true
}

// parsePiece reads a piece between the first and the last.
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

// evict forgets the pieces that none of the last documents uses.
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
	for key := range p.envelopes {
		if !kept[key] {
			delete(p.envelopes, key)
		}
	}
}
