package sqlclass

import "strings"

type tokenKind uint8

const (
	tokenEnd tokenKind = iota
	tokenWord
	tokenQuotedIdentifier
	tokenString
	tokenNumber
	tokenParameter
	tokenSymbol
	// tokenInvalid marks text that the lexer cannot delimit, such as an
	// unterminated string.
	tokenInvalid
)

// token is one lexical element. Its text is the raw SQL between start and end.
type token struct {
	kind  tokenKind
	start int
	end   int
	// word is the lower-case form of a tokenWord.
	word string
}

func (t token) isWord(word string) bool { return t.kind == tokenWord && t.word == word }

// lexer splits SQL text into tokens and skips white space and comments.
type lexer struct {
	sql string
	pos int
}

func (l *lexer) next() token {
	if !l.skipSpaceAndComments() {
		l.pos = len(l.sql)
		return token{kind: tokenInvalid, start: l.pos, end: l.pos}
	}
	start := l.pos
	if start >= len(l.sql) {
		return token{kind: tokenEnd, start: start, end: start}
	}
	kind := l.scan()
	t := token{kind: kind, start: start, end: l.pos}
	if kind == tokenWord {
		t.word = strings.ToLower(l.sql[start:l.pos])
	}
	return t
}

func (l *lexer) scan() tokenKind {
	c := l.sql[l.pos]
	switch {
	case c == '\'':
		return l.scanString(false)
	case c == '"':
		return l.scanQuotedIdentifier()
	case c == '$':
		return l.scanDollar()
	case isDigit(c):
		return l.scanNumber()
	case isWordStart(c):
		return l.scanWord()
	default:
		l.pos++
		return tokenSymbol
	}
}

// skipSpaceAndComments skips white space and comments. It returns false for an
// unterminated comment.
func (l *lexer) skipSpaceAndComments() bool {
	for l.pos < len(l.sql) {
		rest := l.sql[l.pos:]
		switch {
		case isSpace(rest[0]):
			l.pos++
		case strings.HasPrefix(rest, "--"):
			l.skipLineComment()
		case strings.HasPrefix(rest, "/*"):
			end := blockCommentEnd(rest)
			if end < 0 {
				return false
			}
			l.pos += end
		default:
			return true
		}
	}
	return true
}

func (l *lexer) skipLineComment() {
	end := strings.IndexAny(l.sql[l.pos:], "\r\n")
	if end < 0 {
		l.pos = len(l.sql)
		return
	}
	l.pos += end
}

// blockCommentEnd returns the length of the block comment at the start of s, with
// the comments nested in it, or -1 if it is unterminated.
func blockCommentEnd(s string) int {
	depth := 0
	for i := 0; i+1 < len(s); {
		switch s[i : i+2] {
		case "/*":
			depth++
			i += 2
		case "*/":
			depth--
			i += 2
			if depth == 0 {
				return i
			}
		default:
			i++
		}
	}
	return -1
}

// scanString scans a quoted string at the current position. A backslash in a
// string without the E prefix makes the token invalid, because its meaning
// depends on the setting standard_conforming_strings.
func (l *lexer) scanString(escapes bool) tokenKind {
	kind := tokenString
	for i := l.pos + 1; i < len(l.sql); i++ {
		switch l.sql[i] {
		case '\\':
			if !escapes {
				kind = tokenInvalid
				continue
			}
			i++
		case '\'':
			if i+1 < len(l.sql) && l.sql[i+1] == '\'' {
				i++
				continue
			}
			l.pos = i + 1
			return kind
		}
	}
	l.pos = len(l.sql)
	return tokenInvalid
}

func (l *lexer) scanQuotedIdentifier() tokenKind {
	for i := l.pos + 1; i < len(l.sql); i++ {
		if l.sql[i] != '"' {
			continue
		}
		if i+1 < len(l.sql) && l.sql[i+1] == '"' {
			i++
			continue
		}
		l.pos = i + 1
		return tokenQuotedIdentifier
	}
	l.pos = len(l.sql)
	return tokenInvalid
}

// scanDollar scans a parameter such as $1 or a dollar-quoted string.
func (l *lexer) scanDollar() tokenKind {
	rest := l.sql[l.pos:]
	if len(rest) > 1 && isDigit(rest[1]) {
		l.pos++
		if l.scanNumber() == tokenInvalid {
			return tokenInvalid
		}
		return tokenParameter
	}
	tagEnd := strings.IndexByte(rest[1:], '$')
	if tagEnd < 0 || !isDollarTag(rest[1:1+tagEnd]) {
		l.pos++
		return tokenInvalid
	}
	tag := rest[:tagEnd+2]
	end := strings.Index(rest[len(tag):], tag)
	if end < 0 {
		l.pos = len(l.sql)
		return tokenInvalid
	}
	l.pos += len(tag) + end + len(tag)
	return tokenString
}

// scanNumber scans a number. A number that is directly followed by a word is
// invalid, because servers differ in whether the word is a token of its own.
func (l *lexer) scanNumber() tokenKind {
	l.skipDigits()
	if l.atExponent() {
		l.pos += 2
		l.skipDigits()
	}
	if l.pos >= len(l.sql) || !isWordStart(l.sql[l.pos]) {
		return tokenNumber
	}
	for l.pos < len(l.sql) && isWordPart(l.sql[l.pos]) {
		l.pos++
	}
	return tokenInvalid
}

func (l *lexer) skipDigits() {
	for l.pos < len(l.sql) && (isDigit(l.sql[l.pos]) || l.sql[l.pos] == '.') {
		l.pos++
	}
}

// atExponent reports whether an exponent, with or without a sign and with at least
// one digit, starts at the current position.
func (l *lexer) atExponent() bool {
	rest := l.sql[l.pos:]
	if len(rest) < 2 || rest[0]|0x20 != 'e' {
		return false
	}
	if isDigit(rest[1]) {
		return true
	}
	return len(rest) > 2 && (rest[1] == '+' || rest[1] == '-') && isDigit(rest[2])
}

func (l *lexer) scanWord() tokenKind {
	start := l.pos
	for l.pos < len(l.sql) && (isWordPart(l.sql[l.pos]) || l.sql[l.pos] == '$') {
		l.pos++
	}
	if l.pos >= len(l.sql) || l.sql[l.pos] != '\'' {
		return tokenWord
	}
	switch strings.ToLower(l.sql[start:l.pos]) {
	case "e":
		return l.scanString(true)
	case "b", "x", "n":
		return l.scanString(false)
	default:
		return tokenWord
	}
}

func isSpace(c byte) bool {
	return c == ' ' || c == '\t' || c == '\n' || c == '\r' || c == '\f' || c == '\v'
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

func isWordStart(c byte) bool {
	return c == '_' || c >= 0x80 || (c|0x20 >= 'a' && c|0x20 <= 'z')
}

func isWordPart(c byte) bool { return isWordStart(c) || isDigit(c) }

func isDollarTag(s string) bool {
	for i := range len(s) {
		if !isWordPart(s[i]) {
			return false
		}
	}
	return true
}

// symbol returns the character of a symbol token, or zero for other tokens.
func (l *lexer) symbol(t token) byte {
	if t.kind != tokenSymbol {
		return 0
	}
	return l.sql[t.start]
}

// tokenize appends the tokens of sql, without the tokenEnd, to result. The second
// result is false when some of the text cannot be delimited.
func tokenize(sql string, result []token) ([]token, bool) {
	l := lexer{sql: sql}
	complete := true
	for {
		t := l.next()
		switch t.kind {
		case tokenEnd:
			return result, complete
		case tokenInvalid:
			complete = false
			if t.start >= len(sql) {
				return result, complete
			}
		}
		result = append(result, t)
	}
}
