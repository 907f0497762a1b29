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
	// manifestHeader is the first line of a manifest. No document begins so.
	manifestHeader = "%rattancove document manifest 1\n"
	digestDigits = 64
)

var groupsLine = regexp.MustCompile(`(?m)^groups:[ \t]*(#.*)?$`)

// ErrManifest reports a manifest that cannot be read, or one whose pieces are
// not all there.
var ErrManifest = eris.New("manifest cannot be read")

// SplitText is the text of a document in pieces, whose concatenation it is. The
// first piece holds what stands before the second part of the groups, the last
// one what stands after the groups. Those between hold whole groups. A text
// that is short or not written one group after the other is one piece.
type SplitText struct {
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
func Split(data []byte) SplitText {
	if len(data) < SplitBytes {
		return newText(data, nil)
	}
	return newText(data, cutOffsets(data))
}

func newText(data []byte, cuts []int) SplitText {
	t := SplitText{Pieces: make([]Piece, 0, len(cuts)+1), data: data}
	from := 0
	for _, to := range append(slices.Clone(cuts), len(data)) {
		part := data[from:to:to]
		t.Pieces = append(t.Pieces, Piece{Digest: Digest(part), Data: part})
		from = to
	}
	return t
}

// SinglePiece reports whether the text is one piece.
func (t SplitText) SinglePiece() bool { return len(t.Pieces) == 1 }

// Manifest returns the object that names the pieces; the text itself when it
// is one piece.
func (t SplitText) Manifest() []byte {
	if t.SinglePiece() {
		return t.Pieces[0].Data
	}
	var b bytes.Buffer
	b.WriteString(manifestHeader)
	for _, p := range t.Pieces {
		raw, _ := hex.DecodeString(p.Digest) // Digest returns hexadecimal digits
		b.Write(raw)
	}
	return b.Bytes()
}

// Bytes returns the whole text.
func (t SplitText) Bytes() []byte { return t.data }

// ByDigest returns the pieces by their digests.
func (t SplitText) ByDigest() map[string][]byte {
	pieces := make(map[string][]byte, len(t.Pieces))
	for _, p := range t.Pieces {
		pieces[p.Digest] = p.Data
	}
	return pieces
}

// ParseManifest returns the digests that an object names. The second result is
// false when the object is no manifest.
func ParseManifest(object []byte) ([]string, bool, error) {
	raw, ok := bytes.CutPrefix(object, []byte(manifestHeader))
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

// cutOffsets returns the places at which a text is cut, or nil when it cannot be cut
// safely. Only groups in block style whose lines stand for themselves are cut.
func cutOffsets(data []byte) []int {
	keyLine := groupsLine.FindIndex(data)
	if keyLine == nil || !allSelfContained(data[:keyLine[0]]) {
		return nil
	}
	var offsets []int
	scanner := groupScanner{indent: -1}
	at := keyLine[1]
	for at < len(data) {
		at++ // the end of the line before
		line, _, _ := bytes.Cut(data[at:], []byte("\n"))
		switch scanner.classify(string(line)) {
		case lineUnsafe:
			return nil
		case lineCut:
			offsets = append(offsets, at)
		case lineEnd:
			return append(offsets, at)
		case lineInside:
		}
		at += len(line)
	}
	return append(offsets, len(data))
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

// groupScanner reads the lines of the groups.
type groupScanner struct {
	// indent is that of the first group; -1 before it.
	indent int
}

func (s *groupScanner) classify(line string) lineKind {
	text := strings.TrimLeft(line, " ")
	indent := len(line) - len(text)
	item := strings.HasPrefix(text, "- ")
	switch {
	case text == "" || text[0] == '#':
		return lineInside
	case indent == 0 && !item:
		return classifyTopLevel(text)
	case !selfContained(text):
		return lineUnsafe
	case s.indent < 0 && !item || indent < s.indent:
		return lineUnsafe
	case s.indent < 0:
		s.indent = indent
		return lineInside
	case item && indent == s.indent && startsPiece(text):
		return lineCut
	default:
		return lineInside
	}
}

// classifyTopLevel tells a top-level key from what else may stand at the margin.
func classifyTopLevel(text string) lineKind {
	if c := text[0]; c >= 'a' && c <= 'z' {
		return lineEnd
	}
	return lineUnsafe
}

// allSelfContained reports whether every line of a text stands for itself.
func allSelfContained(data []byte) bool {
	for line := range bytes.Lines(data) {
		if !selfContained(strings.TrimSpace(string(line))) {
			return false
		}
	}
	return true
}

// selfContained reports whether no quotes, brackets or block scalar of the line
// go on in the next one.
func selfContained(text string) bool {
	text = trimComment(text)
	for _, pair := range []string{"[]", "{}"} {
		if strings.Count(text, pair[:1]) != strings.Count(text, pair[1:]) {
			return false
		}
	}
	return quotesBalanced(text) && !strings.ContainsAny(text, "|>\t\r\\")
}

func quotesBalanced(text string) bool {
	return strings.Count(text, `"`)%2 == 0 && strings.Count(text, `'`)%2 == 0
}

// trimComment drops a comment at the end of a line.
func trimComment(text string) string {
	if strings.HasPrefix(text, "#") {
		return ""
	}
	if before, _, ok := strings.Cut(text, " #"); ok && quotesBalanced(before) {
		return before
	}
	return text
}

// startsPiece chooses one in groupsPerPiece groups by its first line.
func startsPiece(line string) bool {
	h := fnv.New32a()
	_, _ = h.Write([]byte(line))
	return h.Sum32()%groupsPerPiece == 0
}
