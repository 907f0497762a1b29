package statechart

import (
	"errors"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/fstest"
	"unsafe"

	"github.com/google/go-cmp/cmp"
)

const sessionChart = `name: caller_session
initial: startup
states:
  startup:
    on: {authenticated: idle, failed: closed}
  idle:
    on:
      begun: busy
      terminated: closed
  busy: {on: {answered: idle, terminated: closed}}
  closed: {final: true}
`

func load(t *testing.T) *Chart {
	t.Helper()
	files := fstest.MapFS{"session.yaml": {Data: []byte(sessionChart)}}
	c, err := Load(files, "session.yaml")
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func TestFire(t *testing.T) {
	tests := []struct {
		name   string
		events []string
		want   string
		fails  bool
	}{
		{"initial", nil, "startup", false},
		{"one transition", []string{"authenticated"}, "idle", false},
		{"return to an earlier state", []string{"authenticated", "begun", "answered"}, "idle", false},
		{"final", []string{"authenticated", "terminated"}, "closed", false},
		{"event not allowed in the state", []string{"begun"}, "startup", true},
		{"unknown event", []string{"authenticated", "renamed"}, "idle", true},
		{"event in a final state", []string{"failed", "authenticated"}, "closed", true},
	}
	chart := load(t)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := chart.NewMachine()
			var last error
			for _, e := range tt.events {
				_, _, last = m.Fire(e)
			}
			if m.Current() != tt.want {
				t.Errorf("state %q, want %q", m.Current(), tt.want)
			}
			var transitionErr *TransitionError
			if errors.As(last, &transitionErr) != tt.fails {
				t.Errorf("error %v, want failure %v", last, tt.fails)
			}
			if m.Done() != (tt.want == "closed") {
				t.Errorf("Done() = %v in %q", m.Done(), tt.want)
			}
		})
	}
}

func TestFireReturnsBothStates(t *testing.T) {
	m := load(t).NewMachine()
	from, to, err := m.Fire("authenticated")
	if from != "startup" || to != "idle" || err != nil {
		t.Errorf("Fire = %q, %q, %v", from, to, err)
	}
	from, to, err = m.Fire("answered")
	if from != "idle" || to != "idle" || err == nil {
		t.Errorf("rejected Fire = %q, %q, %v", from, to, err)
	}
}

func TestConcurrentFireSucceedsOnce(t *testing.T) {
	m := load(t).NewMachine()
	var accepted atomic.Int32
	var wg sync.WaitGroup
	for range 16 {
		wg.Go(func() {
			if _, _, err := m.Fire("authenticated"); err == nil {
				accepted.Add(1)
			}
		})
	}
	wg.Wait()
	if accepted.Load() != 1 || !m.In("idle") {
		t.Errorf("%d events were accepted, state %q", accepted.Load(), m.Current())
	}
}

func TestMachineSize(t *testing.T) {
	if size := unsafe.Sizeof(Machine{}); size > 16 {
		t.Errorf("a Machine has %d bytes, want at most 16", size)
	}
}

func TestNext(t *testing.T) {
	c := load(t)
	if to, err := c.Next("idle", "begun"); to != "busy" || err != nil {
		t.Errorf("Next = %q, %v", to, err)
	}
	for _, bad := range [][2]string{{"idle", "failed"}, {"gone", "begun"}} {
		if _, err := c.Next(bad[0], bad[1]); err == nil {
			t.Errorf("Next(%q, %q) succeeded", bad[0], bad[1])
		}
	}
}

func TestMermaid(t *testing.T) {
	want := `stateDiagram-v2
    [*] --> startup
    startup --> idle: authenticated
    startup --> closed: failed
    idle --> busy: begun
    idle --> closed: terminated
    busy --> closed: terminated
    busy --> idle: answered
    closed --> [*]
`
	if diff := cmp.Diff(want, load(t).Mermaid()); diff != "" {
		t.Errorf("diagram (-want +got):\n%s", diff)
	}
}

func TestParseRejectsInvalidCharts(t *testing.T) {
	tests := []struct {
		name, chart, want string
	}{
		{"no name", "initial: a\nstates:\n  a: {final: true}\n", "x.yaml:1: missing name"},
		{"no initial", "name: n\nstates:\n  a: {final: true}\n", "x.yaml:1: missing initial"},
		{"unknown initial", "name: n\ninitial: b\nstates:\n  a: {final: true}\n", `x.yaml:2: unknown initial state "b"`},
		{"unknown target", "name: n\ninitial: a\nstates:\n  a:\n    on:\n      go: b\n", `x.yaml:6: state "a": event "go" leads to unknown state "b"`},
		{"unreachable", "name: n\ninitial: a\nstates:\n  a: {final: true}\n  b: {final: true}\n", `x.yaml:5: state "b" cannot be reached`},
		{"state without transitions", "name: n\ninitial: a\nstates:\n  a: {on: {go: b}}\n  b: {}\n", `x.yaml:5: state "b" has no transitions`},
		{"final state with transitions", "name: n\ninitial: a\nstates:\n  a: {final: true, on: {go: a}}\n", `x.yaml:4: final state "a" has transitions`},
		{"duplicate state", "name: n\ninitial: a\nstates:\n  a: {final: true}\n  a: {final: true}\n", "x.yaml:5:"},
		{"duplicate event", "name: n\ninitial: a\nstates:\n  a: {on: {go: b, go: a}}\n  b: {final: true}\n", "x.yaml:4:"},
		{"unknown field", "name: n\ninitial: a\nstates:\n  a: {end: true}\n", `x.yaml:4: state "a": unknown field "end"`},
		{"unknown top field", "name: n\ncolour: a\n", `x.yaml:2: unknown field "colour"`},
		{"final not a boolean", "name: n\ninitial: a\nstates:\n  a: {final: maybe}\n", "x.yaml:4: final"},
		{"states not a mapping", "name: n\ninitial: a\nstates: a\n", "x.yaml:3: want a mapping"},
		{"empty state", "name: n\ninitial: a\nstates:\n  a:\n", "x.yaml:4: want a mapping"},
		{"empty", "", "x.yaml:0: want one YAML document"},
		{"two documents", "name: n\n---\nname: m\n", "x.yaml:0: want one YAML document"},
		{"not YAML", "name: [n\n", "x.yaml:1:"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := Parse("x.yaml", []byte(tt.chart))
			var loadErr *LoadError
			if !errors.As(err, &loadErr) {
				t.Fatalf("error %v, want a LoadError", err)
			}
			if !strings.HasPrefix(err.Error(), tt.want) {
				t.Errorf("error %q, want prefix %q", err, tt.want)
			}
		})
	}
}
