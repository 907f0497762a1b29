package back

import (
	"crypto/sha256"
	"encoding/hex"
	"hash"
	"regexp"

	"github.com/rattancove/rattancove/internal/statement"
)

// commentPattern matches comments, which may carry trace contexts and differ
// between a request and its repeat.
var commentPattern = regexp.MustCompile(`(?s)/\*.*?\*/`)

// addToDigest adds what the batch runs, without comments, to h, or to a new
// digest when h is nil. A batch that only prepares and describes adds nothing,
// because a repeat may find its statements prepared.
func addToDigest(h hash.Hash, b *statement.Batch) hash.Hash {
	if h == nil {
		h = sha256.New()
	}
	if !executes(b.Messages) {
		return h
	}
	for _, p := range b.Prepared {
		addFrames(h, p.Parse)
	}
	addFrames(h, b.Messages)
	return h
}

func executes(messages []byte) bool {
	for kind := range frames(messages) {
		if kind == 'Q' || kind == 'E' {
			return true
		}
	}
	return false
}

// addFrames adds the messages that bear on what runs.
func addFrames(h hash.Hash, messages []byte) {
	for kind, body := range frames(messages) {
		switch kind {
		case 'Q', 'P', 'B', 'E', 'F':
			_, _ = h.Write([]byte{kind})
			_, _ = h.Write(commentPattern.ReplaceAll(body, nil))
		}
	}
}

func digestText(h hash.Hash) string { return hex.EncodeToString(h.Sum(nil)) }
