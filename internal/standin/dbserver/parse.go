package dbserver

import (
	"regexp"
	"strconv"
	"strings"
	"time"
)

// kind tells how the server treats a statement.
type kind uint8

const (
	kindRead kind = iota
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

// parsed is one statement in the form that the engine runs.
type parsed struct {
	text string
	kind kind
	tag  string
	// words are the first words in upper case.
	words []string
	// params is the number of the highest parameter.
	params int
	// work is the text of the requested execution time: a number or $n.
	work     string
	workUnit time.Duration
	// function and arguments of a call of the control protocol.
	function string
	args     []string
}

var (
	workPattern     = regexp.MustCompile(`(?i)\brattan_work\(\s*([\d.]+|[?]\d+)`)
	sleepPattern    = regexp.MustCompile(`(?i)\bpg_sleep\(\s*([\d.]+|[?]\d+)`)
	functionPattern = regexp.MustCompile(`(?is)^SELECT\s+(?:\*\s+FROM\s+)?(rattan_\w+)\s*\((.*)\)$`)
	forPattern      = regexp.MustCompile(`(?i)\s+FOR\s+(UPDATE|SHARE|NO\s+KEY\s+UPDATE)(\s+(NOWAIT|SKIP\s+LOCKED))?`)
	writePattern    = regexp.MustCompile(`(?i)\b(INSERT|UPDATE|DELETE)\b`)
	serialPattern   = regexp.MustCompile(`(?i)\b(BIG)?SERIAL\s+PRIMARY\s+KEY`)
	nowPattern      = regexp.MustCompile(`(?i)\b(now\(\)|current_timestamp)`)
	rowsPattern     = regexp.MustCompile(`(?i)^\s*(SELECT|VALUES|WITH|EXPLAIN|PRAGMA)\b|\bRETURNING\b`)
)

// returnsRows reports whether text answers rows.
func returnsRows(text string) bool { return rowsPattern.MatchString(text) }

// parse splits a query string into statements.
func parse(query string) []parsed {
	var out []parsed
	for _, text := range split(query) {
		out = append(out, classify(text))
	}
	return out
}

func classify(text string) parsed {
	words := strings.Fields(strings.ToUpper(text))
	p := parsed{text: text, words: words, tag: words[0], params: countParams(text)}
	p.kind = kindOf(words, text)
	switch p.kind {
	case kindRead:
		p.tag = "SELECT"
		classifyRead(&p)
	case kindWrite:
		p.text = nowPattern.ReplaceAllString(p.text, "'"+time.Now().UTC().Format(time.RFC3339Nano)+"'")
		p.text = serialPattern.ReplaceAllString(p.text, "INTEGER PRIMARY KEY")
		p.tag = writeTag(words)
		if words[0] == "TRUNCATE" {
			p.text = "DELETE FROM " + strings.TrimPrefix(strings.Join(strings.Fields(text)[1:], " "), "TABLE ")
		}
	}
	if m := workPattern.FindStringSubmatch(p.text); m != nil {
		p.work, p.workUnit = m[1], time.Millisecond
	}
	if m := sleepPattern.FindStringSubmatch(p.text); m != nil {
		p.work, p.workUnit = m[1], time.Second
	}
	return p
}

func classifyRead(p *parsed) {
	if forPattern.MatchString(p.text) {
		p.text = forPattern.ReplaceAllString(p.text, "")
		p.kind = kindWrite
		return
	}
	m := functionPattern.FindStringSubmatch(p.text)
	if m == nil || strings.EqualFold(m[1], "rattan_work") {
		return
	}
	p.kind, p.function = kindFunction, strings.ToLower(m[1])
	for _, a := range strings.Split(m[2], ",") {
		if a = strings.TrimSpace(a); a != "" {
			p.args = append(p.args, strings.Trim(a, "'"))
		}
	}
}

var kindOfWord = map[string]kind{
	"SELECT": kindRead, "VALUES": kindRead, "EXPLAIN": kindRead,
	"BEGIN": kindBegin, "START": kindBegin, "COMMIT": kindCommit, "END": kindCommit,
	"ROLLBACK": kindRollback, "ABORT": kindRollback, "SAVEPOINT": kindSavepoint, "RELEASE": kindSavepoint,
	"SET": kindSet, "RESET": kindReset, "SHOW": kindShow, "DISCARD": kindDiscard, "COPY": kindCopy,
	"DEALLOCATE": kindEmpty, "": kindEmpty,
}

func kindOf(words []string, text string) kind {
	if words[0] == "WITH" && !writePattern.MatchString(text) {
		return kindRead
	}
	if words[0] == "ROLLBACK" && len(words) > 1 && words[1] == "TO" {
		return kindSavepoint
	}
	if k, ok := kindOfWord[words[0]]; ok {
		return k
	}
	return kindWrite
}

func writeTag(words []string) string {
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

func countParams(text string) int {
	highest := 0
	for _, m := range paramPattern.FindAllStringSubmatch(text, -1) {
		n, _ := strconv.Atoi(m[1])
		highest = max(highest, n)
	}
	return highest
}

// workTime returns how long the statement is to take.
func (p *parsed) workTime(args []value) time.Duration {
	if p.work == "" {
		return 0
	}
	text := p.work
	if ref, ok := strings.CutPrefix(text, "?"); ok {
		n, _ := strconv.Atoi(ref)
		if n < 1 || n > len(args) {
			return 0
		}
		text = args[n-1].String()
	}
	amount, _ := strconv.ParseFloat(text, 64)
	return time.Duration(amount * float64(p.workUnit))
}
