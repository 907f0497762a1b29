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
	// SplitBytes is the size in bytes from which a document is stored in pieces.
	SplitBytes = 64 << 10
	// groupsPerPiece is the mean number of groups per piece. It balances the size of
	// the manifest against the size of the piece that is transferred for a change.
	groupsPerPiece = 20
	// manifestHeader is the first line of a manifest. No valid document begins with it.
	manifestHeader = "%rattancove document manifest 1\n"
	// digestDigits is the length of a digest in hexadecimal digits.
	digestDigits = 64
)

var groupsLine = regexp.MustCompile(`(?m)^groups:[ \t]*(#.*)?$`)

// ErrManifest reports a manifest that is malformed, or whose pieces are missing or
// corrupt.
var ErrManifest = eris.New("manifest cannot be read")

// SplitText is the text of a document, divided into content-defined pieces whose
// concatenation it is. The first piece holds everything up to the first cut among
// the groups, the last one everything after the groups, and those between them
// whole groups. A text that is short, or whose groups cannot be separated by
// looking at single lines, is one piece.
type SplitText struct {
	Pieces []Piece
	data   []byte
}

// Piece is a part of a text, identified by its digest.
type Piece struct {
	Digest string
	Data   []byte
}

// Split divides a text into pieces. Each cut depends only on the first line of the
// group after it, so that a change leaves all other pieces as they were. The pieces
// share memory with data.
func Split(data []byte) SplitText {
	if len(data) < SplitBytes {
		return newSplitText(data, nil)
	}
	return newSplitText(data, cutOffsets(data))
}

func newSplitText(data []byte, cuts []int) SplitText {
	t := SplitText{Pieces: make([]Piece, 0, len(cuts)+1), data: data}
	from := 0
	for _, to := range append(slices.Clone(cuts), len(data)) {
		part := data[from:to:to]
		t.Pieces = append(t.Pieces, Piece{Digest: Digest(part), Data: part})
		from = to
	}
	return t
}

// SinglePiece reports whether the text has not been divided.
func (t SplitText) SinglePiece() bool { return len(t.Pieces) == 1 }

// Manifest returns the object to store for the text: the list of the digests of its
// pieces, or the text itself when it is a single piece.
func (t SplitText) Manifest() []byte {
	if t.SinglePiece() {
		return t.Pieces[0].Data
	}
	var b bytes.Buffer
	b.WriteString(manifestHeader)
	for _, p := range t.Pieces {
		raw, _ := hex.DecodeString(p.Digest) // cannot fail: Digest returns hexadecimal digits
		b.Write(raw)
	}
	return b.Bytes()
}

// Bytes returns the undivided text.
func (t SplitText) Bytes() []byte { return t.data }

// ByDigest returns the contents of the pieces by digest.
func (t SplitText) ByDigest() map[string][]byte {
	pieces := make(map[string][]byte, len(t.Pieces))
	for _, p := range t.Pieces {
		pieces[p.Digest] = p.Data
	}
	return pieces
}

// ParseManifest returns the digests listed in a stored object. The second result is
// false when the object is not a manifest.
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

// Join assembles a text from the pieces in known, which are verified against the
// digests.
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

// cutOffsets returns the offsets at which a text is cut, or nil when it cannot be
// cut safely. Only groups in block style are cut, and only if no YAML construct in
// them or before them continues over several lines.
func cutOffsets(data []byte) []int {
	keyLine := groupsLine.FindIndex(data)
	if keyLine == nil || !allSelfContained(data[:keyLine[0]]) {
		return nil
	}
	var offsets []int
	scanner := groupScanner{indent: -1}
	at := keyLine[1]
	for at < len(data) {
		at++ // skip the newline of the previous line
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

// lineKind classifies a line among the groups.
type lineKind int

const (
	lineInside lineKind = iota
	// lineCut is the first line of a group before which the text is cut.
	lineCut
	// lineEnd is the first line after the groups.
	lineEnd
	// lineUnsafe is a line that only a YAML parser can interpret.
	lineUnsafe
)

// groupScanner classifies the lines of the list of groups.
type groupScanner struct {
	// indent is the indentation of the list items; -1 before the first one.
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

// classifyTopLevel distinguishes a top-level key, which ends the groups, from other
// lines without indentation.
func classifyTopLevel(text string) lineKind {
	if c := text[0]; c >= 'a' && c <= 'z' {
		return lineEnd
	}
	return lineUnsafe
}

// allSelfContained reports whether every line of a text is self-contained.
func allSelfContained(data []byte) bool {
	for line := range bytes.Lines(data) {
		if !selfContained(strings.TrimSpace(string(line))) {
			return false
		}
	}
	return true
}

// selfContained reports whether no quoted string, flow collection or block scalar of
// the line continues on the next one.
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

// trimComment removes a comment at the end of a line.
func trimComment(text string) string {
	if strings.HasPrefix(text, "#") {
		return ""
	}
	if before, _, ok := strings.Cut(text, " #"); ok && quotesBalanced(before) {
		return before
	}
	return text
}

// startsPiece reports whether a piece begins at a group. It selects one in
// groupsPerPiece groups by a hash of the first line.
func startsPiece(line string) bool {
	h := fnv.New32a()
	_, _ = h.Write([]byte(line))
	return h.Sum32()%groupsPerPiece == 0
}
