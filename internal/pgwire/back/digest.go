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

// addToDigest adds what the batch asks for, without comments, to h, or to a
// new digest when h is nil.
func addToDigest(h hash.Hash, b *statement.Batch) hash.Hash {
	if h == nil {
		h = sha256.New()
	}
	for _, p := range b.Prepared {
		addFrames(h, p.Parse)
	}
	addFrames(h, b.Messages)
	return h
}

func addFrames(h hash.Hash, messages []byte) {
	for kind, body := range frames(messages) {
		_, _ = h.Write([]byte{kind})
		_, _ = h.Write(commentPattern.ReplaceAll(body, nil))
	}
}

func digestText(h hash.Hash) string { return hex.EncodeToString(h.Sum(nil)) }
