package statechart

import "sync/atomic"

// Machine is one instance of a chart. It is safe for concurrent use and must
// not be copied after its first use.
type Machine struct {
	chart *Chart
	state atomic.Int32
}

// NewMachine returns a machine in the initial state of c.
func (c *Chart) NewMachine() *Machine {
	m := &Machine{}
	m.Init(c)
	return m
}

// Init sets a machine that is embedded in another structure to the initial state
// of c. It must be called before any other method.
func (m *Machine) Init(c *Chart) {
	m.chart = c
	m.state.Store(c.initial)
}

// Current returns the state of the machine.
func (m *Machine) Current() string { return m.chart.states[m.state.Load()] }

// In reports whether the machine is in state.
func (m *Machine) In(state string) bool { return m.Current() == state }

// Done reports whether the machine is in a final state.
func (m *Machine) Done() bool { return m.chart.final[m.state.Load()] }

// Can reports whether the chart allows event in the current state.
func (m *Machine) Can(event string) bool {
	_, err := m.chart.step(m.state.Load(), event)
	return err == nil
}

// Fire applies event and returns the states before and after it. If the chart does
// not allow the event, the machine stays in its state, to equals from, and Fire
// returns a *TransitionError.
func (m *Machine) Fire(event string) (from, to string, err error) {
	for {
		old := m.state.Load()
		next, err := m.chart.step(old, event)
		if err != nil {
			return m.chart.states[old], m.chart.states[old], err
		}
		if m.state.CompareAndSwap(old, next) {
			return m.chart.states[old], m.chart.states[next], nil
		}
	}
}
