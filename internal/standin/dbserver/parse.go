package dbserver

import (
	"regexp"
	"strconv"
	"strings"
	"time"
)

// statementKind determines how the server executes a statement.
type statementKind uint8

const (
	kindRead statementKind = iota
	kindWrite
	kindBegin
	kindCommit
	kindRollback
	kindSavepoint
	kindSet
	kindReset
	kindShow
	kindDiscard
	kindCopy
	kindFunction
	kindEmpty
)

// parsedStatement is a statement, rewritten for the engine.
type parsedStatement struct {
	text       string
	kind       statementKind
	commandTag string
	// words are the words of the statement in upper case.
	words []string
	// paramCount is the highest parameter number.
	paramCount int
	// execTime is the requested execution time in execTimeUnit: a number or a
	// parameter ?n.
	execTime     string
	execTimeUnit time.Duration
	// controlFunction and controlArgs are a call of the control protocol.
	controlFunction string
	controlArgs     []string
}

var (
	rattanWorkPattern      = regexp.MustCompile(`(?i)\brattan_work\(\s*([\d.]+|[?]\d+)`)
	pgSleepPattern         = regexp.MustCompile(`(?i)\bpg_sleep\(\s*([\d.]+|[?]\d+)`)
	controlFunctionPattern = regexp.MustCompile(`(?is)^SELECT\s+(?:\*\s+FROM\s+)?(rattan_\w+)\s*\((.*)\)$`)
	lockingClausePattern   = regexp.MustCompile(`(?i)\s+FOR\s+(UPDATE|SHARE|NO\s+KEY\s+UPDATE)(\s+(NOWAIT|SKIP\s+LOCKED))?`)
	writePattern           = regexp.MustCompile(`(?i)\b(INSERT|UPDATE|DELETE)\b`)
	serialPattern          = regexp.MustCompile(`(?i)\b(BIG)?SERIAL\s+PRIMARY\s+KEY`)
	nowPattern             = regexp.MustCompile(`(?i)\b(now\(\)|current_timestamp)`)
	returnsRowsPattern     = regexp.MustCompile(`(?i)^\s*(SELECT|VALUES|WITH|EXPLAIN|PRAGMA)\b|\bRETURNING\b`)
)

// returnsRows reports whether the statement returns rows.
func returnsRows(text string) bool { return returnsRowsPattern.MatchString(text) }

// parse splits a query string into statements and classifies them.
func parse(query string) []parsedStatement {
	var out []parsedStatement
	for _, text := range splitStatements(query) {
		out = append(out, classify(text))
	}
	return out
}

func classify(text string) parsedStatement {
	words := strings.Fields(strings.ToUpper(text))
	p := parsedStatement{text: text, words: words, commandTag: words[0], paramCount: highestParam(text)}
	p.kind = classifyKind(words, text)
	switch p.kind {
	case kindRead:
		p.commandTag = "SELECT"
		classifyRead(&p)
	case kindWrite:
		p.text = nowPattern.ReplaceAllString(p.text, "'"+time.Now().UTC().Format(time.RFC3339Nano)+"'")
		p.text = serialPattern.ReplaceAllString(p.text, "INTEGER PRIMARY KEY")
		p.commandTag = writeCommandTag(words)
		if words[0] == "TRUNCATE" {
			p.text = "DELETE FROM " + strings.TrimPrefix(strings.Join(strings.Fields(text)[1:], " "), "TABLE ")
		}
	}
	if m := rattanWorkPattern.FindStringSubmatch(p.text); m != nil {
		p.execTime, p.execTimeUnit = m[1], time.Millisecond
	}
	if m := pgSleepPattern.FindStringSubmatch(p.text); m != nil {
		p.execTime, p.execTimeUnit = m[1], time.Second
	}
	return p
}

func classifyRead(p *parsedStatement) {
	if lockingClausePattern.MatchString(p.text) {
		p.text = lockingClausePattern.ReplaceAllString(p.text, "")
		p.kind = kindWrite
		return
	}
	m := controlFunctionPattern.FindStringSubmatch(p.text)
	if m == nil || strings.EqualFold(m[1], "rattan_work") {
		return
	}
	p.kind, p.controlFunction = kindFunction, strings.ToLower(m[1])
	for _, a := range strings.Split(m[2], ",") {
		if a = strings.TrimSpace(a); a != "" {
			p.controlArgs = append(p.controlArgs, strings.Trim(a, "'"))
		}
	}
}

var kindByKeyword = map[string]statementKind{
	"SELECT": kindRead, "VALUES": kindRead, "EXPLAIN": kindRead,
	"BEGIN": kindBegin, "START": kindBegin, "COMMIT": kindCommit, "END": kindCommit,
	"ROLLBACK": kindRollback, "ABORT": kindRollback, "SAVEPOINT": kindSavepoint, "RELEASE": kindSavepoint,
	"SET": kindSet, "RESET": kindReset, "SHOW": kindShow, "DISCARD": kindDiscard, "COPY": kindCopy,
	"DEALLOCATE": kindEmpty, "": kindEmpty,
}

func classifyKind(words []string, text string) statementKind {
	if words[0] == "WITH" && !writePattern.MatchString(text) {
		return kindRead
	}
	if words[0] == "ROLLBACK" && len(words) > 1 && words[1] == "TO" {
		return kindSavepoint
	}
	if k, ok := kindByKeyword[words[0]]; ok {
		return k
	}
	return kindWrite
}

func writeCommandTag(words []string) string {
	switch words[0] {
	case "CREATE", "DROP", "ALTER":
		if len(words) > 1 {
			return words[0] + " " + words[1]
		}
	case "TRUNCATE":
		return "TRUNCATE TABLE"
	case "WITH":
		for _, w := range words {
			if writePattern.MatchString(w) {
				return w
			}
		}
	}
	return words[0]
}

var paramPattern = regexp.MustCompile(`\?(\d+)`)

func highestParam(text string) int {
	highest := 0
	for _, m := range paramPattern.FindAllStringSubmatch(text, -1) {
		n, _ := strconv.Atoi(m[1])
		highest = max(highest, n)
	}
	return highest
}

// executionTime returns the simulated execution time of the statement; the
// default is 0.
func (p *parsedStatement) executionTime(args []value) time.Duration {
	if p.execTime == "" {
		return 0
	}
	text := p.execTime
	if ref, ok := strings.CutPrefix(text, "?"); ok {
		n, _ := strconv.Atoi(ref)
		if n < 1 || n > len(args) {
			return 0
		}
		text = args[n-1].String()
	}
	amount, _ := strconv.ParseFloat(text, 64)
	return time.Duration(amount * float64(p.execTimeUnit))
}
