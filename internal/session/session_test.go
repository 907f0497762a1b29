package session

import (
	"testing"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/errcode"
	"github.com/rattancove/rattancove/internal/statement"
)

func at(term, offset uint64) cluster.Position {
	return cluster.Position{Term: cluster.Term(term), Offset: offset}
}

func TestFloor(t *testing.T) {
	wrote := func(p cluster.Position) func(*Session) {
		return func(s *Session) { s.RecordResult(s.Floor(cluster.Position{}), statement.Result{Position: p}) }
	}
	read := func(p cluster.Position) func(*Session) {
		return func(s *Session) { s.RecordResult(s.Floor(cluster.Position{}), statement.Result{Observed: p}) }
	}
	named := func(name string) func(*Session) { return func(s *Session) { s.SetName(name) } }
	raise := func(p cluster.Position) func(*Session) { return func(s *Session) { s.RaiseFloor(p) } }
	fail := func(o errcode.Outcome) func(*Session) { return func(s *Session) { s.RecordFailure(o) } }

	cases := map[string]struct {
		steps []func(*Session)
		token cluster.Position
		want  Floor
	}{
		"new private":                       {want: Floor{Exact: true}},
		"private after a write":             {steps: []func(*Session){wrote(at(1, 5))}, want: Floor{at(1, 5), true}},
		"private after a read":              {steps: []func(*Session){wrote(at(1, 5)), read(at(1, 9))}, want: Floor{at(1, 9), true}},
		"an older read keeps the floor":     {steps: []func(*Session){wrote(at(2, 1)), read(at(1, 9))}, want: Floor{at(2, 1), true}},
		"private with a token":              {steps: []func(*Session){raise(at(3, 1))}, want: Floor{at(3, 1), true}},
		"write of unknown outcome":          {steps: []func(*Session){wrote(at(1, 5)), fail(errcode.OutcomeUnknown)}, want: Floor{at(1, 5), false}},
		"refused write":                     {steps: []func(*Session){fail(errcode.OutcomeNotRun)}, want: Floor{Exact: true}},
		"proven after unknown":              {steps: []func(*Session){fail(errcode.OutcomeUnknown), read(at(1, 7))}, want: Floor{at(1, 7), true}},
		"nothing proven after unknown":      {steps: []func(*Session){fail(errcode.OutcomeUnknown), read(at(0, 0))}, want: Floor{}},
		"named":                             {steps: []func(*Session){named("a")}, want: Floor{}},
		"named after its own write":         {steps: []func(*Session){named("a"), wrote(at(1, 5))}, want: Floor{at(1, 5), false}},
		"named with a session token":        {steps: []func(*Session){named("a"), raise(at(1, 4))}, want: Floor{at(1, 4), false}},
		"named with a statement token":      {steps: []func(*Session){named("a")}, token: at(1, 6), want: Floor{at(1, 6), true}},
		"statement token below floor":       {steps: []func(*Session){named("a"), wrote(at(2, 5))}, token: at(1, 6), want: Floor{at(2, 5), true}},
		"unknown outcome overrides a token": {steps: []func(*Session){named("a"), fail(errcode.OutcomeUnknown)}, token: at(1, 6), want: Floor{at(1, 6), false}},
		"another name":                      {steps: []func(*Session){wrote(at(1, 5)), named("b")}, want: Floor{}},
		"the same name again":               {steps: []func(*Session){named("a"), wrote(at(1, 5)), named("a")}, want: Floor{at(1, 5), false}},
		"private again":                     {steps: []func(*Session){named("a"), wrote(at(1, 5)), named("")}, want: Floor{}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var s Session
			for _, step := range c.steps {
				step(&s)
			}
			if got := s.Floor(c.token); got != c.want {
				t.Errorf("got %+v, want %+v", got, c.want)
			}
		})
	}
}

func TestToken(t *testing.T) {
	p, err := ParseToken("orders@quito", FormatToken("orders@quito", at(3, 12)))
	if err != nil || p != at(3, 12) {
		t.Error(p, err)
	}
	for _, bad := range []string{"3/12", "menus@3/12", "orders@3", "orders@x/1", "orders@1/-1"} {
		if _, err := ParseToken("orders", bad); err == nil {
			t.Errorf("%q was accepted", bad)
		}
	}
	if p, err := ParseToken("orders", ""); err != nil || p.Known() {
		t.Error(p, err)
	}
}
