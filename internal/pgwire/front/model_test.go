package front_test

import (
	"slices"
	"strings"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"pgregory.net/rapid"

	"github.com/rattancove/rattancove/internal/pgwire/front"
)

// protocolModel models the responses of PostgreSQL to the extended protocol outside
// a transaction block. A response is a string of message types; an error ends the
// response to a batch.
type protocolModel struct {
	statements map[string]string
	portal     string
	bound      bool
	response   strings.Builder
	failed     bool
}

// respond adds message types to the response unless the batch has failed.
func (m *protocolModel) respond(types string) {
	if m.failed {
		return
	}
	m.response.WriteString(types)
	m.failed = strings.HasSuffix(types, "E")
}

func (m *protocolModel) endBatch() string {
	response := m.response.String()
	m.response.Reset()
	m.failed, m.bound = false, false
	return response
}

func rowType(sql string) string {
	if strings.HasPrefix(sql, "insert") || strings.HasPrefix(sql, "set") {
		return "n"
	}
	return "T"
}

func executeResponseTypes(sql string) string {
	switch {
	case strings.Contains(sql, "boom"):
		return "E"
	case rowType(sql) == "T":
		return "DC"
	default:
		return "C"
	}
}

func (m *protocolModel) parse(name, sql string) {
	m.statements[name] = sql
	if sql == "syntax" {
		m.respond("E")
		return
	}
	m.respond("1")
}

func (m *protocolModel) bind(name string) {
	sql, ok := m.statements[name]
	if !ok || sql == "syntax" {
		m.respond("E")
		return
	}
	if !m.failed {
		m.portal, m.bound = sql, true
	}
	m.respond("2")
}

func (m *protocolModel) describe(objectType byte, name string) {
	sql, ok := m.statements[name]
	switch {
	case objectType == 'P' && !m.bound, objectType == 'S' && (!ok || sql == "syntax"):
		m.respond("E")
	case objectType == 'P':
		m.respond(rowType(m.portal))
	default:
		m.respond("t" + rowType(sql))
	}
}

func (m *protocolModel) execute() {
	if !m.bound {
		m.respond("E")
		return
	}
	m.respond(executeResponseTypes(m.portal))
}

func (m *protocolModel) query(sql string) {
	delete(m.statements, "")
	if sql == "syntax" {
		m.respond("C")
		return
	}
	if response := executeResponseTypes(sql); response == "DC" {
		m.respond("TDC")
	} else {
		m.respond(response)
	}
}

// TestExtendedProtocol sends random batches and compares the responses with those
// of PostgreSQL, regardless of which of them the proxy generates itself.
func TestExtendedProtocol(t *testing.T) {
	ts := startTestServer(t, fakeDirectory{}, front.Config{})
	validTexts := []string{"select 'a'", "insert 1", "set rattancove.rank to urgent", "show rattancove.rank", "select boom()"}
	rapid.Check(t, func(r *rapid.T) {
		conn, f := session(t, ts)
		defer conn.Close()
		m := &protocolModel{statements: map[string]string{}}
		name := rapid.SampledFrom([]string{"", "", "s", "q"})
		for range rapid.IntRange(1, 6).Draw(r, "batches") {
			var sent []string
			for range rapid.IntRange(0, 8).Draw(r, "messages") {
				sent = append(sent, sendRandomMessage(r, f, m, name.Draw(r, "name"), validTexts))
			}
			if rapid.Bool().Draw(r, "query") && len(sent) == 0 {
				sql := rapid.SampledFrom(validTexts).Draw(r, "sql")
				sent = append(sent, sql)
				f.Send(&pgproto3.Query{String: sql})
				m.query(sql)
			} else {
				f.Send(&pgproto3.Sync{})
			}
			if err := f.Flush(); err != nil {
				r.Fatal(err)
			}
			got, want := responseTypeCodes(r, f), m.endBatch()
			// An error in preparing a named statement looks like an error in the
			// first message. The local responses that would precede it are then
			// omitted.
			ambiguous := got == "E" && strings.HasSuffix(want, "E") && usesNamed(sent)
			if got != want && !ambiguous {
				r.Fatalf("%v: response %q, want %q", sent, got, want)
			}
		}
	})
}

func usesNamed(sent []string) bool {
	return slices.ContainsFunc(sent, func(s string) bool {
		return strings.HasSuffix(s, " s") || strings.HasSuffix(s, " q") || strings.Contains(s, " s:") || strings.Contains(s, " q:")
	})
}

// sendRandomMessage sends a random message and updates the model.
func sendRandomMessage(r *rapid.T, f *pgproto3.Frontend, m *protocolModel, name string, validTexts []string) string {
	kind := rapid.SampledFrom([]string{"parse", "bind", "describe", "portal", "execute", "close"}).Draw(r, "kind")
	switch kind {
	case "parse":
		texts := validTexts
		if name == "" {
			texts = append(texts[:len(texts):len(texts)], "syntax")
		}
		sql := rapid.SampledFrom(texts).Draw(r, "sql")
		f.Send(&pgproto3.Parse{Name: name, Query: sql})
		m.parse(name, sql)
		return kind + " " + name + ":" + sql
	case "bind":
		f.Send(&pgproto3.Bind{PreparedStatement: name})
		m.bind(name)
	case "describe":
		f.Send(&pgproto3.Describe{ObjectType: 'S', Name: name})
		m.describe('S', name)
	case "portal":
		f.Send(&pgproto3.Describe{ObjectType: 'P'})
		m.describe('P', "")
	case "execute":
		f.Send(&pgproto3.Execute{})
		m.execute()
	case "close":
		f.Send(&pgproto3.Close{ObjectType: 'S', Name: name})
		delete(m.statements, name)
		m.respond("3")
	}
	return kind + " " + name
}

// responseTypeCodes returns the types of the messages before the next
// ReadyForQuery.
func responseTypeCodes(r *rapid.T, f *pgproto3.Frontend) string {
	var types strings.Builder
	for {
		m, err := f.Receive()
		if err != nil {
			r.Fatal(err)
		}
		if _, ok := m.(*pgproto3.ReadyForQuery); ok {
			return types.String()
		}
		if _, ok := m.(*pgproto3.ParameterStatus); ok {
			continue
		}
		encoded, _ := m.Encode(nil)
		types.WriteByte(encoded[0])
	}
}
