package sqlclass

import (
	"net/url"
	"strings"
)

// HintPrefix is the prefix of this system's keys in comments, start-up parameters
// and SET statements.
const HintPrefix = "rattancove."

// Hint is one key and value in a comment, with the key's HintPrefix removed.
type Hint struct {
	Key   string
	Value string
}

// Hints holds the contents of a leading comment in the sqlcommenter format.
type Hints struct {
	// TraceParent is the traceparent value of the W3C trace context.
	TraceParent string
	// Keys holds the hints whose keys have HintPrefix, in the order of the comment.
	Keys []Hint
	// Malformed is set when a pair that contains HintPrefix cannot be parsed.
	Malformed bool
}

// leadingHints parses the block comment before the first token of sql.
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

// parsePair parses key='value', with both sides URL-encoded.
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
