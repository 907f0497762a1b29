package sqlclass

import (
	"net/url"
	"strings"
)

// HintPrefix starts the keys that concern this system in a comment, a
// start-up parameter or SET.
const HintPrefix = "rattancove."

// Hint is one key and value of a comment. The key has no prefix.
type Hint struct {
	Key   string
	Value string
}

// Hints is what a leading comment in the sqlcommenter form says.
type Hints struct {
	// TraceParent is the W3C trace context.
	TraceParent string
	// Keys holds the keys with HintPrefix, in their order.
	Keys []Hint
	// Malformed is set when a comment with HintPrefix cannot be read.
	Malformed bool
}

// leadingHints reads the block comment before the first token of sql.
func leadingHints(sql string) Hints {
	sql = strings.TrimLeft(sql, " \t\r\n\f\v")
	if !strings.HasPrefix(sql, "/*") {
		return Hints{}
	}
	end := blockCommentEnd(sql)
	if end < 0 {
		return Hints{}
	}
	return parseHints(sql[2 : end-2])
}

func parseHints(comment string) Hints {
	var h Hints
	for pair := range strings.SplitSeq(comment, ",") {
		key, value, ok := parsePair(pair)
		switch {
		case !ok:
			h.Malformed = h.Malformed || strings.Contains(pair, HintPrefix)
		case key == "traceparent":
			h.TraceParent = value
		case strings.HasPrefix(key, HintPrefix):
			h.Keys = append(h.Keys, Hint{Key: strings.TrimPrefix(key, HintPrefix), Value: value})
		}
	}
	return h
}

// parsePair reads key='value' with both sides URL-encoded.
func parsePair(pair string) (key, value string, ok bool) {
	key, value, ok = strings.Cut(strings.TrimSpace(pair), "=")
	if !ok || len(value) < 2 || value[0] != '\'' || value[len(value)-1] != '\'' {
		return "", "", false
	}
	key, err := url.PathUnescape(strings.TrimSpace(key))
	if err != nil {
		return "", "", false
	}
	value, err = url.PathUnescape(strings.ReplaceAll(value[1:len(value)-1], `\'`, `'`))
	if err != nil {
		return "", "", false
	}
	return key, value, true
}
