package statechart

// validate checks that every name is defined, that every state is reachable and
// that exactly the final states have no transitions.
func (d *definition) validate() error {
	if d.name == "" {
		return d.errorAtLine(1, "missing name")
	}
	if d.initial == "" {
		return d.errorAtLine(1, "missing initial state")
	}
	if _, ok := d.stateLines[d.initial]; !ok {
		return d.errorAtLine(d.initialLine, "unknown initial state %q", d.initial)
	}
	if err := d.checkTransitions(); err != nil {
		return err
	}
	return d.checkReachable()
}

func (d *definition) checkTransitions() error {
	hasTransitions := map[string]bool{}
	for _, t := range d.transitions {
		if _, ok := d.stateLines[t.to]; !ok {
			return d.errorAtLine(t.line, "state %q: event %q leads to unknown state %q", t.from, t.event, t.to)
		}
		if d.final[t.from] {
			return d.errorAtLine(t.line, "final state %q has transitions", t.from)
		}
		hasTransitions[t.from] = true
	}
	for _, state := range d.states {
		if !hasTransitions[state] && !d.final[state] {
			return d.errorAtLine(d.stateLines[state], "state %q has no transitions and is not final", state)
		}
	}
	return nil
}

func (d *definition) checkReachable() error {
	reached := map[string]bool{d.initial: true}
	for changed := true; changed; {
		changed = false
		for _, t := range d.transitions {
			if reached[t.from] && !reached[t.to] {
				reached[t.to] = true
				changed = true
			}
		}
	}
	for _, state := range d.states {
		if !reached[state] {
			return d.errorAtLine(d.stateLines[state], "state %q cannot be reached", state)
		}
	}
	return nil
}

// build returns the Chart of a valid definition.
func (d *definition) build() *Chart {
	c := &Chart{
		name:       d.name,
		states:     d.states,
		stateIndex: map[string]int32{},
		eventIndex: map[string]int32{},
	}
	for i, state := range d.states {
		c.stateIndex[state] = int32(i)
		c.final = append(c.final, d.final[state])
	}
	c.initial = c.stateIndex[d.initial]
	for _, t := range d.transitions {
		if _, ok := c.eventIndex[t.event]; !ok {
			c.eventIndex[t.event] = int32(len(c.events))
			c.events = append(c.events, t.event)
		}
	}
	c.next = make([]int32, len(c.states)*len(c.events))
	for i := range c.next {
		c.next[i] = noTransition
	}
	for _, t := range d.transitions {
		at := int(c.stateIndex[t.from])*len(c.events) + int(c.eventIndex[t.event])
		c.next[at] = c.stateIndex[t.to]
	}
	return c
}
