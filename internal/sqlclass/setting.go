package sqlclass

import "strings"

// classifySession recognises statements that affect the session.
func (p *parser) classifySession(word string) Statement {
	switch word {
	case "set":
		if s := p.classifySet(); s.Kind != KindOther && !p.hasWriteWord() {
			return s
		}
		return Statement{Kind: KindSessionBound, Name: "this form of SET"}
	case "reset":
		return p.classifyReset()
	case "show":
		return p.classifyShow()
	case "discard":
		if p.at(1).isWord("all") {
			return Statement{Kind: KindDiscardAll}
		}
		return Statement{Kind: KindSessionBound, Name: "DISCARD"}
	case "deallocate":
		return p.classifyDeallocate()
	case "listen", "unlisten", "prepare", "load":
		return p.classifySessionBound(word)
	case "declare":
		return p.classifyDeclare()
	case "create":
		return p.classifyCreate()
	default:
		return Statement{}
	}
}

func (p *parser) classifySessionBound(word string) Statement {
	if word == "prepare" && p.at(1).isWord("transaction") {
		return Statement{}
	}
	return Statement{Kind: KindSessionBound, Name: strings.ToUpper(word)}
}

func (p *parser) classifyDeclare() Statement {
	for i := range p.tokens {
		if p.at(i).isWord("with") && p.at(i+1).isWord("hold") {
			return Statement{Kind: KindSessionBound, Name: "WITH HOLD"}
		}
	}
	return Statement{}
}

// classifyCreate recognises the creation of temporary objects that outlive their
// transaction.
func (p *parser) classifyCreate() Statement {
	temporary := false
	for i := 1; i < len(p.tokens) && i <= 4; i++ {
		t := p.at(i)
		temporary = temporary || t.isWord("temp") || t.isWord("temporary")
	}
	if !temporary || p.dropsOnCommit() {
		return Statement{}
	}
	return Statement{Kind: KindSessionBound, Name: "temporary object"}
}

func (p *parser) dropsOnCommit() bool {
	for i := range p.tokens {
		if p.at(i).isWord("on") && p.at(i+1).isWord("commit") && p.at(i+2).isWord("drop") {
			return true
		}
	}
	return false
}

func (p *parser) classifyDeallocate() Statement {
	i := 1
	if p.at(i).isWord("prepare") && len(p.tokens) > 2 {
		i++
	}
	name, next := p.parseName(i)
	if name == "" || next != len(p.tokens) {
		return Statement{}
	}
	return Statement{Kind: KindDeallocate, Name: name}
}

func (p *parser) classifyReset() Statement {
	if p.hasWriteWord() {
		return Statement{}
	}
	if p.at(1).isWord("time") && p.at(2).isWord("zone") {
		return Statement{Kind: KindReset, Name: "timezone"}
	}
	if p.at(1).isWord("session") {
		return Statement{Kind: KindSessionBound, Name: "RESET SESSION AUTHORIZATION"}
	}
	name, next := p.parseName(1)
	if name == "" || next != len(p.tokens) {
		return Statement{}
	}
	return Statement{Kind: KindReset, Name: name}
}

func (p *parser) classifyShow() Statement {
	if p.hasWriteWord() {
		return Statement{}
	}
	if p.at(1).isWord("time") && p.at(2).isWord("zone") {
		return Statement{Kind: KindShow, Name: "timezone"}
	}
	name, next := p.parseName(1)
	if next != len(p.tokens) {
		name = ""
	}
	return Statement{Kind: KindShow, Name: name}
}

// classifySet classifies the forms of SET. It returns KindOther for a form that it
// does not recognise.
func (p *parser) classifySet() Statement {
	i := 1
	switch {
	case p.at(1).isWord("local"):
		return Statement{Kind: KindSetLocal}
	case p.at(1).isWord("transaction"), p.at(1).isWord("constraints"):
		return Statement{Kind: KindSetLocal}
	case p.at(1).isWord("session"):
		if p.at(2).isWord("characteristics") {
			return p.classifyCharacteristics()
		}
		if p.at(2).isWord("authorization") {
			return Statement{Kind: KindSessionBound, Name: "SET SESSION AUTHORIZATION"}
		}
		i++
	}
	switch {
	case p.at(i).isWord("time") && p.at(i+1).isWord("zone"):
		return p.parseSetValue("timezone", i+2)
	case p.at(i).isWord("names"):
		return p.parseSetValue("client_encoding", i+1)
	case p.at(i).isWord("role"):
		return p.parseSetValue("role", i+1)
	}
	name, next := p.parseName(i)
	if name == "" || (p.symbol(next) != '=' && !p.at(next).isWord("to")) {
		return Statement{}
	}
	return p.parseSetValue(name, next+1)
}

// classifyCharacteristics maps SET SESSION CHARACTERISTICS AS TRANSACTION to the
// equivalent setting.
func (p *parser) classifyCharacteristics() Statement {
	var words []string
	for i := 5; i < len(p.tokens); i++ {
		words = append(words, p.at(i).word)
	}
	mode := strings.Join(words, " ")
	switch mode {
	case "read only":
		return Statement{Kind: KindSet, Name: "default_transaction_read_only", Value: "on"}
	case "read write":
		return Statement{Kind: KindSet, Name: "default_transaction_read_only", Value: "off"}
	}
	level, ok := strings.CutPrefix(mode, "isolation level ")
	if !ok {
		return Statement{Kind: KindSessionBound, Name: "SET SESSION CHARACTERISTICS"}
	}
	return Statement{Kind: KindSet, Name: "default_transaction_isolation", Value: level}
}

// parseSetValue parses the comma-separated values from the token at i to the end.
func (p *parser) parseSetValue(name string, i int) Statement {
	s := Statement{Kind: KindSet, Name: name}
	if i >= len(p.tokens) {
		return Statement{}
	}
	if p.at(i).isWord("default") || (name == "timezone" && p.at(i).isWord("local")) {
		s.Default = true
		return s
	}
	last := token{}
	var value strings.Builder
	list := p.hasComma(i)
	for ; i < len(p.tokens); i++ {
		t := p.at(i)
		switch {
		case t.kind == tokenInvalid, t.kind == tokenParameter:
			return Statement{}
		case p.symbol(i) == ',':
			value.WriteString(", ")
		case p.symbol(i) == '-' || p.symbol(i) == '+':
			value.WriteString(p.text(t))
		case t.kind == tokenSymbol:
			return Statement{}
		default:
			if last.kind != tokenEnd && last.kind != tokenSymbol {
				return Statement{}
			}
			value.WriteString(p.elementValue(t, list))
		}
		last = t
	}
	s.Value = value.String()
	return s
}

func (p *parser) hasComma(i int) bool {
	for ; i < len(p.tokens); i++ {
		if p.symbol(i) == ',' {
			return true
		}
	}
	return false
}

// elementValue returns the value of one element. In a list, quoted elements are
// returned as quoted identifiers, which is how list settings are stored.
func (p *parser) elementValue(t token, list bool) string {
	text := p.text(t)
	switch t.kind {
	case tokenString:
		text = unquote(text)
	case tokenQuotedIdentifier:
		text = strings.ReplaceAll(text[1:len(text)-1], `""`, `"`)
	default:
		return text
	}
	if list {
		return `"` + strings.ReplaceAll(text, `"`, `""`) + `"`
	}
	return text
}

// unquote returns the content of a quoted or dollar-quoted string. An escape string
// keeps its backslashes, and the server rejects the resulting value.
func unquote(text string) string {
	if text[0] == '$' {
		tag := strings.IndexByte(text[1:], '$') + 2
		return text[tag : len(text)-tag]
	}
	text = text[strings.IndexByte(text, '\'')+1 : len(text)-1]
	return strings.ReplaceAll(text, "''", "'")
}

// parseName parses a name at i that may have two parts separated by a dot. It
// returns the name, with unquoted parts in lower case, and the index after it; the
// name is empty when there is none.
func (p *parser) parseName(i int) (name string, next int) {
	t := p.at(i)
	part := p.parseNamePart(t)
	if part == "" {
		return "", i
	}
	if p.symbol(i+1) != '.' {
		return part, i + 1
	}
	second := p.parseNamePart(p.at(i + 2))
	if second == "" {
		return "", i
	}
	return part + "." + second, i + 3
}

func (p *parser) parseNamePart(t token) string {
	switch t.kind {
	case tokenWord:
		return t.word
	case tokenQuotedIdentifier:
		text := p.text(t)
		return strings.ReplaceAll(text[1:len(text)-1], `""`, `"`)
	default:
		return ""
	}
}
