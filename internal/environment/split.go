package environment

import (
	"bytes"
	"encoding/hex"
	"hash/fnv"
	"regexp"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
)

const (
	// SplitBytes is the size from which a document is stored in pieces.
	SplitBytes = 64 << 10
	// groupsPerPiece is the mean number of groups of a piece. It balances the
	// bytes of the manifest against those of the piece that a change moves.
	groupsPerPiece = 20
	// manifestMark is the first line of a manifest. No document begins so.
	manifestMark = "%rattancove document manifest 1\n"
	digestDigits = 64
)

var groupsLine = regexp.MustCompile(`(?m)^groups:[ \t]*(#.*)?$`)

// ErrManifest reports a manifest that cannot be read, or one whose pieces are
// not all there.
var ErrManifest = eris.New("manifest cannot be read")

// Text is the text of a document in pieces, whose concatenation it is. The
// first piece holds what stands before the second part of the groups, the last
// one what stands after the groups. Those between hold whole groups. A text
// that is short or not written one group after the other is one piece.
type Text struct {
	Pieces []Piece
	data   []byte
}

// Piece is a part of a text, named by its digest.
type Piece struct {
	Digest string
	Data   []byte
}

// Split returns the text in pieces. Where it is cut depends on the names of
// the groups at the cuts alone, so that a change elsewhere keeps the other
// pieces. The pieces share memory with data.
func Split(data []byte) Text {
	if len(data) < SplitBytes {
		return newText(data, nil)
	}
	return newText(data, cuts(data))
}

func newText(data []byte, cuts []int) Text {
	t := Text{Pieces: make([]Piece, 0, len(cuts)+1), data: data}
	from := 0
	for _, to := range append(slices.Clone(cuts), len(data)) {
		part := data[from:to:to]
		t.Pieces = append(t.Pieces, Piece{Digest: Digest(part), Data: part})
		from = to
	}
	return t
}

// Whole reports whether the text is one piece.
func (t Text) Whole() bool { return len(t.Pieces) == 1 }

// Manifest returns the object that names the pieces; the text itself when it
// is one piece.
func (t Text) Manifest() []byte {
	if t.Whole() {
		return t.Pieces[0].Data
	}
	var b bytes.Buffer
	b.WriteString(manifestMark)
	for _, p := range t.Pieces {
		raw, _ := hex.DecodeString(p.Digest) // Digest returns hexadecimal digits
		b.Write(raw)
	}
	return b.Bytes()
}

// Bytes returns the whole text.
func (t Text) Bytes() []byte { return t.data }

// ByDigest returns the pieces by their digests.
func (t Text) ByDigest() map[string][]byte {
	pieces := make(map[string][]byte, len(t.Pieces))
	for _, p := range t.Pieces {
		pieces[p.Digest] = p.Data
	}
	return pieces
}

// PieceDigests returns the digests that an object names. The second result is
// false when the object is no manifest.
func PieceDigests(object []byte) ([]string, bool, error) {
	raw, ok := bytes.CutPrefix(object, []byte(manifestMark))
	if !ok {
		return nil, false, nil
	}
	size := hex.DecodedLen(digestDigits)
	if len(raw) == 0 || len(raw)%size != 0 {
		return nil, true, eris.Wrapf(ErrManifest, "%d bytes of digests", len(raw))
	}
	var digests []string
	for part := range slices.Chunk(raw, size) {
		digests = append(digests, hex.EncodeToString(part))
	}
	return digests, true, nil
}

// Join returns the text that a manifest names. Its pieces are taken from
// known by their digests and are checked against them.
func Join(digests []string, known map[string][]byte) ([]byte, error) {
	parts := make([][]byte, len(digests))
	for i, digest := range digests {
		part, ok := known[digest]
		if !ok || Digest(part) != digest {
			return nil, eris.Wrapf(ErrManifest, "piece %s", digest)
		}
		parts[i] = part
	}
	return bytes.Join(parts, nil), nil
}

// cuts returns the places at which a text is cut, or nil when it cannot be cut
// safely. Only groups in block style whose lines stand for themselves are cut.
func cuts(data []byte) []int {
	place := groupsLine.FindIndex(data)
	if place == nil || !linesStandAlone(data[:place[0]]) {
		return nil
	}
	var found []int
	s := splitter{indent: -1}
	at := place[1]
	for at < len(data) {
		at++ // the end of the line before
		line, _, _ := bytes.Cut(data[at:], []byte("\n"))
		switch s.next(string(line)) {
		case lineUnsafe:
			return nil
		case lineCut:
			found = append(found, at)
		case lineEnd:
			return append(found, at)
		case lineInside:
		}
		at += len(line)
	}
	return append(found, len(data))
}

// lineKind is what a line means for the cuts.
type lineKind int

const (
	lineInside lineKind = iota
	// lineCut begins a group before which the text is cut.
	lineCut
	// lineEnd is the first line after the groups.
	lineEnd
	// lineUnsafe is a line whose meaning needs a parser.
	lineUnsafe
)

// splitter reads the lines of the groups.
type splitter struct {
	// indent is that of the first group; -1 before it.
	indent int
}

func (s *splitter) next(line string) lineKind {
	text := strings.TrimLeft(line, " ")
	indent := len(line) - len(text)
	item := strings.HasPrefix(text, "- ")
	switch {
	case text == "" || text[0] == '#':
		return lineInside
	case indent == 0 && !item:
		return endOrUnsafe(text)
	case !standsAlone(text):
		return lineUnsafe
	case s.indent < 0 && !item || indent < s.indent:
		return lineUnsafe
	case s.indent < 0:
		s.indent = indent
		return lineInside
	case item && indent == s.indent && cutBefore(text):
		return lineCut
	default:
		return lineInside
	}
}

// endOrUnsafe tells a top-level key from what else may stand at the margin.
func endOrUnsafe(text string) lineKind {
	if c := text[0]; c >= 'a' && c <= 'z' {
		return lineEnd
	}
	return lineUnsafe
}

// linesStandAlone reports whether every line of a text stands for itself.
func linesStandAlone(data []byte) bool {
	for line := range bytes.Lines(data) {
		if !standsAlone(strings.TrimSpace(string(line))) {
			return false
		}
	}
	return true
}

// standsAlone reports whether no quotes, brackets or block scalar of the line
// go on in the next one.
func standsAlone(text string) bool {
	text = withoutComment(text)
	for _, pair := range []string{"[]", "{}"} {
		if strings.Count(text, pair[:1]) != strings.Count(text, pair[1:]) {
			return false
		}
	}
	return evenQuotes(text) && !strings.ContainsAny(text, "|>\t\r\\")
}

func evenQuotes(text string) bool {
	return strings.Count(text, `"`)%2 == 0 && strings.Count(text, `'`)%2 == 0
}

// withoutComment drops a comment at the end of a line.
func withoutComment(text string) string {
	if strings.HasPrefix(text, "#") {
		return ""
	}
	if before, _, ok := strings.Cut(text, " #"); ok && evenQuotes(before) {
		return before
	}
	return text
}

// cutBefore chooses one in groupsPerPiece groups by its first line.
func cutBefore(line string) bool {
	h := fnv.New32a()
	_, _ = h.Write([]byte(line))
	return h.Sum32()%groupsPerPiece == 0
}
