package statechart

import (
	"fmt"
	"io/fs"
	"slices"
	"strings"
)

// noTransition is the target of an event that a state does not allow.
const noTransition = -1

// Chart is a validated state chart. It is immutable and safe for concurrent use.
type Chart struct {
	name    string
	initial int32
	states  []string
	final   []bool
	events  []string
	// stateIndex and eventIndex map names to indexes.
	stateIndex map[string]int32
	eventIndex map[string]int32
	// next holds the target state of each state and event in row-major order by
	// state; noTransition if there is none.
	next []int32
}

// Load reads and validates the chart in the named file. Errors include the file
// and the line.
func Load(files fs.FS, file string) (*Chart, error) {
	data, err := fs.ReadFile(files, file)
	if err != nil {
		return nil, fmt.Errorf("state chart: %w", err)
	}
	return Parse(file, data)
}

// MustLoad is like Load but panics on an error. It is meant for charts that are
// embedded in the program, where only a programming error can cause one.
func MustLoad(files fs.FS, file string) *Chart {
	c, err := Load(files, file)
	if err != nil {
		panic(err)
	}
	return c
}

// Name returns the name of the chart.
func (c *Chart) Name() string { return c.name }

// Initial returns the state in which machines start.
func (c *Chart) Initial() string { return c.states[c.initial] }

// States returns the states in the order of the file.
func (c *Chart) States() []string { return slices.Clone(c.states) }

// Events returns the events in the order of their first use in the file.
func (c *Chart) Events() []string { return slices.Clone(c.events) }

// Final reports whether state is a final state. It is false for an unknown state.
func (c *Chart) Final(state string) bool {
	i, ok := c.stateIndex[state]
	return ok && c.final[i]
}

// Next returns the state that event leads to from state. It returns a
// *TransitionError when the chart has no such transition.
func (c *Chart) Next(state, event string) (string, error) {
	from, ok := c.stateIndex[state]
	if !ok {
		return "", &TransitionError{Chart: c.name, State: state, Event: event}
	}
	to, err := c.step(from, event)
	if err != nil {
		return "", err
	}
	return c.states[to], nil
}

// step returns the index of the state that event leads to.
func (c *Chart) step(from int32, event string) (int32, error) {
	if e, ok := c.eventIndex[event]; ok {
		if to := c.next[int(from)*len(c.events)+int(e)]; to != noTransition {
			return to, nil
		}
	}
	return noTransition, &TransitionError{Chart: c.name, State: c.states[from], Event: event}
}

// Mermaid returns the chart as a Mermaid state diagram.
func (c *Chart) Mermaid() string {
	var b strings.Builder
	b.WriteString("stateDiagram-v2\n")
	fmt.Fprintf(&b, "    [*] --> %s\n", c.Initial())
	for s, from := range c.states {
		for e, event := range c.events {
			if to := c.next[s*len(c.events)+e]; to != noTransition {
				fmt.Fprintf(&b, "    %s --> %s: %s\n", from, c.states[to], event)
			}
		}
		if c.final[s] {
			fmt.Fprintf(&b, "    %s --> [*]\n", from)
		}
	}
	return b.String()
}

// TransitionError reports an event that the chart does not allow in a state.
type TransitionError struct {
	Chart string
	State string
	Event string
}

// Error implements error.
func (e *TransitionError) Error() string {
	return fmt.Sprintf("state chart %s: no transition for event %q in state %q", e.Chart, e.Event, e.State)
}
