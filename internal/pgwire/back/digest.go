package back

import (
	"crypto/sha256"
	"encoding/hex"
	"hash"
	"regexp"

	"github.com/rattancove/rattancove/internal/statement"
)

// commentPattern matches comments, which may carry trace contexts and therefore
// differ between a request and its retry.
var commentPattern = regexp.MustCompile(`(?s)/\*.*?\*/`)

// addToDigest adds the executed messages of the batch, without comments, to h, or
// to a new digest if h is nil. A batch that only prepares and describes adds
// nothing, because a retry may find its statements already prepared.
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

// addFrames adds the messages that determine what is executed.
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
