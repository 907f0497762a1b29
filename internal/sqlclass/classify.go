package sqlclass

import (
	"sync"

	"github.com/rattancove/rattancove/internal/statement"
)

// Kind is the effect of a single statement on the session or transaction.
type Kind uint8

// Kinds of a statement.
const (
	// KindOther is any statement without an effect on the session that matters here.
	KindOther Kind = iota
	// KindRead is a query that changes nothing.
	KindRead
	// KindBegin opens a transaction block.
	KindBegin
	// KindBeginReadOnly opens a read-only transaction block.
	KindBeginReadOnly
	// KindCommit ends a transaction block and keeps its changes.
	KindCommit
	// KindRollback ends a transaction block and discards its changes.
	KindRollback
	// KindSet changes a session setting.
	KindSet
	// KindSetLocal changes a setting for the current transaction.
	KindSetLocal
	// KindReset returns one setting, or all, to its initial value.
	KindReset
	// KindDiscardAll returns the session to its initial state.
	KindDiscardAll
	// KindShow returns the value of a setting.
	KindShow
	// KindDeallocate drops one prepared statement, or all.
	KindDeallocate
	// KindSessionBound depends on one server connection for longer than a
	// transaction.
	KindSessionBound
)

// AllNames is the name in a KindReset or KindDeallocate statement that means
// every setting or prepared statement.
const AllNames = "all"

// Statement is one statement of an SQL text.
type Statement struct {
	Kind Kind
	// Name is the setting or prepared statement that the statement concerns,
	// or the feature that a KindSessionBound statement uses.
	Name string
	// Value is the value of a KindSet statement.
	Value string
	// Default is set when a KindSet statement sets the initial value.
	Default bool
	// Start and End are the byte offsets of the statement in the text, without its
	// semicolon.
	Start, End int
}

// Analysis is the result of the classification of an SQL text.
type Analysis struct {
	Class      statement.Class
	Statements []Statement
	// Hints holds the hints in the leading comment.
	Hints Hints
}

// Single returns the only statement of the text. The second result is false
// when there is none or more than one.
func (a *Analysis) Single() (Statement, bool) {
	if len(a.Statements) != 1 {
		return Statement{}, false
	}
	return a.Statements[0], true
}

// maxTextBytes is the maximum length of a text that is split into tokens. Longer
// text counts as one statement of KindOther, which bounds the memory per text.
const maxTextBytes = 128 << 10

// Analyze classifies sql. It never fails: text that it does not recognise is
// classified as a write.
func Analyze(sql string) Analysis {
	a := Analysis{Hints: leadingHints(sql)}
	if len(sql) > maxTextBytes {
		a.Statements = []Statement{{End: len(sql)}}
		return a
	}
	buffer := tokenBuffers.Get().(*[]token)
	allTokens, complete := tokenize(sql, (*buffer)[:0])
	for _, statementTokens := range splitStatements(sql, allTokens) {
		a.Statements = append(a.Statements, classifyStatement(sql, statementTokens))
	}
	a.Class = classifyText(a.Statements, complete)
	if cap(allTokens) <= maxPooledTokens {
		clear(allTokens)
		*buffer = allTokens
	}
	tokenBuffers.Put(buffer)
	return a
}

// maxPooledTokens is the maximum capacity of a token buffer that is kept for reuse.
const maxPooledTokens = 1024

var tokenBuffers = sync.Pool{New: func() any { return new([]token) }}

func classifyText(statements []Statement, complete bool) statement.Class {
	if complete && len(statements) == 0 {
		return statement.ClassRead
	}
	if !complete || len(statements) != 1 {
		return statement.ClassWrite
	}
	switch statements[0].Kind {
	case KindRead, KindShow, KindSet, KindReset:
		return statement.ClassRead
	case KindBegin:
		return statement.ClassBegin
	case KindBeginReadOnly:
		return statement.ClassBeginReadOnly
	default:
		return statement.ClassWrite
	}
}

// splitStatements splits tokens at semicolons and omits empty statements.
func splitStatements(sql string, tokens []token) [][]token {
	l := lexer{sql: sql}
	var statements [][]token
	start := 0
	for i, t := range tokens {
		if l.symbol(t) != ';' {
			continue
		}
		if i > start {
			statements = append(statements, tokens[start:i])
		}
		start = i + 1
	}
	if start < len(tokens) {
		statements = append(statements, tokens[start:])
	}
	return statements
}

func classifyStatement(sql string, tokens []token) Statement {
	p := parser{sql: sql, tokens: tokens}
	s := p.classify()
	s.Start = tokens[0].start
	s.End = tokens[len(tokens)-1].end
	return s
}

// parser classifies one statement by its tokens.
type parser struct {
	sql    string
	tokens []token
}

func (p *parser) classify() Statement {
	if lock := p.sessionLockFunction(); lock != "" {
		return Statement{Kind: KindSessionBound, Name: lock}
	}
	first := p.at(0)
	if first.kind != tokenWord {
		return Statement{}
	}
	switch first.word {
	case "select", "values", "table", "with":
		if p.isReadOnly() {
			return Statement{Kind: KindRead}
		}
		return Statement{}
	case "begin":
		return Statement{Kind: p.beginKind()}
	case "start":
		if p.at(1).isWord("transaction") {
			return Statement{Kind: p.beginKind()}
		}
		return Statement{}
	case "commit", "end":
		return p.endOfTransaction(KindCommit)
	case "rollback", "abort":
		return p.endOfTransaction(KindRollback)
	default:
		return p.classifySession(first.word)
	}
}

// hasWriteWord reports whether any word after the first is one of writeWords.
func (p *parser) hasWriteWord() bool {
	for i, t := range p.tokens {
		if i > 0 && t.kind == tokenWord && contains(writeWords, t.word) {
			return true
		}
	}
	return false
}

// endOfTransaction recognises COMMIT and ROLLBACK. Forms with a savepoint, AND CHAIN
// or the name of a prepared transaction are KindOther.
func (p *parser) endOfTransaction(kind Kind) Statement {
	for i := 1; i < len(p.tokens); i++ {
		if t := p.at(i); !t.isWord("work") && !t.isWord("transaction") {
			return Statement{}
		}
	}
	return Statement{Kind: kind}
}

func (p *parser) beginKind() Kind {
	kind := KindBegin
	for i := 1; i < len(p.tokens); i++ {
		if p.at(i).isWord("write") {
			return KindBegin
		}
		if p.at(i).isWord("only") && p.at(i-1).isWord("read") {
			kind = KindBeginReadOnly
		}
	}
	return kind
}

// isReadOnly reports whether no token of a query can change anything.
func (p *parser) isReadOnly() bool {
	for i, t := range p.tokens {
		if t.kind == tokenInvalid {
			return false
		}
		if t.kind == tokenWord && contains(writeWords, t.word) {
			return false
		}
		if p.symbol(i) == '(' && !p.isSafeParenthesis(i) {
			return false
		}
	}
	return true
}

// isSafeParenthesis reports whether the opening parenthesis at i does not call a
// function, or calls one of readFunctions.
func (p *parser) isSafeParenthesis(i int) bool {
	if i == 0 {
		return true
	}
	previous := p.at(i - 1)
	switch previous.kind {
	case tokenQuotedIdentifier, tokenString, tokenInvalid:
		return false
	case tokenWord:
		if p.symbol(i-2) == '.' {
			return p.at(i-3).isWord("pg_catalog") && contains(readFunctions, previous.word)
		}
		return contains(readFunctions, previous.word) || contains(nonFunctionWords, previous.word)
	default:
		return true
	}
}

func (p *parser) sessionLockFunction() string {
	for i, t := range p.tokens {
		if t.kind == tokenWord && contains(sessionLockFunctions, t.word) && p.symbol(i+1) == '(' {
			return t.word
		}
	}
	return ""
}

// at returns the token at i, or a tokenEnd if i is outside the statement.
func (p *parser) at(i int) token {
	if i < 0 || i >= len(p.tokens) {
		return token{}
	}
	return p.tokens[i]
}

func (p *parser) symbol(i int) byte {
	t := p.at(i)
	if t.kind != tokenSymbol {
		return 0
	}
	return p.sql[t.start]
}

func (p *parser) text(t token) string { return p.sql[t.start:t.end] }
